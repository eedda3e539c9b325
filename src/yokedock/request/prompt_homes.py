"""Homes of prompts: the engine of each role to which all routers send prompts that share a part.

A prompt whose parts an engine keeps in its prefix cache need not be read again.
"""

from __future__ import annotations

import msgspec

from yokedock.request.backend_life import Backend
from yokedock.request.backend_registry import BackendRegistry
from yokedock.version.homes import HashRing


class MemberRing(msgspec.Struct, frozen=True):
    """A ring and the list of backends that it was made of."""

    members: list[Backend]
    ring: HashRing


class PromptHomes:
    """Homes by service and role."""

    def __init__(self, registry: BackendRegistry) -> None:
        """Follow the backends of ``registry``."""
        self._registry = registry
        self._rings: dict[tuple[str, str], MemberRing] = {}

    def home_of(self, key: str, service: str, role: str) -> str | None:
        """Return the backend that is the home of a key: the same one at every router.

        It is the next one in the order of the key while the first one is not sound.
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
        return not backend.health.is_suspect(now_s) and not backend.notices.is_resting(now_s)
