"""An open-loop caller: sends each request at its time, however many still run."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import re
import selectors
import socket
from collections.abc import Callable

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock_emulator.bench_deployment import TOKEN
from yokedock_emulator.workload import Arrival

_RETRY_AFTER = re.compile(rb"\r\nRetry-After: (\d+)")
RECEIVE_BYTES = 65_536
DRAIN_LIMIT_S = 40.0
PROGRESS_S = 5.0
REFUSAL_STATUSES = (429, 503)


@dataclasses.dataclass
class RequestResult:
    """What became of one request; times are monotonic seconds."""

    arrival: Arrival
    sent_s: float
    status: int = 0
    first_s: float = 0.0
    last_s: float = 0.0
    events: int = 0
    is_whole: bool = False
    is_cut: bool = False
    ended_s: float = 0.0
    retry_after_s: int = 0
    is_return: bool = False
    """Whether the request was sent again, once, at the time its refusal named."""

    @property
    def first_token_ms(self) -> float:
        """Return the time to the first token."""
        return (self.first_s - self.sent_s) * 1000

    @property
    def between_tokens_ms(self) -> float:
        """Return the mean time between tokens."""
        gaps = self.arrival.output_tokens - 1
        return (self.last_s - self.first_s) * 1000 / gaps if gaps > 0 else 0.0

    @property
    def is_refused(self) -> bool:
        """Return whether the request was refused before any work."""
        return self.status in REFUSAL_STATUSES

    def is_good(self) -> bool:
        """Return whether the answer was whole and met both targets of its class."""
        traffic = self.arrival.traffic
        return (
            self.is_whole
            and self.first_token_ms <= traffic.first_token_ms
            and self.between_tokens_ms <= traffic.between_tokens_ms
        )


class OpenLoop:
    """Sends a schedule to gateways in turn and reads all answers in one loop."""

    def __init__(
        self,
        addresses: list[str],
        model: str,
        progress: Callable[[str], None],
        returns: bool = False,
    ) -> None:
        """Send to the gateways at ``addresses``; ``returns``: a refused caller comes back once."""
        self._addresses = addresses
        self._model = model
        self._progress = progress
        self._selector = selectors.DefaultSelector()
        self._open = 0
        self._returns = returns
        self._due: list[tuple[float, int, Arrival]] = []
        self._due_numbers = itertools.count()
        self.results: list[RequestResult] = []

    def run(self, arrivals: list[Arrival]) -> list[RequestResult]:
        """Send everything at its time, wait for all answers, and return what became of each."""
        started_s = boot_time_s()
        next_progress_s = started_s + PROGRESS_S
        for number, arrival in enumerate(arrivals):
            due_s = started_s + arrival.at_s
            while (remaining_s := due_s - boot_time_s()) > 0:
                self._poll(min(remaining_s, 0.02))
            self.results.append(self._send(arrival, self._address(number)))
            if boot_time_s() > next_progress_s:
                next_progress_s += PROGRESS_S
                self._progress(f"{number + 1}/{len(arrivals)} sent, {self._open} open")
        give_up_s = boot_time_s() + DRAIN_LIMIT_S
        while (self._open or self._due) and boot_time_s() < give_up_s:
            self._poll(0.05)
        return self.results

    def _address(self, number: int) -> str:
        return self._addresses[number % len(self._addresses)]

    def _send_returns(self) -> None:
        """Send again what was refused, at the time that the refusal named."""
        while self._due and self._due[0][0] <= boot_time_s():
            _, number, arrival = heapq.heappop(self._due)
            result = self._send(arrival, self._address(number))
            result.is_return = True
            self.results.append(result)

    def _send(self, arrival: Arrival, address: str) -> RequestResult:
        body = msgspec.json.encode(
            {
                "model": self._model,
                "prompt": arrival.prompt,
                "max_tokens": arrival.output_tokens,
                "stream": True,
            }
        )
        host, _, port = address.rpartition(":")
        head = (
            f"POST /v1/completions HTTP/1.1\r\nHost: gateway\r\nAuthorization: Bearer {TOKEN}\r\n"
            f"X-Request-Class: {arrival.traffic.name}\r\nX-Deadline-Ms: {_patience_ms(arrival)}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        result = RequestResult(arrival, boot_time_s())
        connection = socket.create_connection((host, int(port)))
        connection.sendall(head.encode() + body)
        connection.setblocking(False)
        self._selector.register(connection, selectors.EVENT_READ, result)
        self._open += 1
        return result

    def _poll(self, timeout_s: float) -> None:
        for key, _ in self._selector.select(timeout_s):
            self._read(key.fileobj, key.data)  # type: ignore[arg-type]
        self._send_returns()

    def _read(self, connection: socket.socket, result: RequestResult) -> None:
        try:
            data = connection.recv(RECEIVE_BYTES)
        except ConnectionError:
            data = b""
        now = boot_time_s()
        if not result.status and data:
            result.status = int(data.split(b" ", 2)[1])
            retry_after = _RETRY_AFTER.search(data)
            result.retry_after_s = int(retry_after[1]) if retry_after else 0
        events = data.count(b"data: {")
        if events and result.status == 200:
            result.first_s = result.first_s or now
            result.last_s = now
            result.events += events
        result.is_cut = result.is_cut or b'data: {"error"' in data
        result.is_whole = result.is_whole or b"data: [DONE]" in data
        if not data or result.is_whole or result.is_cut or result.status != 200:
            result.ended_s = now
            self._selector.unregister(connection)
            connection.close()
            self._open -= 1
            if self._returns and result.retry_after_s and not result.is_return:
                due_s = now + result.retry_after_s
                heapq.heappush(self._due, (due_s, next(self._due_numbers), result.arrival))


def _patience_ms(arrival: Arrival) -> int:
    """Return how long a caller waits for the whole answer: far beyond its targets."""
    return 10_000 + 60 * arrival.output_tokens
