"""A caller's connection of waitress whose requests and answers count in the budget of the process.

Waitress bounds each request and each answer, but keeps any number of them: a request that does not
arrive whole stays until the channel's time-out, and an answer until its caller has read it.
"""

from __future__ import annotations

import time
from typing import Any

import msgspec
from waitress.buffers import ReadOnlyFileBasedBuffer
from waitress.channel import ClientDisconnected, HTTPChannel
from waitress.utilities import Error

from yokedock.base.clock import boot_time_s, remaining_s
from yokedock.base.logs import logger
from yokedock.base.resource_budget import STALLED_S, ConnectionGroup, Holding, Stage
from yokedock.base.sockets import limit_kernel_buffers, reset_on_close
from yokedock.errors import ErrorResponse, OutOfMemory

_log = logger("http")

NO_HEAD = b"GET / HTTP/1.0\r\n"
"""Stands for a head that has not arrived, so that the request can be answered."""
MAX_WAIT_S = 2 * STALLED_S
"""How long a whole answer waits for others to be read."""
ROOM_POLL_S = 0.02
RETRY_AFTER_S = 1
"""What is held changes within a second."""


class RefusedForMemory(Error):  # type: ignore[misc]
    """The response to a request that finds no memory."""

    code = OutOfMemory.http_status
    reason = "Service Unavailable"

    def __init__(self) -> None:
        """Create the response."""
        error = OutOfMemory("there is no memory for the request now; retry later", RETRY_AFTER_S)
        super().__init__(msgspec.json.encode(ErrorResponse(error.body())))

    def to_response(self, ident: str | None = None) -> tuple[str, list[tuple[str, str]], bytes]:
        """Return status line, headers and body."""
        headers = [("Content-Type", "application/json"), ("Retry-After", str(RETRY_AFTER_S))]
        return f"{self.code} {self.reason}", headers, self.body


class HeldChannel(HTTPChannel):  # type: ignore[misc]
    """A connection that was accepted by a server with a ``connection_group``.

    The server's thread reads and writes; requests are served in other threads, which may evict the
    channel too.
    """

    request: Any
    """The request that has not arrived whole, None if there is none."""

    def __init__(self, server: Any, sock: Any, *args: Any, **options: Any) -> None:
        """Serve the connection; it is reset, unread, if there is no room for it."""
        self._answer_bytes = 0
        """Bytes of answers that were written since all were sent; a part that was sent is freed
        with the rest."""
        group: ConnectionGroup = server.connection_group
        holding = group.open(self.evict)
        self._holding: Holding = holding or group.closed()
        limit_kernel_buffers(sock, self._holding.unread_limit_bytes)
        super().__init__(server, sock, *args, **options)
        if holding is None:
            reset_on_close(sock)
            self.handle_close()

    def evict(self) -> None:
        """Have the connection closed; a request that has not arrived whole is refused."""
        _log.info("caller evicted", stage=self._holding.stage.value)
        if not self._refuse_arriving():
            self.will_close = True
        self.server.pull_trigger()

    # --- The server's thread ---

    def received(self, data: bytes) -> bool:
        """Take received data; refuse the request that it belongs to if there is no room."""
        self._holding.record_progress(len(data))
        is_taken = bool(super().received(data))
        self._enter_stage()
        request = self.request
        declared = 0
        if request is not None and request.headers_finished:
            declared = int(request.content_length)
        has_room = self._holding.has_request_room(declared)
        is_held = has_room and self._holding.try_hold_request(self._arrived_bytes())
        if not is_held and not self._refuse_arriving():
            # It has arrived whole, and is served.
            self._holding.hold_request(self._arrived_bytes())
        return is_taken

    def handle_close(self) -> None:
        """Close the connection."""
        super().handle_close()
        self._holding.close()

    def _flush_some(self, do_close: bool = True) -> bool:
        """Send what the kernel takes."""
        before = self.total_outbufs_len
        is_sent = bool(super()._flush_some(do_close=do_close))
        self._holding.record_progress(before - self.total_outbufs_len)
        if not self.total_outbufs_len:
            self._answer_bytes = 0
            self._holding.hold_response(0)
        self._enter_stage()
        return is_sent

    # --- Threads that serve requests ---

    def write_soon(self, data: Any) -> int:
        """Queue a part of an answer; raises ``ClientDisconnected`` if there is no room for it."""
        size = int(super().write_soon(data))
        if self.total_outbufs_len:
            self._answer_bytes += size
            self._holding.hold_response(self._answer_bytes)
        self._enter_stage()
        if isinstance(data, ReadOnlyFileBasedBuffer):
            self._wait_for_room()
        if not self._holding.has_response_room():
            self.evict()
            raise ClientDisconnected
        return size

    def _wait_for_room(self) -> None:
        """Wait until what is queued fits beside what others hold, for a limited time.

        Callers that read their answers make room soon; those that do not have stalled by then.
        """
        until_s = boot_time_s() + MAX_WAIT_S
        while self.total_outbufs_len and not self._holding.has_response_room():
            if remaining_s(until_s) <= 0:
                return
            time.sleep(ROOM_POLL_S)

    def service(self) -> None:
        """Serve one request."""
        super().service()
        self._enter_stage()
        self._holding.hold_request(self._arrived_bytes())

    # --- Either ---

    def _enter_stage(self) -> None:
        if self.total_outbufs_len:
            self._holding.enter(Stage.SENDING)
        elif self.requests:
            self._holding.enter(Stage.SERVED)
        elif self.request is not None:
            self._holding.enter(Stage.RECEIVING)
        else:
            self._holding.enter(Stage.IDLE)

    def _arrived_bytes(self) -> int:
        """Return the size of what has arrived of all requests that are not answered yet."""
        requests = list(self.requests)
        if self.request is not None:
            requests.append(self.request)
        return sum(_arrived_bytes(request) for request in requests)

    def _refuse_arriving(self) -> bool:
        """Refuse the request that has not arrived whole; return False if there is none."""
        with self.requests_lock:
            request = self.request
            if request is None:
                return False
            request.close()
            if not request.headers_finished:
                request.parse_header(NO_HEAD)
            request.body_rcv = None
            request.header_plus = b""
            request.error = RefusedForMemory()
            request.completed = True
            self.request = None
            self.requests.append(request)
            if len(self.requests) == 1:
                self.server.add_task(self)
        self._holding.hold_request(self._arrived_bytes())
        return True


def _arrived_bytes(request: Any) -> int:
    """Return the size of what has arrived of a request, as waitress keeps it."""
    body = request.body_rcv
    return len(request.header_plus) + (0 if body is None else len(body))
