"""Determines the software version at which a resumed stream may go on."""

from __future__ import annotations

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.errors import StreamNotResumable
from yokedock.request.backend_incarnation import Backend
from yokedock.request.backend_registry import BackendRegistry
from yokedock.request.cache_lookup import CacheLookup
from yokedock.request.engine_placement import DECODE_ROLE
from yokedock.request.routed_call import RoutedCall
from yokedock.request.software_version import (
    UNKNOWN_VERSION,
    stream_number,
    unstated_number,
    version_number,
)
from yokedock.request.stream_origins import OriginDirectory, OriginQuestion
from yokedock.version.route_table import RouteKind

_log = logger("versions")

MAX_STREAM_AGE_TIMEOUTS = 2.0
"""Upper bound of a stream's age, in time-outs of its route, where the caller does not name it."""
MAX_UNLISTED_SERVICE_S = 30.0
"""Upper bound of the time in which routers that have not heard of it may use a removed backend."""
MIN_TTL_S = 20.0
"""Minimum time for which the version of a stream is recorded."""
TTL_MARGIN_S = 5.0
"""Time after the caller's deadline for which it is recorded."""


class VersionPinning:
    """Records which version begins each stream, and pins resumed streams to it."""

    def __init__(
        self, registry: BackendRegistry, directory: OriginDirectory, lookup: CacheLookup
    ) -> None:
        """Use the backends, records and cache lookup that the whole process shares."""
        self._registry = registry
        self._directory = directory
        self._lookup = lookup
        self.resumed = 0
        """Streams whose version was determined."""
        self.refused_unknown = 0
        """Streams that were refused because no router or origin store knew their version."""
        self.refused_gone = 0
        """Streams that were refused because no backend of their version was listed."""

    def begin(self, call: RoutedCall, backend: Backend) -> None:
        """Record the backend's version before the first event of the call is passed on."""
        service = call.service.name
        if call.is_unstated or not self._registry.states_versions(service):
            call.is_unstated = True
            version = unstated_number(service)
        else:
            version = call.version = version_number(service, backend.entry.version)
        request_id = call.terms.resumes if call.terms.last_event_id else call.request_id
        if call.route.resumable and request_id:
            self._directory.record(stream_number(request_id), version, _ttl_s(call))

    def may_move(self, call: RoutedCall, excluded: frozenset[str]) -> bool:
        """Return whether an engine that is not in ``excluded`` may continue the call's stream."""
        service = call.service.name
        if call.is_unstated:
            return self._registry.may_continue_unstated(service, DECODE_ROLE, excluded)
        return call.version is None or self._registry.has_version(
            service, call.version, DECODE_ROLE, excluded
        )

    async def pin(self, call: RoutedCall) -> str | None:
        """Pin a resumed stream to its version and return the service that has it.

        Returns None if the stream may be placed anywhere. Raises ``StreamNotResumable`` if the
        version is unknown or no backend of it is listed.
        """
        if not call.terms.last_event_id or call.route.kind is not RouteKind.STREAM:
            return None
        services = [target.service for target in call.route.targets]
        if not any(self._registry.members(service) for service in services):
            raise self._error(call, "no backend of the stream's service is listed")
        asked_s = boot_time_s()
        version = await self._find(call, services)
        if version is None and await self._is_unstated(services, asked_s):
            call.is_unstated = True
            return None
        if version is None or version == UNKNOWN_VERSION:
            self.refused_unknown += 1
            raise self._error(call, "the software version that began the stream is not known")
        for service in services:
            if self._pin_to(call, service, version):
                self.resumed += 1
                return service
        self.refused_gone += 1
        raise self._error(call, "no backend of the software version that began the stream is left")

    def _pin_to(self, call: RoutedCall, service: str, version: int) -> bool:
        """Pin a call to a service if a backend of the version may be used there."""
        if version == unstated_number(service):
            call.is_unstated = self._registry.may_continue_unstated(service)
            return call.is_unstated
        if not self._registry.has_version(service, version):
            return False
        call.version = version
        return True

    async def _is_unstated(self, services: list[str], asked_s: float) -> bool:
        """Return whether no backend states a version, by a list of a time after ``asked_s``."""
        if self._states_versions(services):
            return False
        is_current = await self._directory.is_list_current_since(asked_s)
        return is_current and not self._states_versions(services)

    def _states_versions(self, services: list[str]) -> bool:
        return any(self._registry.states_versions(service) for service in services)

    async def _find(self, call: RoutedCall, services: list[str]) -> int | None:
        """Return the version that began the stream, None if it is not known."""
        resumes = call.terms.resumes
        stream = stream_number(resumes) if resumes else None
        only_service = services[0] if len(services) == 1 else None
        max_age_s = MAX_STREAM_AGE_TIMEOUTS * call.route.timeout_s + MAX_UNLISTED_SERVICE_S
        asked_s = boot_time_s()
        version = await self._directory.find(OriginQuestion(stream, only_service, max_age_s))
        if version is not None or only_service is None:
            return version
        if not await self._directory.is_list_current_since(asked_s):
            return None
        if not self._registry.states_versions(only_service):
            return None
        return await self._version_at_engines(call, only_service)

    async def _version_at_engines(self, call: RoutedCall, service: str) -> int | None:
        """Return the version that began a stream if the engines show it, else None.

        Without origin stores, no record is left after the loss of all routers. The only version
        that is listed, or was a moment ago, began the stream if one of its decode engines has the
        last part of the prompt, because prompts are processed there for their own streams only.
        """
        versions = {backend.version for backend in self._registry.members(service)}
        if len(versions) != 1:
            return None
        engines = await self._lookup.engines_with_last_part(call)
        has_run = any(engine.entry.role == DECODE_ROLE for engine in engines)
        return next(iter(versions)) if has_run else None

    def _error(self, call: RoutedCall, reason: str) -> StreamNotResumable:
        _log.info(
            "stream not resumed",
            request=call.request_id,
            resumes=call.terms.resumes or "",
            reason=reason,
        )
        return StreamNotResumable(f"{reason}; request the stream anew")

    def levels(self) -> dict[str, float]:
        """Return how many resumed streams were pinned or refused since the start."""
        return {
            "streams_resumed": self.resumed,
            "streams_refused_version_unknown": self.refused_unknown,
            "streams_refused_version_gone": self.refused_gone,
        }


def _ttl_s(call: RoutedCall) -> float:
    """Return for how long the caller may resume the stream."""
    limit_s = call.terms.deadline_s
    if limit_s is None:
        limit_s = MAX_STREAM_AGE_TIMEOUTS * call.route.timeout_s
    return max(MIN_TTL_S, call.arrived_s + limit_s - boot_time_s() + TTL_MARGIN_S)
