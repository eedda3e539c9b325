"""A server that answers before it has read the request, or with a status that is none."""

import contextlib
import socket
import threading
import time

from yokedock.base.sockets import reset_on_close

LIMIT_S = 5.0
HEAD_END = b"\r\n\r\n"
RECEIVE_BUFFER_BYTES = 4096
"""So small that most of an upload waits to be sent."""
CUT_AFTER_S = 0.2
"""Time in which the upload gets stuck, and what was answered is read."""


class EarlyServer:
    """Answers each connection's request with ``answer`` once it has read the head.

    ``end`` is what it does then: "reset" or "close" the connection, or "half-close" it, all while
    the body waits to be sent; "read" the rest of the request and keep the connection.
    """

    def __init__(self, answer, end="read", service="", role=""):
        self.name = self.version = ""
        self.service, self.role, self.slots = service, role, 4
        self._answer = answer
        self._end = end
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._socket.bind(("127.0.0.1", 0))
        self._socket.listen()
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        threading.Thread(target=self._run, daemon=True).start()

    async def stop(self):
        """End the server."""
        self.close()

    def close(self):
        """End the server."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()

    def _run(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._socket.accept()
                threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        connection.settimeout(LIMIT_S)
        with connection, contextlib.suppress(OSError):
            head = b""
            while HEAD_END not in head:
                head += connection.recv(1)
            connection.sendall(self._answer)
            if self._end == "read":
                while connection.recv(65_536):
                    pass
                return
            time.sleep(CUT_AFTER_S)
            if self._end == "half-close":
                connection.shutdown(socket.SHUT_WR)
                time.sleep(LIMIT_S)
            if self._end == "reset":
                reset_on_close(connection)
