"""A small HTTP layer over waitress: routes, typed bodies, and errors as JSON."""

from __future__ import annotations

import io
import math
import threading
from collections.abc import Callable, Iterable, Iterator
from typing import Any, TypeVar
from urllib.parse import parse_qs

import msgspec
import waitress
import waitress.server
from waitress.channel import ClientDisconnected

from yokedock.base.logs import logger
from yokedock.base.resource_budget import ConnectionGroup, ResourceBudget
from yokedock.connection.held_channel import HeldChannel
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
BUFFER_OVERFLOW_BYTES = 1 << 31
"""Size above which waitress buffers in a file; set so high because machines have no disks."""

UNLIMITED_CONNECTIONS = 1 << 31
"""For waitress, which does not accept any more: the group of the connections decides."""

Write = Callable[[bytes], None]


class HttpRequest:
    """A request as passed to a handler."""

    def __init__(self, environ: dict[str, Any], start_response: Any) -> None:
        """Wrap a WSGI environment."""
        self.environ = environ
        self.method: str = environ["REQUEST_METHOD"]
        self.path: str = environ["PATH_INFO"]
        self.has_responded = False
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
        """Return the body; raises ``PayloadTooLarge`` if it exceeds ``limit`` bytes."""
        length = int(self.environ.get("CONTENT_LENGTH") or 0)
        if length > limit:
            raise PayloadTooLarge(f"the body has {length} bytes; send at most {limit}")
        return bytes(self.environ["wsgi.input"].read(length))

    def json(self, kind: type[Body], limit: int = 1 << 24) -> Body:
        """Return the body parsed as ``kind``; raises ``BadRequest`` naming the invalid field."""
        try:
            return msgspec.json.decode(self.body(limit), type=kind)
        except msgspec.MsgspecError as error:
            raise BadRequest(
                f"{error}; send a JSON document that matches the documented schema"
            ) from None
        except RecursionError:
            raise BadRequest("the JSON document is nested too deeply; send a flatter one") from None

    def client_disconnected(self) -> bool:
        """Return whether the caller has closed its connection."""
        check = self.environ.get("waitress.client_disconnected")
        return bool(check and check())

    def start(self, status: int, headers: list[tuple[str, str]]) -> Write:
        """Send status and headers, and return a function that writes chunks of the body."""
        self.has_responded = True
        wsgi_write: Write = self._start_response(status_line(status), headers)

        def write(data: bytes) -> None:
            try:
                wsgi_write(data)
            except (ClientDisconnected, OSError):
                raise ClientClosedConnection("the caller closed its connection") from None

        return write


class HttpResponse:
    """A response, either complete or streamed in chunks."""

    def __init__(
        self,
        status: int = 200,
        body: bytes = b"",
        content_type: str = JSON_TYPE,
        headers: list[tuple[str, str]] | None = None,
        parts: Iterator[bytes] | None = None,
    ) -> None:
        """Create a response with ``body``, or with ``parts`` if its length is not known."""
        self.status = status
        self.body = body
        self.parts = parts
        self.headers = [("Content-Type", content_type), *(headers or [])]

    @classmethod
    def of(cls, value: Any, status: int = 200) -> HttpResponse:
        """Return a response with ``value`` encoded as JSON."""
        return cls(status, msgspec.json.encode(value))


Handler = Callable[[HttpRequest], HttpResponse | None]
"""Returns the response, or None if it has already responded through ``HttpRequest.start``."""


def status_line(status: int) -> str:
    """Return the status code with its reason phrase."""
    return f"{status} {REASONS.get(status, 'Status')}"


def error_response(error: YokedockError) -> HttpResponse:
    """Return the response for a typed error, with ``Retry-After`` if a retry may succeed."""
    headers = []
    if error.retry_after_s is not None:
        headers.append(("Retry-After", str(max(1, round(error.retry_after_s)))))
    body = msgspec.json.encode(ErrorResponse(error.body()))
    return HttpResponse(error.http_status, body, headers=headers)


