"""A small TCP relay that can hold or cut one or both directions of a link."""

import contextlib
import socket
import threading
import time

BUFFER = 65536
POLL_S = 0.005


class Relay:
    """Passes connections on to a target; ``hold`` and ``cut`` act on all of them."""

    def __init__(self, listen, target):
        self.address = listen
        self._target = target
        self._held = set()
        self._is_cut = False
        self.delay_s = 0.0
        """Time that everything takes in each direction."""
        self._sockets = set()
        self._server = socket.create_server(self._split(listen))
        threading.Thread(target=self._accept, daemon=True).start()

    def hold(self, *directions):
        """Let nothing through in the directions "forth" (to the target) and "back"."""
        self._held = set(directions)

    def cut(self):
        """Close all connections and refuse new ones."""
        self._is_cut = True
        for connection in list(self._sockets):
            self._close(connection)

    def heal(self):
        self._held = set()
        self._is_cut = False
        self.delay_s = 0.0

    def close(self):
        self.cut()
        self._server.close()

    def _accept(self):
        while True:
            try:
                near, _ = self._server.accept()
            except OSError:
                return
            if self._is_cut:
                near.close()
                continue
            try:
                far = socket.create_connection(self._split(self._target), timeout=2.0)
            except OSError:
                near.close()
                continue
            far.settimeout(None)
            for end in (near, far):
                end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._sockets |= {near, far}
            threading.Thread(target=self._pump, args=(near, far, "forth"), daemon=True).start()
            threading.Thread(target=self._pump, args=(far, near, "back"), daemon=True).start()

    def _pump(self, source, sink, direction):
        with contextlib.suppress(OSError):
            while data := source.recv(BUFFER):
                time.sleep(self.delay_s)
                while direction in self._held:
                    time.sleep(POLL_S)
                sink.sendall(data)
        self._close(source)
        self._close(sink)

    def _close(self, connection):
        self._sockets.discard(connection)
        with contextlib.suppress(OSError):
            connection.shutdown(socket.SHUT_RDWR)
        connection.close()

    def _split(self, address):
        host, _, port = address.rpartition(":")
        return host, int(port)
