"""A small HTTP layer over waitress: routes, typed bodies, and errors as JSON."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Iterator
from typing import Any, TypeVar
from urllib.parse import parse_qs

import msgspec
import waitress
import waitress.server
from waitress.channel import ClientDisconnected

from yokedock.base.logs import logger
from yokedock.errors import (
    BadRequest,
    ClientClosedConnection,
    ErrorBody,
    ErrorResponse,
    MethodNotAllowed,
    NotFound,
    Outcome,
    PayloadTooLarge,
    SettingsInvalid,
    YokedockError,
)

_log = logger("http")
Body = TypeVar("Body")

JSON_TYPE = "application/json"
REASONS = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    410: "Gone",
    413: "Content Too Large",
    429: "Too Many Requests",
    499: "Client Closed Request",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
IN_MEMORY_BYTES = 1 << 31
"""Threshold above which waitress would use a file: never, since machines have no disks."""

Write = Callable[[bytes], None]


class HttpRequest:
    """One request as a handler sees it."""

    def __init__(self, environ: dict[str, Any], start_response: Any) -> None:
        """Wrap a WSGI environment."""
        self.environ = environ
        self.method: str = environ["REQUEST_METHOD"]
        self.path: str = environ["PATH_INFO"]
        self.is_answered = False
        self._start_response = start_response

    def header(self, name: str) -> str | None:
        """Return a request header, None if absent."""
        value = self.environ.get("HTTP_" + name.upper().replace("-", "_"))
        return None if value is None else str(value)

    def query(self, name: str, default: str = "") -> str:
        """Return the first value of a query parameter."""
        values = parse_qs(self.environ.get("QUERY_STRING", "")).get(name)
        return values[0] if values else default

    def body(self, limit: int) -> bytes:
        """Return the body; raises ``PayloadTooLarge`` over ``limit`` bytes."""
        length = int(self.environ.get("CONTENT_LENGTH") or 0)
        if length > limit:
            raise PayloadTooLarge(f"the body has {length} bytes; send at most {limit}")
        return bytes(self.environ["wsgi.input"].read(length))

    def json(self, kind: type[Body], limit: int = 1 << 24) -> Body:
        """Return the body parsed as ``kind``; raises ``BadRequest`` naming the wrong field."""
        try:
            return msgspec.json.decode(self.body(limit), type=kind)
        except msgspec.MsgspecError as error:
            raise BadRequest(f"{error}; send a JSON document of the documented form") from None
        except RecursionError:
            raise BadRequest("the JSON document nests too deeply; send a flatter one") from None

    def client_disconnected(self) -> bool:
        """Return whether the caller has closed its connection."""
        check = self.environ.get("waitress.client_disconnected")
        return bool(check and check())

    def start(self, status: int, headers: list[tuple[str, str]]) -> Write:
        """Send status and headers, and return the function that writes parts of the body."""
        self.is_answered = True
        raw_write: Write = self._start_response(status_line(status), headers)

        def write(data: bytes) -> None:
            try:
                raw_write(data)
            except (ClientDisconnected, OSError):
                raise ClientClosedConnection("the caller closed its connection") from None

        return write


class HttpResponse:
    """A whole answer, or one made part by part."""

    def __init__(
        self,
        status: int = 200,
        body: bytes = b"",
        content_type: str = JSON_TYPE,
        headers: list[tuple[str, str]] | None = None,
        parts: Iterator[bytes] | None = None,
    ) -> None:
        """Give ``body``, or ``parts`` for an answer without a known length."""
        self.status = status
        self.body = body
        self.parts = parts
        self.headers = [("Content-Type", content_type), *(headers or [])]

    @classmethod
    def of(cls, value: Any, status: int = 200) -> HttpResponse:
        """Return ``value`` as a JSON answer."""
        return cls(status, msgspec.json.encode(value))


Handler = Callable[[HttpRequest], HttpResponse | None]
"""Returns the answer, or None after it has answered through ``HttpRequest.start``."""


def status_line(status: int) -> str:
    """Return the status with its reason."""
    return f"{status} {REASONS.get(status, 'Status')}"


def error_response(error: YokedockError) -> HttpResponse:
    """Return the answer for a typed error, with ``Retry-After`` where a retry may succeed."""
    headers = []
    if error.retry_after_s is not None:
        headers.append(("Retry-After", str(max(1, round(error.retry_after_s)))))
    body = msgspec.json.encode(ErrorResponse(error.body()))
    return HttpResponse(error.http_status, body, headers=headers)


class HttpRouter:
    """A WSGI application made of routes. A route ending in ``/`` takes all paths below it."""

    def __init__(self) -> None:
        """Start with no route."""
        self._exact: dict[str, dict[str, Handler]] = {}
        self._below: dict[str, dict[str, Handler]] = {}

    def add(self, method: str, path: str, handler: Handler) -> None:
        """Answer ``method`` on ``path`` by ``handler``."""
        table = self._below if path.endswith("/") else self._exact
        table.setdefault(path, {})[method] = handler

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Answer one request (WSGI)."""
        request = HttpRequest(environ, start_response)
        try:
            response = self._find(request)(request)
        except YokedockError as error:
            response = error_response(error)
        except Exception:
            _log.exception("handler failed", path=request.path)
            text = "an unexpected error; look in the logs for its traceback"
            body = msgspec.json.encode(
                ErrorResponse(ErrorBody("internal_error", text, Outcome.UNKNOWN))
            )
            response = HttpResponse(500, body)
        if response is None or request.is_answered:
            return []
        headers = response.headers
        if response.parts is None:
            headers = [*headers, ("Content-Length", str(len(response.body)))]
        start_response(status_line(response.status), headers)
        return response.parts if response.parts is not None else [response.body]

    def _find(self, request: HttpRequest) -> Handler:
        methods = self._exact.get(request.path)
        if methods is None:
            methods = next(
                (table for path, table in self._below.items() if request.path.startswith(path)),
                None,
            )
        if methods is None:
            raise NotFound(f"there is no {request.path}; look up the path in the README")
        handler = methods.get(request.method)
        if handler is None:
            raise MethodNotAllowed(f"use {' or '.join(sorted(methods))} on {request.path}")
        return handler


