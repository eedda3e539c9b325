"""Polls the platform's list of machines with their states and agent addresses."""

from __future__ import annotations

import threading
from collections.abc import Callable

import msgspec
import urllib3

from yokedock.base.decoding import DECODING_ERRORS
from yokedock.base.logs import logger
from yokedock.base.randomness import new_random
from yokedock.connection.bounded_http import bounded_pool_manager, read_whole

_log = logger("machines")

STATE_LIVE = "live"
STATE_LEAVING = "leaving"
READ_TIMEOUT_S = 2.0


class Machine(msgspec.Struct, frozen=True):
    """One machine; after a replacement, ``agent`` may differ from the address in the bundle."""

    name: str
    state: str
    agent: str = ""


class MachineList(msgspec.Struct, frozen=True):
    """Response of ``GET /v1/machines``; may be outdated."""

    machines: tuple[Machine, ...]


class MachineWatch(threading.Thread):
    """Thread that polls the machine list; the last list stays in force while none can be read."""

    def __init__(
        self, url: str, interval_s: float, on_list: Callable[[dict[str, Machine]], None]
    ) -> None:
        """``on_list`` is called with each list read, as a dictionary by machine name."""
        super().__init__(name="machine list", daemon=True)
        self._url = f"{url.rstrip('/')}/v1/machines"
        self._interval_s = interval_s
        self._on_list = on_list
        self._pool = bounded_pool_manager(1)
        self._stopping = threading.Event()
        self._random = new_random()

    def stop(self) -> None:
        """Stop the thread."""
        self._stopping.set()

    def run(self) -> None:
        """Poll at the interval, with jitter so that the readers' requests spread out."""
        while not self._stopping.is_set():
            try:
                response = read_whole(
                    self._pool.request(
                        "GET", self._url, timeout=READ_TIMEOUT_S, preload_content=False
                    )
                )
                machines = msgspec.json.decode(response.data, type=MachineList).machines
                self._on_list({machine.name: machine for machine in machines})
            except (urllib3.exceptions.HTTPError, *DECODING_ERRORS) as error:
                _log.warning("could not read the machine list", error=str(error))
            self._stopping.wait(self._interval_s * self._random.uniform(0.75, 1.25))
