"""The router processes of the soak: started, struck and started again under the same addresses."""

from __future__ import annotations

import asyncio
import signal
from typing import Any

from yokedock.base.clock import boot_time_s
from yokedock.base.ordered_set import OrderedSet
from yokedock_emulator.raw_exchange import get_page
from yokedock_emulator.router_soak.soak_plan import (
    ALL_ROUTERS_KILLED,
    CUT_KINDS,
    DEFAULT_OPTIONS,
    ROUTERS,
    SoakEvent,
    SoakOptions,
)
from yokedock_emulator.router_soak.soak_processes import RouterLauncher, RouterProcess
from yokedock_emulator.router_soak.soak_records import ProcessorWait, RouterLife, SoakHistory

GRACE_S = 8.0
"""Time from SIGTERM to SIGKILL, as on the platform."""
WATCH_S = 0.03
READY_LIMIT_S = 15.0
READY_POLL_S = 0.1
TAKES_NEW_S = 2.0
"""The platform's balancer sends a router new connections until it has missed two questions, one a
second."""
MOST_DOWN = 2
"""Routers that are down or frozen at the same time, at most."""
NARROW_LINK_MBPS = 10.0
"""Carries half as much again as a router's share of the callers, but not all of them."""
RETRY_RATIO = 0.05
RETRY_WINDOW_S = 10.0
RETRY_ALLOWANCE = 8
"""The retry budget: small, so that the faults reach its limit."""


