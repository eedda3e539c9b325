"""Follows the platform's list of machines: which are live, which are leaving, where they are."""

from __future__ import annotations

import threading
from collections.abc import Callable

import msgspec
import urllib3

from yokedock.base.logs import logger
from yokedock.base.randomness import new_random

_log = logger("machines")

STATE_LIVE = "live"
STATE_LEAVING = "leaving"
READ_TIMEOUT_S = 2.0


class Machine(msgspec.Struct, frozen=True):
    """One machine; ``agent`` may name another address than the bundle, after a replacement."""

    name: str
    state: str
    agent: str = ""


class MachineList(msgspec.Struct, frozen=True):
    """``GET /v1/machines``: the list, some time ago."""

    machines: tuple[Machine, ...]


class MachineWatch(threading.Thread):
    """The task that polls the list. While the list is down, the last one stays in force."""

    def __init__(
        self, url: str, interval_s: float, on_list: Callable[[dict[str, Machine]], None]
    ) -> None:
        """Call ``on_list`` with each list read, by machine name."""
        super().__init__(name="machine list", daemon=True)
        self._url = f"{url.rstrip('/')}/v1/machines"
        self._interval_s = interval_s
        self._on_list = on_list
        self._pool = urllib3.PoolManager(maxsize=1, retries=False)
        self._stopping = threading.Event()
        self._random = new_random()

    def stop(self) -> None:
        """End the thread."""
        self._stopping.set()

    def run(self) -> None:
        """Poll at the interval, with jitter, so that readers spread out."""
        while not self._stopping.is_set():
            try:
                response = self._pool.request("GET", self._url, timeout=READ_TIMEOUT_S)
                machines = msgspec.json.decode(response.data, type=MachineList).machines
                self._on_list({machine.name: machine for machine in machines})
            except (urllib3.exceptions.HTTPError, msgspec.MsgspecError) as error:
                _log.warning("no machine list", error=str(error))
            self._stopping.wait(self._interval_s * self._random.uniform(0.75, 1.25))
