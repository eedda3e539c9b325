"""The content of a bundle: what operators state about pools, models, tenants and limits.

Every class here is one kind of INI section in the bundle's source, ``[kind name]``. The same
classes, without the source's spelling, are what processes hold as the version in force.
"""

from __future__ import annotations

import dataclasses

from yokedock.base.options import address, between, one_of, option

ROLE_PREFILL = "prefill"
ROLE_DECODE = "decode"
ROLE_FLEXIBLE = "flexible"


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits that hold for the whole deployment."""

    max_output_tokens: int = option("most tokens of one answer", 4096, between(1, 16384))
    max_prompt_bytes: int = option("largest prompt, bytes", 400_000, between(1, 4_000_000))
    max_service_body_bytes: int = option(
        "largest body of a service call, bytes", 65_536, between(1, 1_000_000)
    )
    max_attempts: int = option("attempts of one model request", 3, between(1, 10))
    retry_share: float = option("retries as a share of requests", 0.2, between(0, 1))
    key_window_s: int = option("how long an answer is kept for its key, s", 600, between(1, 86400))
    clock_skew_s: float = option("largest difference of clocks, s", 2.0, between(0, 60))
    role_dwell_s: float = option(
        "a flexible engine keeps a role at least so long, s", 60, between(0, 86400)
    )
    default_deadline_ms: int = option(
        "deadline of a request that names none, ms", 60_000, between(100, 3_600_000)
    )


@dataclasses.dataclass(frozen=True)
class RequestClass:
    """One class of requests: its priority and its latency targets."""

    priority: int = option("higher goes first", 5, between(0, 9))
    first_token_ms: int = option("target for the first token, ms", 630, between(10, 600_000))
    between_tokens_ms: float = option("target between tokens, ms", 26, between(1, 60_000))
    max_in_flight: int = option("most requests in flight on one gateway", 1000, between(1, 100_000))


@dataclasses.dataclass(frozen=True)
class Tenant:
    """One tenant: the hash of its bearer token, and what it may use."""

    token_sha256: str = option("SHA-256 of the bearer token, 64 hexadecimal digits")
    classes: tuple[str, ...] = option("classes it may use, by commas; empty: all", ())
    max_in_flight: int = option("most requests in flight on one gateway", 100, between(1, 100_000))


@dataclasses.dataclass(frozen=True)
class Model:
    """One model, and the figures by which work on it is predicted."""

    kv_bytes_per_token: int = option("KV cache of one token, bytes", 131_072, between(1, 10**8))
    prefill_tokens_per_s: float = option("prefill speed of an engine", 8000.0, between(1, 10**9))
    step_ms: float = option("time of one decode step, ms", 20.0, between(0.1, 10_000))
    adapters: tuple[str, ...] = option("adapters that callers may name, by commas", ())


@dataclasses.dataclass(frozen=True)
class Engine:
    """One model engine with the agent beside it."""

    pool: str = option("pool it belongs to")
    zone: str = option("zone it stands in")
    agent: str = option("listen address of its agent", check=address)
    role: str = option("prefill, decode or flexible", check=one_of("prefill", "decode", "flexible"))
    model: str = option("model it serves")


@dataclasses.dataclass(frozen=True)
class Service:
    """One plain service."""

    repeatable: bool = option("may its calls be repeated?")
    max_in_flight: int = option("most calls in flight on one replica", 16, between(1, 10_000))
    confirm_version_s: int = option(
        "a home that could not confirm its version for so long refuses calls, s; 0: never",
        60,
        between(0, 86400),
    )


@dataclasses.dataclass(frozen=True)
class Replica:
    """One replica of a plain service with the agent beside it."""

    service: str = option("service it belongs to")
    zone: str = option("zone it stands in")
    agent: str = option("listen address of its agent", check=address)


@dataclasses.dataclass(frozen=True)
class PreviousHome:
    """A replica that was in a service's pool before the bundle's last change of that pool."""

    name: str
    agent: str


@dataclasses.dataclass(frozen=True)
class PreviousPool:
    """A service's pool before its last change, and when that change was signed."""

    changed_at_ms: int
    homes: tuple[PreviousHome, ...]


@dataclasses.dataclass(frozen=True)
class Bundle:
    """One version of everything that operators state."""

    version: int
    created_at_ms: int
    limits: Limits
    classes: dict[str, RequestClass]
    tenants: dict[str, Tenant]
    models: dict[str, Model]
    engines: dict[str, Engine]
    services: dict[str, Service]
    replicas: dict[str, Replica]
    previous_pools: dict[str, PreviousPool]

    def tenant_by_token_hash(self) -> dict[str, str]:
        """Return the names of tenants by the hash of their token."""
        return {tenant.token_sha256: name for name, tenant in self.tenants.items()}

    def replicas_of(self, service: str) -> list[str]:
        """Return the names of a service's replicas, in order of name."""
        return sorted(name for name, replica in self.replicas.items() if replica.service == service)


KINDS: dict[str, type] = {
    "class": RequestClass,
    "tenant": Tenant,
    "model": Model,
    "engine": Engine,
    "service": Service,
    "replica": Replica,
}
"""The kinds of named sections, by the word that opens the section's title."""