class SoakFleet:
    """All routers; ``lives`` in the history tells what became of each process."""

    def __init__(
        self,
        launcher: RouterLauncher,
        store: str,
        history: SoakHistory,
        options: SoakOptions = DEFAULT_OPTIONS,
    ) -> None:
        """Run routers that read their state from the store at address ``store``.

        With ``has_stops_in_turn``, callers open connections to a router until it exits; with
        ``has_uneven_balancing``, the links of routers are narrow.
        """
        self._gets_new_until_exit = options.has_stops_in_turn
        self._link_mbps = NARROW_LINK_MBPS if options.has_uneven_balancing else 0.0
        self._launcher = launcher
        self._store = store
        self._history = history
        self._processes: dict[int, RouterProcess] = {}
        self._lives: dict[int, RouterLife] = {}
        self._tasks: OrderedSet[asyncio.Task[None]] = OrderedSet()
        self._is_ending = False

    async def start(self) -> None:
        """Start all and wait until they are ready."""
        for router in range(ROUTERS):
            self._start(router, is_first=True)
        async with asyncio.timeout(READY_LIMIT_S):
            while any(life.ready_s is None for life in self._lives.values()):
                await asyncio.sleep(READY_POLL_S)

    async def settle(self) -> None:
        """Wait until no process is stopping, starting or frozen."""
        async with asyncio.timeout(GRACE_S + READY_LIMIT_S):
            while any(self._is_struck(router) for router in range(ROUTERS)):
                await asyncio.sleep(READY_POLL_S)

    async def stop(self) -> None:
        """Stop all processes in order and wait until they are gone."""
        self._is_ending = True
        for router in range(ROUTERS):
            self._terminate(router)
        while any(life.ended_s is None for life in self._lives.values()):
            await asyncio.sleep(WATCH_S)

    def close(self) -> None:
        """End whatever still runs."""
        self._is_ending = True
        for task in self._tasks:
            task.cancel()
        for process in self._processes.values():
            process.kill()
        self._launcher.close()

    # --- For callers ---

    def callers_address(self, router: int) -> str:
        """Return where a router takes callers."""
        return f"{self._launcher.hosts[router]}:{self._launcher.ports[0]}"

    def life(self, router: int) -> int:
        """Return the number of a router's process."""
        return self._lives[router].number

    def takes_new(self, router: int) -> bool:
        """Return whether the balancer sends new connections there."""
        life = self._lives[router]
        if life.ready_s is None or life.ended_s is not None:
            return False
        terminated_s = life.terminated_s
        if terminated_s is None or self._gets_new_until_exit:
            return True
        return boot_time_s() - terminated_s < TAKES_NEW_S

    def stopping(self) -> list[int]:
        """Return the routers that were told to stop and have not exited."""
        return [
            router
            for router, life in self._lives.items()
            if life.terminated_s is not None and life.ended_s is None
        ]

    async def levels(self, router: int) -> dict[str, float]:
        """Return the figures without labels of a router's metrics page."""
        _, body = await get_page(
            f"{self._launcher.hosts[router]}:{self._launcher.ports[2]}", "/metrics"
        )
        pairs = (line.rpartition(" ") for line in body.decode().splitlines())
        return {name: float(value) for name, _, value in pairs if "{" not in name}

    # --- What strikes routers ---

    def strike(self, event: SoakEvent) -> str:
        """Let something happen to a router; return what was done, empty if nothing."""
        router = event.target
        life, process = self._lives[router], self._processes[router]
        down = sum(self._is_struck(other) for other in range(ROUTERS))
        is_spared = down >= MOST_DOWN and not self._is_struck(router) and not event.is_in_turn
        if life.ended_s is not None or is_spared:
            return ""
        if event.kind == "hang-up":
            if not process.handles_signal(signal.SIGHUP):
                life.hung_up_unhandled = True
            life.hang_ups_s.append(boot_time_s())
            process.send_signal(signal.SIGHUP)
        elif event.kind in CUT_KINDS and self._launcher.can_cut:
            group = [router] if event.partner is None else [router, event.partner]
            for each in group:
                self._after(self._cut(each, group, event))
        elif event.kind == "freeze" or event.kind in CUT_KINDS:
            self._after(self._freeze(router, event.length_s))
        elif event.kind == "kill":
            life.killed_s = boot_time_s()
            process.kill()
        elif life.terminated_s is None:
            self._terminate(router)
        else:
            return ""
        partner = "" if event.partner is None else f" with router {event.partner}"
        return f"router {router} life {life.number}: {event.kind} {event.length_s:.2f}{partner}"

    def kill_all(self) -> str:
        """Kill all routers at the same moment, also those that are frozen, stopping or starting."""
        now_s = boot_time_s()
        self._history.all_routers_killed_s.append(now_s)
        for router, process in self._processes.items():
            life = self._lives[router]
            if life.ended_s is None and life.killed_s is None:
                life.killed_s = now_s
                process.kill()
        return ALL_ROUTERS_KILLED

    def _is_struck(self, router: int) -> bool:
        life = self._lives[router]
        is_frozen = any(until_s > boot_time_s() for _, until_s in life.freezes)
        return is_frozen or None in (life.ready_s,) or _is_ending(life)

    def _terminate(self, router: int) -> None:
        life, process = self._lives[router], self._processes[router]
        if life.terminated_s is None and life.ended_s is None:
            life.terminated_s = boot_time_s()
            process.send_signal(signal.SIGTERM)

    async def _freeze(self, router: int, length_s: float) -> None:
        life, process = self._lives[router], self._processes[router]
        now_s = boot_time_s()
        life.freezes.append((now_s, now_s + length_s))
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(length_s)
        process.send_signal(signal.SIGCONT)
        life.freezes[-1] = (now_s, boot_time_s())

    async def _cut(self, router: int, group: list[int], event: SoakEvent) -> None:
        """Cut a router off for a while; those of its group still reach each other."""
        peers = [] if event.kind == "cut from routers" else [self._launcher.store_host]
        if event.kind != "cut from store":
            hosts = enumerate(self._launcher.hosts)
            peers += [host for number, host in hosts if number not in group]
        now_s = boot_time_s()
        self._lives[router].cuts.append((now_s, now_s + event.length_s))
        self._launcher.cut(router, peers)
        await asyncio.sleep(event.length_s)
        self._launcher.heal(router, peers)

    # --- Lives ---

    def _start(self, router: int, is_first: bool) -> None:
        number = self._lives[router].number + 1 if router in self._lives else 1
        life = RouterLife(router, number, boot_time_s())
        self._processes[router] = self._launcher.start(router, self._fields(router, is_first))
        self._lives[router] = self._history.lives[life.key] = life
        self._after(self._watch(life, self._processes[router]))
        self._after(self._wait_ready(life))

    async def _watch(self, life: RouterLife, process: RouterProcess) -> None:
        """See a process to its end, and start the next."""
        while process.poll() is None:
            await asyncio.sleep(WATCH_S)
            wait = ProcessorWait(boot_time_s(), process.processor_wait_s())
            life.processor_waits.append(wait)
            since_s = boot_time_s() - (life.terminated_s or boot_time_s())
            if since_s > GRACE_S and life.killed_s is None:
                life.killed_s = boot_time_s()
                process.kill()
        life.ended_s, life.exit_code = boot_time_s(), process.returncode
        self._history.tell(life.ended_s, f"router {life.router} life {life.number}: ended")
        if not self._is_ending:
            await asyncio.sleep(0.3)
            self._start(life.router, is_first=False)

    async def _wait_ready(self, life: RouterLife) -> None:
        address = f"{self._launcher.hosts[life.router]}:{self._launcher.ports[1]}"
        while life.ended_s is None and life.ready_s is None:
            await asyncio.sleep(READY_POLL_S)
            try:
                async with asyncio.timeout(1.0):
                    status, _ = await get_page(address, "/readiness")
            except (OSError, EOFError, TimeoutError):
                continue
            if status == 200:
                life.ready_s = boot_time_s()

    def _after(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _fields(self, router: int, is_first: bool) -> dict[str, Any]:
        host, (callers, ready, fleet) = self._launcher.hosts[router], self._launcher.ports
        return {
            "nodeName": f"router-{router}",
            "zone": "zone-1",
            "listenAddrs": {"frontend": f"{host}:{callers}", "ready": f"{host}:{ready}"},
            "ipAddress": host,
            "internalPortRange": [fleet, self._launcher.origin_store_port],
            "seedNodes": [f"{each}:{fleet}" for each in self._launcher.hosts[:3]],
            "bootstrap": is_first,
            "platform": {"address": self._store},
            "limits": {"linkMbps": self._link_mbps},
            "bounds": {
                "leaseMs": 3000,
                "retryBudgetRatio": RETRY_RATIO,
                "retryWindowS": RETRY_WINDOW_S,
                "retryAllowance": RETRY_ALLOWANCE,
                "graceS": GRACE_S,
            },
        }


def _is_ending(life: RouterLife) -> bool:
    return life.terminated_s is not None or life.killed_s is not None or life.ended_s is not None
