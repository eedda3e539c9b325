"""A backend that accepts connections and never reads: soon it acknowledges nothing more."""

import socket

RECEIVE_BYTES = 4096


class UnreadingBackend:
    """Listens; the kernel accepts, and stops acknowledging once its small buffer is full."""

    def __init__(self):
        self._server = socket.socket()
        self._server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        self._server.bind(("127.0.0.1", 0))
        self._server.listen()
        self.address = f"127.0.0.1:{self._server.getsockname()[1]}"

    def close(self):
        self._server.close()
