"""Typed errors of the router: failed backend requests, invalid input and lost change history."""

from __future__ import annotations

from yokedock.errors import (
    BadRequest,
    EngineLost,
    EngineRejected,
    EngineUnavailable,
    PlatformUnavailable,
    YokedockError,
)


class BackendResponseLost(YokedockError):
    """A backend may have executed the request, but its response was lost."""

    code = "backend_answer_lost"
    http_status = 502


class BackendRefused(EngineRejected):
    """The backend stated that it did not execute the request and will not execute it."""

    code = "backend_refused"
    http_status = 503


class BackendUnreachable(EngineUnavailable):
    """No connection to the backend could be established: nothing was sent."""

    code = "backend_unreachable"


class BackendNotAccepting(BackendUnreachable):
    """The backend accepts no request now: nothing was sent.

    After it was selected it began to leave, asked for a pause, or reached a request or connection
    limit.
    """

    code = "backend_unwilling"


class BackendResponseError(EngineLost):
    """The connection ended or returned an invalid response after the request was sent."""

    code = "backend_broken"
    http_status = 502


class BackendConnectionClosed(BackendResponseError):
    """The backend closed or reset the connection before its response was complete.

    The backend may have terminated.
    """

    code = "backend_closed"


class ResponseTooLarge(BackendResponseError):
    """The response is larger than the limit set by the caller."""

    code = "answer_too_long"


class HeaderTooLarge(BadRequest):
    """The request header is larger than the configured limit."""

    code = "header_too_large"
    http_status = 431


class RequestTimeout(BadRequest):
    """The request was not received completely within the configured time."""

    code = "request_timeout"
    http_status = 408


class HistoryUnavailable(PlatformUnavailable):
    """The changes since a position are unavailable or too many; a full read is required."""

    code = "history_gone"


class BackendUnresponsive(BackendResponseError):
    """The backend sent no response to a request in time: it may be hung or unreachable."""

    code = "backend_silent"
