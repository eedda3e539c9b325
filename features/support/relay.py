"""A TCP relay that can hold traffic in either direction, or cut all connections."""

import contextlib
import socket
import threading
import time

BUFFER_BYTES = 65536
POLL_S = 0.005


class Relay:
    """Relays connections to a target; ``hold`` and ``cut`` apply to all of them."""

    def __init__(self, listen, target):
        self.address = listen
        self._target = target
        self._held = set()
        self._is_cut = False
        self.delay_s = 0.0
        """Delay added to each chunk, in both directions."""
        self._sockets = set()
        self._server = socket.create_server(self._split_address(listen))
        threading.Thread(target=self._accept, daemon=True).start()

    def hold(self, *directions):
        """Hold all data in the directions "forth" (to the target) and "back"."""
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
                client, _ = self._server.accept()
            except OSError:
                return
            if self._is_cut:
                client.close()
                continue
            try:
                upstream = socket.create_connection(self._split_address(self._target), timeout=2.0)
            except OSError:
                client.close()
                continue
            upstream.settimeout(None)
            for end in (client, upstream):
                end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._sockets |= {client, upstream}
            threading.Thread(
                target=self._copy, args=(client, upstream, "forth"), daemon=True
            ).start()
            threading.Thread(
                target=self._copy, args=(upstream, client, "back"), daemon=True
            ).start()

    def _copy(self, source, sink, direction):
        with contextlib.suppress(OSError):
            while data := source.recv(BUFFER_BYTES):
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

    def _split_address(self, address):
        host, _, port = address.rpartition(":")
        return host, int(port)