def _failure_response(error: Exception) -> HttpResponse:
    """Return the response for any error of a handler."""
    if isinstance(error, YokedockError):
        return error_response(error)
    text = "internal error; see the logs for its traceback"
    body = msgspec.json.encode(ErrorResponse(ErrorBody("internal_error", text, Outcome.UNKNOWN)))
    return HttpResponse(500, body)


class HttpRouter:
    """A WSGI application made of routes. A route ending in ``/`` matches all paths below it."""

    def __init__(self) -> None:
        """Create a router without routes."""
        self._exact_routes: dict[str, dict[str, Handler]] = {}
        self._prefix_routes: dict[str, dict[str, Handler]] = {}

    def add(self, method: str, path: str, handler: Handler) -> None:
        """Register ``handler`` for ``method`` on ``path``."""
        table = self._prefix_routes if path.endswith("/") else self._exact_routes
        table.setdefault(path, {})[method] = handler

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Handle one request (WSGI entry point)."""
        request = HttpRequest(environ, start_response)
        try:
            response = self._find(request)(request)
        except Exception as error:
            if not isinstance(error, YokedockError):
                _log.exception("handler failed", path=request.path)
            if request.has_responded:
                _log.warning("response cut off", path=request.path, error=str(error))
                # Has waitress close the connection without the last chunk of the response.
                raise ClientDisconnected from None
            response = _failure_response(error)
        if response is None or request.has_responded:
            return []
        headers = response.headers
        if response.parts is None:
            headers = [*headers, ("Content-Length", str(len(response.body)))]
        start_response(status_line(response.status), headers)
        if response.parts is not None:
            return response.parts
        # The server sends a file without copying its content first.
        whole: Iterable[bytes] = environ["wsgi.file_wrapper"](io.BytesIO(response.body))
        return whole

    def _find(self, request: HttpRequest) -> Handler:
        methods = self._exact_routes.get(request.path)
        if methods is None:
            methods = next(
                (
                    table
                    for path, table in self._prefix_routes.items()
                    if request.path.startswith(path)
                ),
                None,
            )
        if methods is None:
            raise NotFound(f"no such path: {request.path}; see the README for the paths")
        handler = methods.get(request.method)
        if handler is None:
            raise MethodNotAllowed(f"use {' or '.join(sorted(methods))} on {request.path}")
        return handler


class HttpServer:
    """A waitress server that runs in its own thread."""

    def __init__(
        self,
        application: HttpRouter,
        address: str,
        threads: int,
        max_body_bytes: int = 1 << 24,
        group: ConnectionGroup | None = None,
    ) -> None:
        """Bind ``address`` (port 0: any free port); raises ``SettingsInvalid`` if that fails.

        Its connections belong to ``group``, and are unlimited without one.
        """
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
                connection_limit=UNLIMITED_CONNECTIONS,
                channel_timeout=600,
                channel_request_lookahead=1,
                inbuf_overflow=BUFFER_OVERFLOW_BYTES,
                outbuf_overflow=BUFFER_OVERFLOW_BYTES,
                outbuf_high_watermark=BUFFER_OVERFLOW_BYTES,
                asyncore_use_poll=True,
                clear_untrusted_proxy_headers=True,
            )
        except OSError as error:
            message = f"cannot listen on {address} ({error.strerror}); free it or configure another"
            raise SettingsInvalid(message) from None
        self._server.channel_class = HeldChannel
        self._server.connection_group = group or ResourceBudget(math.inf).group()
        self.address = f"{host}:{self._server.effective_port}"
        self.url = f"http://{self.address}"
        self._thread = threading.Thread(target=self._run, name=f"http {self.address}", daemon=True)

    def start(self) -> None:
        """Start serving."""
        self._thread.start()

    def _run(self) -> None:
        try:
            self._server.run()
        except OSError:
            _log.debug("server closed", address=self.address)

    def stop_accepting(self) -> None:
        """Stop accepting connections; established ones continue to be served."""
        self._server.accepting = False
        self._server.del_channel()
        self._server.socket.close()

    def is_flushed(self) -> bool:
        """Return whether all requests were answered and the answers handed to the kernel."""
        channels = list(self._server.active_channels.values())
        return not any(channel.requests or channel.total_outbufs_len for channel in channels)

    def close(self) -> None:
        """Stop immediately."""
        self._server.close()
