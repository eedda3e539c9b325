"""Clients that do not behave: many connections that send too slowly, or read too slowly."""

import dataclasses
import selectors
import socket
import threading
import time

TICK_S = 0.02
SETTLED_S = 1.5
"""A crowd of which nothing has moved for this long has done what it was told."""
SETTLE_LIMIT_S = 120.0
SEND_BYTES = 262_144
MAX_KEPT_BYTES = 65_536
"""Received bytes of each member that are kept, from the first one on."""
BODY = bytes(4_194_304)
"""A body of the largest size that callers may send by default."""
CHUNK_BYTES = 8192
CHUNK = b"%x\r\n%s\r\n" % (CHUNK_BYTES, bytes(CHUNK_BYTES))
BODY_IN_CHUNKS = CHUNK * (len(BODY) // len(CHUNK))
"""Chunks of a body of that size, without the last one."""
READS_ALL = float("inf")
READS_NOTHING = 0.0


@dataclasses.dataclass
class Member:
    """One connection of a crowd."""

    number: int
    sock: socket.socket
    parts: list
    """Buffers that are still to be sent, in order."""
    received: bytearray = dataclasses.field(default_factory=bytearray)
    allowance: float = 0.0
    """Bytes that it may read now."""
    is_closed: bool = False
    """Whether the other side has ended the connection."""

    def status(self):
        """Return the status of the first response, None if there is none."""
        words = bytes(self.received[:64]).split(b" ", 2)
        return int(words[1]) if len(words) == 3 and words[0].startswith(b"HTTP/") else None


class Crowd:
    """``count`` connections to one address, served by a thread of their own until ``close``.

    ``parts_of(number)`` returns the buffers that a member sends. Each reads ``bytes_per_s``. One
    whose connection has ended comes again at once, ``returns`` times; with ``leaves_when_sent`` it
    ends the connection itself once everything is sent.
    """

    def __init__(
        self,
        address,
        count,
        parts_of,
        bytes_per_s=READS_ALL,
        returns=0,
        leaves_when_sent=False,
    ):
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._parts_of = parts_of
        self._bytes_per_s = bytes_per_s
        self._leaves_when_sent = leaves_when_sent
        self._returns_left = dict.fromkeys(range(count), returns)
        self.members = {}
        self._moved_s = time.monotonic()
        self._is_ending = False
        for number in range(count):
            self._join(number)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def settle(self):
        """Wait until nothing of the crowd moves any more, except for what is read slowly."""
        until_s = time.monotonic() + SETTLE_LIMIT_S
        while time.monotonic() - self._moved_s < SETTLED_S:
            assert time.monotonic() < until_s, "the crowd does not come to rest"
            time.sleep(TICK_S)

    def close(self):
        """End all connections."""
        self._is_ending = True
        self._thread.join()
        for member in self.members.values():
            member.sock.close()

    def numbers_told(self, status):
        """Return the numbers of the members whose first response has ``status``."""
        return {n for n, member in self.members.items() if member.status() == status}

    def _join(self, number):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(self._address)
        parts = [memoryview(part) for part in self._parts_of(number)]
        self.members[number] = Member(number, sock, parts)
        self._moved_s = time.monotonic()

    def _run(self):
        last_s = time.monotonic()
        while not self._is_ending:
            now_s = time.monotonic()
            self._turn(now_s - last_s)
            last_s = now_s

    def _turn(self, elapsed_s):
        with selectors.DefaultSelector() as selector:
            for member in list(self.members.values()):
                member.allowance = min(
                    member.allowance + self._bytes_per_s * elapsed_s, self._bytes_per_s
                )
                events = self._wanted(member)
                if events and not member.is_closed:
                    selector.register(member.sock, events, member)
            if not selector.get_map():
                time.sleep(TICK_S)
                return
            for key, events in selector.select(TICK_S):
                self._serve(key.data, events)
        if self._bytes_per_s not in (READS_ALL, READS_NOTHING):
            time.sleep(TICK_S)

    def _wanted(self, member):
        events = selectors.EVENT_WRITE if member.parts else 0
        return events | (selectors.EVENT_READ if member.allowance >= 1 else 0)

    def _serve(self, member, events):
        try:
            if events & selectors.EVENT_WRITE and member.parts:
                self._send(member)
            if events & selectors.EVENT_READ:
                self._read(member)
        except BlockingIOError:
            return
        except OSError:
            self._end(member)

    def _send(self, member):
        part = member.parts[0]
        sent = member.sock.send(part[:SEND_BYTES])
        self._moved_s = time.monotonic()
        if sent < len(part):
            member.parts[0] = part[sent:]
            return
        del member.parts[0]
        if not member.parts and self._leaves_when_sent:
            self._end(member)

    def _read(self, member):
        most = int(min(member.allowance, SEND_BYTES))
        data = member.sock.recv(most)
        if not data:
            self._end(member)
            return
        member.allowance -= len(data)
        if len(member.received) < MAX_KEPT_BYTES:
            member.received += data
        if self._bytes_per_s == READS_ALL:
            self._moved_s = time.monotonic()

    def _end(self, member):
        member.is_closed = True
        member.sock.close()
        self._moved_s = time.monotonic()
        if self._returns_left[member.number]:
            self._returns_left[member.number] -= 1
            self._join(member.number)
