"""What happens during one soak and when: drawn by a seed, before anything runs."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable

ROUTERS = 4
FIRST_S = 1.5
"""Nothing happens before, so that each seed begins with a fleet at work."""
LARGE_ROUTES = 1400
"""Routes that the one large configuration adds: about 0.3 MB in the store."""
ROUTER_FAULTS = {"terminate": 0.35, "kill": 0.2, "hang-up": 0.15, "freeze": 0.3}
"""Kinds of what strikes a router, and their shares."""
BACKEND_FAULTS = {
    "drain": 0.25,
    "remove": 0.2,
    "replace": 0.1,
    "kill-backend": 0.2,
    "errors": 0.1,
    "refusals": 0.08,
    "outage": 0.07,
}
LIFE_FAULTS = ("restart", "odd entry")
"""A backend starts anew under its identifier, or another writer spoils its entry for a while."""
ODD_ENTRY_S = (0.3, 1.5)
REST_KINDS = {"rest": 0.8, "rest of all": 0.2}
"""A backend turns everything away and asks for rest, or all of its service do, and their shares."""
LIMIT_KINDS = {"limit": 0.8, "limit of all": 0.2}
"""A backend names a limit in its answers, or all of its service do, and their shares."""
LIMIT_S = (4.0, 9.0)
SILENT_MOMENT_S = (0.7, 1.5)
ENDLESS_S = (0.5, 2.5)
"""How long a backend answers some requests with bytes without end."""
PAUSES_S = {
    "router": (0.6, 2.2),
    "backend": (0.3, 1.1),
    "configuration": (1.2, 4.5),
    "store": (8.0, 14.0),
    "store connection": (3.0, 7.0),
    "store restored": (6.0, 12.0),
    "life": (1.0, 3.0),
    "rest": (1.5, 4.0),
    "limit": (2.0, 5.0),
    "silent moment": (0.4, 1.2),
    "endless bytes": (1.0, 3.0),
}
"""Shortest and longest time between two events of one sort: several are under way at any time."""
FREEZE_S = (0.5, 4.0)
BACKEND_FAULT_S = (0.5, 2.5)
STORE_SILENT_S = (1.0, 3.0)
STORE_OFFLINE_S = (0.3, 1.5)
BACKUP_AGE_S = (0.5, 6.0)
"""Age of the restored backup when the store goes offline."""
BURST_SHARE = 0.25
"""Share of configurations that are followed by the next within ``BURST_S``."""
BURST_S = (0.02, 0.4)
UNPLANNED_KINDS = ("kill", "freeze")
"""Unplanned faults of routers, which would excuse losses: a series of stops has none."""
STOPS_OF_A_SERIES = (4, 8)
"""Fewest and most stops of a series; one of a router that is stopping already has no effect."""
BETWEEN_STOPS_S = (0.2, 1.8)
"""Well under the duration of a stop, so that at times all routers are stopping."""
LAST_STOP_S = 9.0
"""A series ends so long after its last stop."""
BETWEEN_SERIES_S = (1.0, 4.0)
HANG_UP_SHARE = 0.6
CONFIGURATION_SHARE = 0.6
"""Shares of the stops of a series with a SIGHUP, or a configuration, while the router stops."""
DURING_STOP_S = 7.0
MOST_CONNECTIONS = "most connections"
"""The balancer sends most new connections to one router."""
CALM_BEFORE_UNEVEN_S = (6.0, 8.0)
"""Time without uneven balancing before each span of it, which is compared with it."""
UNEVEN_S = (7.0, 9.0)
ALL_ROUTERS_KILLED = "kill of all routers"
FIRST_ALL_KILLED_S = (3.0, 6.0)
BETWEEN_ALL_KILLED_S = (9.0, 12.0)
AFTER_ALL_KILLED_S = 8.0
"""Routers have no other fault for so long after they were all killed, until most callers have
resumed their streams."""
EVENTS_BESIDE_ALL_KILLED = (
    "configuration",
    "large configuration",
    "drain",
    "remove",
    "replace",
    "kill-backend",
    "restart",
    "odd entry",
    "store connection silent",
)
"""Events that excuse no refused stream; those of routers may come before a kill, but not soon after
it."""
OUT_OF_STEP_KINDS = {
    "freeze": 0.2,
    "cut off": 0.6,
    "cut from store": 0.1,
    "cut from routers": 0.1,
}
"""What puts a router out of step as a version joins, and the shares. Where links cannot be cut, it
is frozen."""
CUT_KINDS = ("cut off", "cut from store", "cut from routers")
ROLLOUT_OF_ALL = "rollout in place of all"
ROLLOUT_OF_SOME = "rollout in place of some"
ROLLOUT_BESIDE = "rollout beside"
ROLLOUT_WITHDRAWN = "rollout withdrawn"
ROLLOUT_KINDS = (ROLLOUT_OF_ALL, ROLLOUT_OF_SOME, ROLLOUT_BESIDE, ROLLOUT_WITHDRAWN)
"""A new version joins, and all engines of the one before leave, or half of them, or none; or those
of the new one leave soon."""
PARTNER_SHARE = 0.25
"""Share of the routers cut off with which another is cut off; the two reach each other."""
CONNECTIONS_BROKEN = "connections broken"
"""Callers lose their connections to all routers but one."""
FIRST_ROLLOUT_S = (3.0, 4.0)
BETWEEN_ROLLOUTS_S = (5.0, 7.0)
OUT_OF_STEP_S = (0.5, 5.0)
ROLLOUT_AFTER_SHARE = 0.5
"""The rollout comes within this share of the time in which a router is out of step."""
BROKEN_AFTER_ROLLOUT_S = ((0.15, 0.5), (0.6, 1.5), (3.3, 4.5))
BROKEN_AROUND_RETURN_S = (-0.4, 0.2)
"""When connections break: soon after a rollout, later, and as the router is in step again."""
ORIGIN_STORES_SHARE = 0.6
FIRST_VERSION_STATED_SHARE = 0.75
"""Shares of the soaks with rollouts in which origin stores run, and the first version is stated."""
EVENTS_BESIDE_ROLLOUTS = (
    "configuration",
    "large configuration",
    "hang-up",
    "kill-backend",
    "restart",
    "odd entry",
    "store connection silent",
)
"""Events that excuse no refused stream."""
EVENTS_BESIDE_UNEVEN = ("configuration", "hang-up")
"""Events that must not lessen what is served."""


@dataclasses.dataclass(frozen=True)
class SoakOptions:
    """What a soak has besides its usual faults."""

    has_two_versions: bool = False
    """Decode engines of two software versions serve side by side."""
    has_crashing_parts: bool = False
    """Prompts have parts in common, and some of these crash the engines that answer them."""
    has_stops_in_turn: bool = False
    """Routers are stopped in series that overlap, and callers open connections until they exit."""
    has_silent_moments: bool = False
    """Sound backends send nothing for a moment, and then go on with all that they owe."""
    has_endless_bytes: bool = False
    """Backends answer some requests with bytes that never end."""
    has_uneven_balancing: bool = False
    """The balancer sends most new connections to one router for a while, and links are narrow."""
    has_all_routers_killed: bool = False
    """All routers are killed at the same moment, some times, and callers resume their streams."""
    has_version_rollouts: bool = False
    """Engines of new software versions join, one version after another, while one router is out of
    step and callers lose their connections to the others."""


DEFAULT_OPTIONS = SoakOptions()


@dataclasses.dataclass(frozen=True)
class SoakEvent:
    """One fault or piece of planned work."""

    at_s: float
    """Seconds after the callers began."""
    kind: str
    target: int = 0
    """Number of a router; for backends, a place in the list of those that serve then."""
    length_s: float = 0.0
    backup_age_s: float = 0.0
    """Age of the restored backup when the store goes offline; only for "store restored"."""
    partner: int | None = None
    """Another router that is cut off with the target."""
    is_in_turn: bool = False
    """Part of a series of stops: it strikes however many routers are down already."""


Draw = Callable[[random.Random, float], list[SoakEvent]]


def draw_plan(seed: int, seconds: float, options: SoakOptions = DEFAULT_OPTIONS) -> list[SoakEvent]:
    """Return the events of one soak in order of time; the same for the same arguments.

    Options add events from generators of their own.
    """
    choices = random.Random(f"router-soak-{seed}")
    draws: dict[str, Draw] = {
        "router": _router_event,
        "backend": _backend_event,
        "configuration": _configuration_events,
        "store": _store_event,
        "store connection": _store_connection_event,
        "life": _life_event,
        "rest": _rest_event,
        "limit": _limit_event,
    }
    events = [SoakEvent(seconds * choices.uniform(0.3, 0.7), "large configuration")]
    for sort, draw in draws.items():
        events += _events_of(sort, draw, choices, seconds)
    # A generator of its own keeps the other events of each seed.
    choices = random.Random(f"router-soak-restorations-{seed}")
    events += _events_of("store restored", _restore_event, choices, seconds)
    if options.has_all_routers_killed:
        events = _with_all_routers_killed(events, seed, seconds)
    if options.has_version_rollouts:
        events = _with_version_rollouts(events, seed, seconds)
    if options.has_silent_moments:
        choices = random.Random(f"router-soak-silent-moments-{seed}")
        events += _events_of("silent moment", _silent_moment_event, choices, seconds)
    if options.has_endless_bytes:
        choices = random.Random(f"router-soak-endless-bytes-{seed}")
        events += _events_of("endless bytes", _endless_bytes_event, choices, seconds)
    if options.has_stops_in_turn:
        events = _with_stops_in_turn(events, seed, seconds)
    if options.has_uneven_balancing:
        events = _with_uneven_balancing(events, seed, seconds)
    return sorted(events, key=lambda event: event.at_s)


def _events_of(sort: str, draw: Draw, choices: random.Random, seconds: float) -> list[SoakEvent]:
    """Return the events of one sort."""
    events = []
    at_s = FIRST_S + choices.uniform(0.0, PAUSES_S[sort][1])
    while at_s < seconds:
        events += draw(choices, at_s)
        at_s += choices.uniform(*PAUSES_S[sort])
    return events


def _with_stops_in_turn(events: list[SoakEvent], seed: int, seconds: float) -> list[SoakEvent]:
    """Add series of stops to a plan, and remove the unplanned faults of routers beside them."""
    choices = random.Random(f"router-soak-stops-in-turn-{seed}")
    at_s = FIRST_S + choices.uniform(*BETWEEN_SERIES_S)
    while at_s < seconds:
        series = _series_of_stops(choices, at_s)
        until_s = max(event.at_s for event in series) + LAST_STOP_S
        # An unplanned fault excuses losses for a while after it.
        free_s = at_s - FREEZE_S[1]
        events = [
            event
            for event in events
            if event.kind not in UNPLANNED_KINDS or not free_s <= event.at_s < until_s
        ]
        events += [event for event in series if event.at_s < seconds]
        at_s = until_s + choices.uniform(*BETWEEN_SERIES_S)
    return events


def _series_of_stops(choices: random.Random, at_s: float) -> list[SoakEvent]:
    order = choices.sample(range(ROUTERS), ROUTERS)
    events = []
    for number in range(choices.randint(*STOPS_OF_A_SERIES)):
        events.append(SoakEvent(at_s, "terminate", order[number % ROUTERS], is_in_turn=True))
        if choices.random() < HANG_UP_SHARE:
            hang_up_s = at_s + choices.uniform(0.0, DURING_STOP_S)
            target = choices.randrange(ROUTERS)
            events.append(SoakEvent(hang_up_s, "hang-up", target, is_in_turn=True))
        if choices.random() < CONFIGURATION_SHARE:
            changed_s = at_s + choices.uniform(0.0, DURING_STOP_S)
            events.append(SoakEvent(changed_s, "configuration"))
        at_s += choices.uniform(*BETWEEN_STOPS_S)
    return events


def _with_uneven_balancing(events: list[SoakEvent], seed: int, seconds: float) -> list[SoakEvent]:
    """Add spans of uneven balancing, and remove all events that explain a failed request."""
    choices = random.Random(f"router-soak-uneven-balancing-{seed}")
    events = [event for event in events if event.kind in EVENTS_BESIDE_UNEVEN]
    at_s = choices.uniform(*CALM_BEFORE_UNEVEN_S)
    while at_s < seconds:
        length_s = choices.uniform(*UNEVEN_S)
        events.append(SoakEvent(at_s, MOST_CONNECTIONS, choices.randrange(ROUTERS), length_s))
        at_s += length_s + choices.uniform(*CALM_BEFORE_UNEVEN_S)
    return events


def _with_all_routers_killed(events: list[SoakEvent], seed: int, seconds: float) -> list[SoakEvent]:
    """Add kills of all routers, and remove what else would explain that a stream is refused."""
    choices = random.Random(f"router-soak-all-routers-killed-{seed}")
    kept = [event for event in events if event.kind in EVENTS_BESIDE_ALL_KILLED]
    router_faults = [event for event in events if event.kind in ROUTER_FAULTS]
    at_s = choices.uniform(*FIRST_ALL_KILLED_S)
    while at_s < seconds:
        kept.append(SoakEvent(at_s, ALL_ROUTERS_KILLED))
        free_s = at_s + AFTER_ALL_KILLED_S
        router_faults = [each for each in router_faults if not at_s <= each.at_s < free_s]
        at_s += choices.uniform(*BETWEEN_ALL_KILLED_S)
    return kept + router_faults


def _with_version_rollouts(events: list[SoakEvent], seed: int, seconds: float) -> list[SoakEvent]:
    """Add rollouts, each beside a router out of step, and remove what would explain a refusal."""
    choices = random.Random(f"router-soak-version-rollouts-{seed}")
    kept = [event for event in events if event.kind in EVENTS_BESIDE_ROLLOUTS]
    at_s = choices.uniform(*FIRST_ROLLOUT_S)
    while at_s < seconds:
        kept += _rollout_events(choices, at_s)
        at_s += choices.uniform(*BETWEEN_ROLLOUTS_S)
    return [event for event in kept if event.at_s < seconds]


def has_origin_stores(seed: int, options: SoakOptions) -> bool:
    """Return whether origin stores run beside the backends; some soaks with rollouts have none."""
    choices = random.Random(f"router-soak-origin-stores-{seed}")
    return not options.has_version_rollouts or choices.random() < ORIGIN_STORES_SHARE


def states_first_version(seed: int, options: SoakOptions) -> bool:
    """Return whether the first engines state their version; in some soaks with rollouts not."""
    choices = random.Random(f"router-soak-first-version-{seed}")
    return not options.has_version_rollouts or choices.random() < FIRST_VERSION_STATED_SHARE


def _rollout_events(choices: random.Random, at_s: float) -> list[SoakEvent]:
    """Return what happens around one rollout."""
    router, length_s = choices.randrange(ROUTERS), choices.uniform(*OUT_OF_STEP_S)
    kind = choices.choices(list(OUT_OF_STEP_KINDS), list(OUT_OF_STEP_KINDS.values()))[0]
    rollout_s = at_s + choices.uniform(0.0, ROLLOUT_AFTER_SHARE) * length_s
    broken_s = [rollout_s + choices.uniform(*span) for span in BROKEN_AFTER_ROLLOUT_S]
    broken_s.append(at_s + length_s + choices.uniform(*BROKEN_AROUND_RETURN_S))
    partner = None
    if kind == "cut off" and choices.random() < PARTNER_SHARE:
        partner = (router + choices.randrange(1, ROUTERS)) % ROUTERS
    return [
        SoakEvent(at_s, kind, router, length_s, partner=partner),
        SoakEvent(rollout_s, choices.choice(ROLLOUT_KINDS), choices.randrange(1000)),
        *(SoakEvent(each, CONNECTIONS_BROKEN, router) for each in broken_s),
    ]


def _restore_event(choices: random.Random, at_s: float) -> list[SoakEvent]:
    offline_s, backup_age_s = choices.uniform(*STORE_OFFLINE_S), choices.uniform(*BACKUP_AGE_S)
    return [SoakEvent(at_s, "store restored", 0, offline_s, backup_age_s)]


def _router_event(choices: random.Random, at_s: float) -> list[SoakEvent]:
    kind = choices.choices(list(ROUTER_FAULTS), list(ROUTER_FAULTS.values()))[0]
    target = choices.randrange(ROUTERS)
    length_s = choices.uniform(*FREEZE_S) if kind == "freeze" else choices.uniform(0.1, 0.8)
    return [SoakEvent(at_s, kind, target, length_s)]


def _backend_event(choices: random.Random, at_s: float) -> list[SoakEvent]:
    kind = choices.choices(list(BACKEND_FAULTS), list(BACKEND_FAULTS.values()))[0]
    target = choices.randrange(1000)
    return [SoakEvent(at_s, kind, target, choices.uniform(*BACKEND_FAULT_S))]


def _life_event(choices: random.Random, at_s: float) -> list[SoakEvent]:
    kind = choices.choice(LIFE_FAULTS)
    return [SoakEvent(at_s, kind, choices.randrange(1000), choices.uniform(*ODD_ENTRY_S))]


def _rest_event(choices: random.Random, at_s: float) -> list[SoakEvent]:
    kind = choices.choices(list(REST_KINDS), list(REST_KINDS.values()))[0]
    return [SoakEvent(at_s, kind, choices.randrange(1000), choices.uniform(*BACKEND_FAULT_S))]


def _limit_event(choices: random.Random, at_s: float) -> list[SoakEvent]:
    kind = choices.choices(list(LIMIT_KINDS), list(LIMIT_KINDS.values()))[0]
    return [SoakEvent(at_s, kind, choices.randrange(1000), choices.uniform(*LIMIT_S))]


def _silent_moment_event(choices: random.Random, at_s: float) -> list[SoakEvent]:
    length_s = choices.uniform(*SILENT_MOMENT_S)
    return [SoakEvent(at_s, "silent moment", choices.randrange(1000), length_s)]


def _endless_bytes_event(choices: random.Random, at_s: float) -> list[SoakEvent]:
    length_s = choices.uniform(*ENDLESS_S)
    return [SoakEvent(at_s, "endless bytes", choices.randrange(1000), length_s)]


def _configuration_events(choices: random.Random, at_s: float) -> list[SoakEvent]:
    events = [SoakEvent(at_s, "configuration")]
    if choices.random() < BURST_SHARE:
        events.append(SoakEvent(at_s + choices.uniform(*BURST_S), "configuration"))
    return events


def _store_event(choices: random.Random, at_s: float) -> list[SoakEvent]:
    return [SoakEvent(at_s, "store silent", 0, choices.uniform(*STORE_SILENT_S))]


def _store_connection_event(choices: random.Random, at_s: float) -> list[SoakEvent]:
    return [SoakEvent(at_s, "store connection silent", choices.randrange(1000))]
