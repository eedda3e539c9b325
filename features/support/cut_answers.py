"""A server whose answers are cut off after any byte, in each framing and behind interim heads."""

import contextlib
import dataclasses
import itertools
import socket
import threading

from yokedock.base.sockets import reset_on_close

LIMIT_S = 5.0
HEAD_END = b"\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"


@dataclasses.dataclass(frozen=True)
class Framing:
    """How a reader knows where an answer ends."""

    name: str
    version: str = "1.1"
    headers: tuple = ()

    def wrap(self, body):
        """Return the bytes of the body as sent."""
        if self.name == "chunked":
            half = len(body) // 2
            chunks = [b"%03x\r\n%s\r\n" % (len(part), part) for part in (body[:half], body[half:])]
            return b"".join(chunks) + b"0;last=1\r\nX-Trailer: t\r\n\r\n"
        return body

    def head(self, status, headers, body):
        """Return the head of an answer; the header of its framing comes last."""
        pairs = [*headers, *self.headers]
        if self.name == "length":
            pairs.append(("Content-Length", str(len(body))))
        lines = [f"HTTP/{self.version} {status} Status", *(f"{k}: {v}" for k, v in pairs)]
        return "\r\n".join(lines).encode() + HEAD_END


FRAMINGS = (
    Framing("length"),
    Framing("chunked", headers=(("Transfer-Encoding", "chunked"),)),
    Framing("unframed"),
    Framing("length", "1.0"),
    Framing("unframed", "1.0"),
)
INTERIM = {"": b"", "100": CONTINUE, "103": EARLY_HINTS}


@dataclasses.dataclass(frozen=True)
class CutAnswer:
    """An answer that is sent up to a byte; then its connection is closed or reset."""

    framing: Framing
    interim: str
    head: bytes
    body: bytes
    sent_bytes: int
    is_reset: bool

    @property
    def data(self):
        """Return what is sent."""
        return (INTERIM[self.interim] + self.head + self.body)[: self.sent_bytes]

    @property
    def is_complete(self):
        """Return whether all of it is sent."""
        return self.sent_bytes == len(INTERIM[self.interim] + self.head + self.body)

    @property
    def looks_whole(self):
        """Return whether no reader could tell that it is cut off, by the protocol."""
        has_head = self.sent_bytes >= len(INTERIM[self.interim] + self.head)
        is_ended_by_close = self.framing.name == "unframed" and has_head and not self.is_reset
        return self.is_complete or is_ended_by_close

    def __str__(self):
        end = "reset" if self.is_reset else "close"
        framing = f"{self.framing.name} {self.framing.version}"
        return f"{framing}, behind {self.interim or 'nothing'}, {end} after {self.data[-24:]!r}"


def cut_answers(body, headers=(), status=200, framings=FRAMINGS, interim=tuple(INTERIM)):
    """Yield one answer cut after each byte, by close and by reset, and each whole one."""
    for framing, before in itertools.product(framings, interim):
        head, sent_body = framing.head(status, headers, body), framing.wrap(body)
        length = len(INTERIM[before] + head + sent_body)
        for sent_bytes, is_reset in itertools.product(range(length + 1), (False, True)):
            if sent_bytes < length or not is_reset:
                yield CutAnswer(framing, before, head, sent_body, sent_bytes, is_reset)


class CuttingServer:
    """Answers each connection's first request with ``answer``, then ends the connection."""

    def __init__(self):
        self.answer = None
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def close(self):
        """End the server."""
        self._socket.shutdown(socket.SHUT_RDWR)
        self._thread.join(LIMIT_S)
        self._socket.close()

    def _run(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._socket.accept()
                with connection, contextlib.suppress(OSError):
                    self._serve(connection)

    def _serve(self, connection):
        connection.settimeout(LIMIT_S)
        _read_request(connection)
        connection.sendall(self.answer.data)
        if self.answer.is_reset:
            reset_on_close(connection)


def _read_request(connection):
    data = b""
    while HEAD_END not in data:
        part = connection.recv(65_536)
        if not part:
            raise ConnectionResetError
        data += part
    head, _, body = data.partition(HEAD_END)
    lengths = [line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:")]
    missing = int(lengths[0].partition(b":")[2]) - len(body) if lengths else 0
    while missing > 0:
        missing -= len(connection.recv(65_536))


def taken_for_whole(answers, read):
    """Return (number of cut answers, texts of those that ``read`` took for whole).

    ``read`` takes the server's address and returns whether it has got an answer. Each complete
    answer must be taken, but for those behind 103, which a reader may refuse.
    """
    server = CuttingServer()
    cut, wrong = 0, []
    try:
        for answer in answers:
            server.answer = answer
            is_taken = read(server.address)
            if answer.is_complete:
                assert is_taken or answer.interim == "103", f"not taken: {answer}"
            elif not answer.looks_whole:
                cut += 1
                wrong += [str(answer)] if is_taken else []
    finally:
        server.close()
    return cut, wrong
