"""Backends that crash when they start to run a marked request, and are replaced by new ones."""

import asyncio

from support.stand_in_backend import StandInBackend
from yokedock.connection.source_position import SourcePosition
from yokedock.connection.state_source import BackendEntry, StateChanges

CRASHING_BODY = b"ends whoever runs it"
BACK_AFTER_S = 0.1


class CrashingBackends:
    """Replaces each crashed backend by one of the same kind, and announces it to the routers."""

    def __init__(self, world, routers):
        self._world = world
        self._routers = routers
        self._position = world.position
        self.generations = 0
        self.crash_times_s = []
        """When backends crashed (seconds of the event loop's clock)."""
        for backend in list(world.backends.values()):
            if backend.role != "prefill":
                self._watch(backend)

    def arrivals(self):
        """Return the arrivals of the marked request, including its prefills, by time."""
        found = [
            a for b in self._world.backends.values() for a in b.arrivals if CRASHING_BODY in a.body
        ]
        return sorted(found, key=lambda arrival: arrival.arrived_s)

    def ended(self):
        """Return the number of backends that have crashed."""
        return sum(arrival.crashed_backend for arrival in self.arrivals())

    def story(self):
        """Return a line per arrival: time, request id, expected backend, and whether it crashed."""
        arrivals = self.arrivals()
        first_s = arrivals[0].arrived_s
        return [
            f"{a.arrived_s - first_s:.3f} {a.header('X-Request-Id')}"
            f" {a.header('X-Expected-Backend')}{' ended' if a.crashed_backend else ''}"
            for a in arrivals
        ]

    def _watch(self, backend):
        backend.crash_pattern = CRASHING_BODY
        backend.on_crash = lambda: self._handle_crash(backend)

    def _handle_crash(self, backend):
        loop = asyncio.get_running_loop()
        self.crash_times_s.append(loop.time())
        loop.call_later(
            BACK_AFTER_S, lambda: asyncio.ensure_future(self._start_replacement(backend))
        )

    async def _start_replacement(self, old):
        self.generations += 1
        name = f"{old.name.partition('-')[0]}-{self.generations}"
        fresh = StandInBackend(name, old.service, old.role, old.slots)
        await fresh.start()
        self._watch(fresh)
        self._world.backends[name] = fresh
        entry = BackendEntry(name, fresh.service, fresh.address, slots=fresh.slots, role=fresh.role)
        self._position += 1
        for router in self._routers:
            position = SourcePosition(0, self._position)
            router.source.tell(StateChanges(position, None, (entry,), (old.name,)))
