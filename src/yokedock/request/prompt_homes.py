"""Prompt affinity: all routers send prompts that share a part to the same engine of each role.

An engine that holds the parts of a prompt in its prefix cache does not have to prefill them again.
"""

from __future__ import annotations

import msgspec

from yokedock.request.backend_incarnation import Backend
from yokedock.request.backend_registry import BackendRegistry
from yokedock.version.homes import HashRing


class MemberRing(msgspec.Struct, frozen=True):
    """A hash ring and the list of backends that it was built from."""

    members: list[Backend]
    ring: HashRing


class PromptHomes:
    """The home engines of prompts, by service and role."""

    def __init__(self, registry: BackendRegistry) -> None:
        """``registry`` supplies the backends."""
        self._registry = registry
        self._rings: dict[tuple[str, str], MemberRing] = {}

    def home_of(self, key: str, service: str, role: str) -> str | None:
        """Return the home backend of a key, which is the same at every router.

        If the first backend in the key's ring order is unhealthy, the next healthy one takes its
        place.
        """
        members = self._registry.members(service, role)
        known = self._rings.get((service, role))
        if known is None or known.members is not members:
            ring = HashRing(b.name for b in members if b.leaving_since_s is None)
            known = self._rings[service, role] = MemberRing(members, ring)
        return known.ring.home_of(key, self._is_healthy)

    def _is_healthy(self, name: str) -> bool:
        backend = self._registry.get(name)
        if backend is None or backend.leaving_since_s is not None:
            return False
        now_s = self._registry.now_s()
        return not backend.health.is_suspect(now_s) and not backend.notices.is_backing_off(now_s)
