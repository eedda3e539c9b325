"""Gossip between routers about backends: cut-off responses, leaving states and rate limits.

A router sends only what it observed itself, because forwarded reports would circulate for ever.
Received reports are dated ``told_s`` (boot time), or now if that is None.
"""

from __future__ import annotations

from yokedock.connection.router_state import LimitShare
from yokedock.request.backend_notices import LEAVING_GOSSIP_S
from yokedock.request.backend_registry import BackendRegistry

BROKEN_GOSSIP_S = 1.0
"""How long routers report a backend after it cut off a response: in several datagrams, some of
which may be lost. A backend that fails at once appears idle, and would otherwise receive a request
from each router."""
PERCENT = 100


class BackendGossip:
    """Provides and applies the gossip about the backends of one router."""

    def __init__(self, registry: BackendRegistry) -> None:
        """Report the backends in ``registry``, and apply received reports to it."""
        self._registry = registry

    def broken(self) -> dict[str, int]:
        """Return the failure rate, in percent, of backends that cut off a response recently."""
        now_s = self._registry.now_s()
        oldest_s = now_s - BROKEN_GOSSIP_S
        return {
            backend.name: round(PERCENT * backend.health.local_failure_rate(now_s))
            for backend in self._registry.lives()
            if backend.health.last_broken_s >= oldest_s
        }

    def apply_remote_broken(self, broken: dict[str, int], told_s: float | None = None) -> None:
        """Apply another router's report on backends that cut off responses."""
        told_s = self._registry.now_s() if told_s is None else told_s
        for name, percent in broken.items():
            backend = self._registry.get(name)
            if backend is not None:
                backend.health.note_told(percent / PERCENT, told_s)

    def recently_leaving(self) -> tuple[str, ...]:
        """Return the backends that recently announced to this router that they are leaving."""
        oldest_s = self._registry.now_s() - LEAVING_GOSSIP_S
        return tuple(
            b.name for b in self._registry.lives() if b.notices.observed_leaving_s >= oldest_s
        )

    def apply_remote_leaving(self, names: tuple[str, ...], told_s: float | None = None) -> None:
        """Apply another router's report on backends that are leaving."""
        told_s = self._registry.now_s() if told_s is None else told_s
        for name in names:
            backend = self._registry.get(name)
            if backend is not None:
                backend.record_remote_leaving(told_s)

    def limits(self) -> dict[str, LimitShare]:
        """Return this router's state of the rate limits of backends."""
        now_s = self._registry.now_s()
        shares = ((b.name, b.limit.share(now_s)) for b in self._registry.lives())
        return {name: share for name, share in shares if share is not None}

    def apply_remote_limits(
        self, router: str, told: dict[str, LimitShare], told_s: float | None = None
    ) -> None:
        """Apply another router's state of rate limits."""
        now_s = self._registry.now_s()
        told_s = now_s if told_s is None else told_s
        for name, share in told.items():
            backend = self._registry.get(name)
            if backend is not None and not backend.has_ended:
                backend.limit.heard(router, share, now_s, told_s)

    def drop_waiting_of(self, router: str) -> None:
        """Drop the waiting requests of a router that is no longer heard from."""
        for backend in self._registry.lives():
            if backend.limit.rate is not None:
                backend.limit.rate.forget(router)
