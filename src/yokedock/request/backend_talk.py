"""What routers tell each other of backends: who broke answers off, who leaves, who names a limit.

Only what a router saw itself is told: what it heard would go round for ever. What is heard counts
from ``told_s`` (boot time), from now if that is None.
"""

from __future__ import annotations

from yokedock.connection.router_state import LimitShare
from yokedock.request.backend_notices import LEAVING_GOSSIP_S
from yokedock.request.backend_registry import BackendRegistry

BROKEN_GOSSIP_S = 1.0
"""Routers tell of a backend for so long after it broke an answer off: several datagrams, of which
some may be lost. One that fails at once looks empty, and would draw a request from each router."""
PERCENT = 100


class BackendTalk:
    """Speaks and hears for the backends of one router."""

    def __init__(self, registry: BackendRegistry) -> None:
        """Tell of the backends in ``registry``, and have it learn what is heard."""
        self._registry = registry

    def broken(self) -> dict[str, int]:
        """Return the share of failures, in percent, of backends that broke an answer lately."""
        now_s = self._registry.now_s()
        oldest_s = now_s - BROKEN_GOSSIP_S
        return {
            backend.name: round(PERCENT * backend.health.local_failure_share(now_s))
            for backend in self._registry.lives()
            if backend.health.last_broken_s >= oldest_s
        }

    def heard_broken(self, broken: dict[str, int], told_s: float | None = None) -> None:
        """Take in what another router told of backends that broke answers."""
        told_s = self._registry.now_s() if told_s is None else told_s
        for name, percent in broken.items():
            backend = self._registry.get(name)
            if backend is not None:
                backend.health.note_told(percent / PERCENT, told_s)

    def said_leaving(self) -> tuple[str, ...]:
        """Return the backends whose answers said here a moment ago that they leave."""
        oldest_s = self._registry.now_s() - LEAVING_GOSSIP_S
        return tuple(
            b.name for b in self._registry.lives() if b.notices.observed_leaving_s >= oldest_s
        )

    def heard_leaving(self, names: tuple[str, ...], told_s: float | None = None) -> None:
        """Take in of which backends another router heard that they leave."""
        told_s = self._registry.now_s() if told_s is None else told_s
        for name in names:
            backend = self._registry.get(name)
            if backend is not None:
                backend.record_remote_leaving(told_s)

    def limits(self) -> dict[str, LimitShare]:
        """Return what this router has of the limits that backends name."""
        now_s = self._registry.now_s()
        shares = ((b.name, b.limit.share(now_s)) for b in self._registry.lives())
        return {name: share for name, share in shares if share is not None}

    def heard_limits(
        self, router: str, told: dict[str, LimitShare], told_s: float | None = None
    ) -> None:
        """Take in what another router told of limits."""
        now_s = self._registry.now_s()
        told_s = now_s if told_s is None else told_s
        for name, share in told.items():
            backend = self._registry.get(name)
            if backend is not None and not backend.has_ended:
                backend.limit.heard(router, share, now_s, told_s)

    def forget_limits(self, router: str) -> None:
        """Drop what waits at a router that is heard no longer."""
        for backend in self._registry.lives():
            if backend.limit.rate is not None:
                backend.limit.rate.forget(router)
