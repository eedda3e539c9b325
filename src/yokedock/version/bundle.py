"""The data model of a bundle: the operators' configuration of engines, models, tenants and limits.

Each class with options corresponds to one kind of INI section in the bundle's source,
``[kind name]``. Processes hold the active version in the same classes.
"""

from __future__ import annotations

import dataclasses

from yokedock.base.options import address, between, one_of, option

ROLE_PREFILL = "prefill"
ROLE_DECODE = "decode"
ROLE_FLEXIBLE = "flexible"


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of the whole deployment."""

    max_output_tokens: int = option("maximum output tokens per response", 4096, between(1, 16384))
    max_prompt_bytes: int = option("maximum prompt size, bytes", 400_000, between(1, 4_000_000))
    max_service_body_bytes: int = option(
        "maximum body size of a service call, bytes", 65_536, between(1, 1_000_000)
    )
    max_attempts: int = option("maximum attempts per model request", 3, between(1, 10))
    retry_share: float = option("maximum retries, as a fraction of requests", 0.2, between(0, 1))
    key_window_s: int = option(
        "how long a response is kept for its idempotency key, s", 600, between(1, 86400)
    )
    clock_skew_s: float = option(
        "maximum clock difference between processes, s", 2.0, between(0, 60)
    )
    role_dwell_s: float = option(
        "minimum time a flexible engine keeps a role, s", 60, between(0, 86400)
    )
    default_deadline_ms: int = option(
        "deadline of requests that do not set one, ms", 60_000, between(100, 3_600_000)
    )


@dataclasses.dataclass(frozen=True)
class RequestClass:
    """One request class: its priority, latency targets and concurrency limit."""

    priority: int = option("scheduling priority; higher values are served first", 5, between(0, 9))
    first_token_ms: int = option("target time to first token, ms", 630, between(10, 600_000))
    between_tokens_ms: float = option("target time between tokens, ms", 26, between(1, 60_000))
    max_in_flight: int = option(
        "maximum concurrent requests per gateway", 1000, between(1, 100_000)
    )


@dataclasses.dataclass(frozen=True)
class Tenant:
    """One tenant: the hash of its bearer token and the classes it may use."""

    token_sha256: str = option("SHA-256 of the bearer token, as 64 hexadecimal digits")
    classes: tuple[str, ...] = option("request classes it may use, comma-separated; empty: all", ())
    max_in_flight: int = option("maximum concurrent requests per gateway", 100, between(1, 100_000))


@dataclasses.dataclass(frozen=True)
class Model:
    """One model and the parameters used to predict how long work on it takes."""

    kv_bytes_per_token: int = option("KV cache size per token, bytes", 131_072, between(1, 10**8))
    prefill_tokens_per_s: float = option(
        "prefill throughput of one engine, tokens/s", 8000.0, between(1, 10**9)
    )
    step_ms: float = option("duration of one decode step, ms", 20.0, between(0.1, 10_000))
    adapters: tuple[str, ...] = option("adapters that requests may name, comma-separated", ())


@dataclasses.dataclass(frozen=True)
class Engine:
    """One model engine and the agent that runs next to it."""

    pool: str = option("pool it belongs to")
    zone: str = option("zone it runs in")
    agent: str = option("listen address of its agent", check=address)
    role: str = option("prefill, decode or flexible", check=one_of("prefill", "decode", "flexible"))
    model: str = option("model that it serves")


@dataclasses.dataclass(frozen=True)
class Service:
    """One plain service (not a model engine)."""

    repeatable: bool = option("whether a call may be executed more than once")
    max_in_flight: int = option("maximum concurrent calls per replica", 16, between(1, 10_000))
    confirm_version_s: int = option(
        "a home that has not confirmed its version for this long refuses calls, s; 0: never",
        60,
        between(0, 86400),
    )


@dataclasses.dataclass(frozen=True)
class Replica:
    """One replica of a plain service and the agent that runs next to it."""

    service: str = option("service it belongs to")
    zone: str = option("zone it runs in")
    agent: str = option("listen address of its agent", check=address)


@dataclasses.dataclass(frozen=True)
class PreviousHome:
    """A replica that was in a service's pool before the last change of that pool."""

    name: str
    agent: str


@dataclasses.dataclass(frozen=True)
class PreviousPool:
    """A service's pool before its last change, and the time when that change was signed."""

    changed_at_ms: int
    homes: tuple[PreviousHome, ...]


@dataclasses.dataclass(frozen=True)
class Bundle:
    """One version of the whole bundle."""

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
        """Return the tenant names, keyed by token hash."""
        return {tenant.token_sha256: name for name, tenant in self.tenants.items()}

    def replicas_of(self, service: str) -> list[str]:
        """Return the names of a service's replicas, sorted."""
        return sorted(name for name, replica in self.replicas.items() if replica.service == service)


KINDS: dict[str, type] = {
    "class": RequestClass,
    "tenant": Tenant,
    "model": Model,
    "engine": Engine,
    "service": Service,
    "replica": Replica,
}
"""The classes of named sections, keyed by the first word of the section title."""
