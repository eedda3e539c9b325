"""Backends that crash when they start to run a harmful request, and are replaced by new ones."""

import asyncio

from support.stand_in_backend import StandInBackend
from yokedock.base.clock import boot_time_s
from yokedock.connection.source_position import SourcePosition
from yokedock.connection.state_source import BackendEntry, StateChanges

CRASHING_BODY = b"ends whoever runs it"
BACK_AFTER_S = 0.1


def has_crashing_body(arrival):
    """Return whether the request is the one that crashes backends."""
    return CRASHING_BODY in arrival.body


class CrashingBackends:
    """Replaces each crashed backend by one of the same kind, and announces it to the routers."""

    def __init__(
        self,
        world,
        routers,
        is_harmful=has_crashing_body,
        back_after_s=BACK_AFTER_S,
        prepare=lambda backend: None,
    ):
        """``is_harmful`` returns whether an arrival crashes the backend that runs it.

        ``prepare`` is called with each new backend before it starts.
        """
        self._world = world
        self._routers = routers
        self._is_harmful = is_harmful
        self._back_after_s = back_after_s
        self._prepare = prepare
        self.position = world.position
        """Position of the state source after the latest replacement."""
        self.generations = 0
        self.crash_times_s = []
        """When backends crashed (boot time, s)."""
        self.gone = set()
        """Names of the backends that were replaced."""
        for backend in list(world.backends.values()):
            if backend.role != "prefill":
                self._watch(backend)

    def arrivals(self):
        """Return the arrivals of harmful requests, including their prefills, by time."""
        backends = self._world.backends.values()
        found = [a for b in backends for a in b.arrivals if self._is_harmful(a)]
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
        backend.crashes_on = self._is_harmful
        backend.on_crash = lambda: self._handle_crash(backend)

    def _handle_crash(self, backend):
        self.crash_times_s.append(boot_time_s())
        asyncio.get_running_loop().call_later(
            self._back_after_s, lambda: asyncio.ensure_future(self._start_replacement(backend))
        )

    async def _start_replacement(self, old):
        self.generations += 1
        name = f"{old.name.partition('-')[0]}-{self.generations}"
        fresh = StandInBackend(name, old.service, old.role, old.slots)
        self._prepare(fresh)
        await fresh.start()
        self._watch(fresh)
        self._world.backends[name] = fresh
        entry = BackendEntry(name, fresh.service, fresh.address, slots=fresh.slots, role=fresh.role)
        self.position += 1
        self.gone.add(old.name)
        for router in self._routers:
            position = SourcePosition(0, self.position)
            router.source.tell(StateChanges(position, None, (entry,), (old.name,)))