class HttpServer:
    """A waitress server on its own thread."""

    def __init__(
        self,
        application: HttpRouter,
        address: str,
        threads: int,
        max_body_bytes: int = 1 << 24,
        connection_limit: int = 4000,
    ) -> None:
        """Bind ``address`` (port 0: any free one); raises ``SettingsInvalid`` if it is taken."""
        host, _, port = address.rpartition(":")
        try:
            self._server = waitress.server.create_server(
                application,
                map={},
                host=host,
                port=int(port),
                threads=threads,
                ident="yokedock",
                max_request_body_size=max_body_bytes,
                connection_limit=connection_limit,
                channel_timeout=600,
                channel_request_lookahead=1,
                inbuf_overflow=IN_MEMORY_BYTES,
                outbuf_overflow=IN_MEMORY_BYTES,
                outbuf_high_watermark=IN_MEMORY_BYTES,
                asyncore_use_poll=True,
                clear_untrusted_proxy_headers=True,
            )
        except OSError as error:
            message = f"cannot listen on {address} ({error.strerror}); free it or name another"
            raise SettingsInvalid(message) from None
        self.address = f"{host}:{self._server.effective_port}"
        self.url = f"http://{self.address}"
        self._thread = threading.Thread(target=self._run, name=f"http {self.address}", daemon=True)

    def start(self) -> None:
        """Begin to answer."""
        self._thread.start()

    def _run(self) -> None:
        try:
            self._server.run()
        except OSError:
            _log.debug("server closed", address=self.address)

    def stop_accepting(self) -> None:
        """Take no new connection; those that are open go on."""
        self._server.accepting = False
        self._server.del_channel()
        self._server.socket.close()

    def is_flushed(self) -> bool:
        """Return whether every answer has been handed to the network."""
        channels = list(self._server.active_channels.values())
        return all(channel.total_outbufs_len == 0 for channel in channels)

    def close(self) -> None:
        """Stop at once."""
        self._server.close()
