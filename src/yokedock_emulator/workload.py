"""The users' traffic: classes of model requests, and a seeded open-loop schedule of them."""

from __future__ import annotations

import dataclasses
import math
import random

from yokedock.request.prefix import BYTES_PER_TOKEN

SLOTS = 16
STEP_BASE_MS = 20.0
STEP_PER_STREAM_MS = 0.2
PREFILL_TOKENS_PER_S = 8000.0
KV_BYTES_PER_TOKEN = 131_072
LINK_BYTES_PER_S = 2e9
NIGHT_SHARE = 0.25
"""Arrivals at night, as a share of those at noon."""


@dataclasses.dataclass(frozen=True)
class TrafficClass:
    """One class of requests; token counts are drawn evenly between the bounds."""

    name: str
    share: float
    prompt_tokens: tuple[int, int]
    shared_tokens: int
    output_tokens: tuple[int, int]
    first_token_ms: int
    between_tokens_ms: float
    priority: int
    evening_share: float
    """Its share at the end of a day; ``share`` is that of the morning."""


@dataclasses.dataclass(frozen=True)
class User:
    """One user's deployment and traffic."""

    name: str
    zones: tuple[str, ...]
    prefill_engines: int
    decode_engines: int
    classes: tuple[TrafficClass, ...]


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One request of a schedule."""

    at_s: float
    traffic: TrafficClass
    prompt: str
    output_tokens: int


JABAL_REST = User(
    "jabal-rest",
    ("hall-1", "hall-2", "hall-3"),
    2,
    3,
    (
        TrafficClass("digest", 0.15, (2000, 6000), 256, (400, 800), 2500, 26.0, 3, 0.05),
        TrafficClass("bunk-check", 0.55, (200, 600), 128, (20, 60), 630, 26.0, 8, 0.25),
        TrafficClass("review-label", 0.30, (300, 800), 128, (4, 8), 1500, 26.0, 5, 0.70),
    ),
)
TINLLIW = User(
    "tinlliw",
    ("site-1", "site-2", "site-3"),
    6,
    3,
    (
        TrafficClass("shade-match", 0.35, (3000, 8000), 256, (60, 120), 2000, 26.0, 6, 0.10),
        TrafficClass("batch-check", 0.25, (400, 900), 128, (30, 60), 1000, 26.0, 5, 0.15),
        TrafficClass("counter-question", 0.40, (100, 300), 64, (60, 150), 630, 26.0, 8, 0.75),
    ),
)
USERS = {user.name: user for user in (JABAL_REST, TINLLIW)}


@dataclasses.dataclass(frozen=True)
class FluidLimit:
    """The most requests a second that each resource can carry, at the user's mix of classes."""

    prefill: float
    decode: float
    link: float

    @property
    def requests_per_s(self) -> float:
        """Return the least of them: the bound."""
        return min(self.prefill, self.decode, self.link)


def mix_at(user: User, moment: float) -> User:
    """Return the user with the mix of classes at ``moment`` of the day (0 to 1)."""
    classes = tuple(
        dataclasses.replace(c, share=c.share + (c.evening_share - c.share) * moment)
        for c in user.classes
    )
    return dataclasses.replace(user, classes=classes)


def best_split(user: User) -> User:
    """Return the user with its engines split between the roles so that the limit is highest."""
    engines = user.prefill_engines + user.decode_engines
    splits = [
        dataclasses.replace(user, prefill_engines=count, decode_engines=engines - count)
        for count in range(1, engines)
    ]
    return max(splits, key=lambda split: fluid_limit(split).requests_per_s)


def day_rate(user: User, peak: float, moment: float) -> float:
    """Return the arrivals a second at ``moment`` of a day: a daylight curve under ``peak``.

    ``peak`` is a share of what the engines could carry in the best split for the mix of the moment.
    """
    best = fluid_limit(best_split(mix_at(user, moment))).requests_per_s
    daylight = NIGHT_SHARE + (1 - NIGHT_SHARE) * math.sin(math.pi * moment) ** 2
    return peak * best * daylight


def fluid_limit(user: User) -> FluidLimit:
    """Return the fluid limit of a user's engines and links.

    Prefill: engines x speed / mean tokens not shared. Decode: engines x slots / (mean output x
    step time of a full batch). Link: prefill engines x rate / mean KV bytes.
    """
    classes = user.classes
    uncached = sum(c.share * (sum(c.prompt_tokens) / 2 - c.shared_tokens) for c in classes)
    prompt = sum(c.share * sum(c.prompt_tokens) / 2 for c in classes)
    output = sum(c.share * sum(c.output_tokens) / 2 for c in classes)
    step_s = (STEP_BASE_MS + STEP_PER_STREAM_MS * SLOTS) / 1000
    return FluidLimit(
        user.prefill_engines * PREFILL_TOKENS_PER_S / uncached,
        user.decode_engines * SLOTS / (output * step_s),
        user.prefill_engines * LINK_BYTES_PER_S / (prompt * KV_BYTES_PER_TOKEN),
    )


def schedule(user: User, requests_per_s: float, duration_s: float, seed: int) -> list[Arrival]:
    """Return Poisson arrivals over ``duration_s``, the same for the same seed."""
    random_source = random.Random(f"{user.name} {seed}")
    arrivals, at_s = [], 0.0
    while (at_s := at_s + random_source.expovariate(requests_per_s)) < duration_s:
        arrivals.append(_arrival(user, at_s, random_source))
    return arrivals


def day_schedule(user: User, peak: float, duration_s: float, seed: int) -> list[Arrival]:
    """Return the Poisson arrivals of a day compressed to ``duration_s``."""
    random_source = random.Random(f"day {user.name} {seed}")
    most = max(day_rate(user, peak, step / 100) for step in range(101))
    arrivals, at_s = [], 0.0
    while (at_s := at_s + random_source.expovariate(most)) < duration_s:
        moment = at_s / duration_s
        if random_source.random() * most < day_rate(user, peak, moment):
            arrivals.append(_arrival(mix_at(user, moment), at_s, random_source))
    return arrivals


def _arrival(user: User, at_s: float, random_source: random.Random) -> Arrival:
    """Draw one request from the user's mix of classes."""
    weights = [traffic.share for traffic in user.classes]
    traffic = random_source.choices(user.classes, weights)[0]
    prompt = _prompt(traffic, random_source.randint(*traffic.prompt_tokens), random_source)
    return Arrival(at_s, traffic, prompt, random_source.randint(*traffic.output_tokens))


def _prompt(traffic: TrafficClass, tokens: int, random_source: random.Random) -> str:
    """Return a prompt that begins like all of its class and then differs from every other."""
    shared = f"{traffic.name} instructions ".ljust(16, ".") * traffic.shared_tokens
    own = f"{random_source.getrandbits(64):016x}"
    text = shared[: traffic.shared_tokens * BYTES_PER_TOKEN] + own * (tokens // 4 + 1)
    return text[: tokens * BYTES_PER_TOKEN]
