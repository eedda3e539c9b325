"""A backend that accepts connections but never reads, so that its receive buffers fill up."""

import socket

RECEIVE_BUFFER_BYTES = 4096


class UnreadingBackend:
    """Only listens: the kernel accepts, and stops acknowledging once its small buffer is full."""

    def __init__(self):
        self._server = socket.socket()
        self._server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._server.bind(("127.0.0.1", 0))
        self._server.listen()
        self.address = f"127.0.0.1:{self._server.getsockname()[1]}"

    def close(self):
        self._server.close()
