"""Typed errors of the router: what became of a request at a backend, and bad input."""

from __future__ import annotations

from yokedock.errors import (
    BadRequest,
    EngineLost,
    EngineRejected,
    EngineUnavailable,
    PlatformUnavailable,
    YokedockError,
)


class BackendAnswerLost(YokedockError):
    """A backend may have run the request, and its answer was lost."""

    code = "backend_answer_lost"
    http_status = 502


class BackendRefused(EngineRejected):
    """The backend stated that it did not run the request and will not run it."""

    code = "backend_refused"
    http_status = 503


class BackendUnreachable(EngineUnavailable):
    """No connection to the backend could be opened: nothing was sent."""

    code = "backend_unreachable"


class BackendNotAccepting(BackendUnreachable):
    """The backend leaves, or has asked for rest, since it was chosen: nothing was sent."""

    code = "backend_unwilling"


class BackendBroken(EngineLost):
    """The connection ended, or sent what is no answer, after the request went out."""

    code = "backend_broken"
    http_status = 502


class BackendClosed(BackendBroken):
    """The backend closed or reset the connection before its answer was whole: it may have ended."""

    code = "backend_closed"


class AnswerTooLong(BackendBroken):
    """The answer has more bytes than the caller of it can use."""

    code = "answer_too_long"


class HeaderTooLarge(BadRequest):
    """The head of a request is larger than the configuration allows."""

    code = "header_too_large"
    http_status = 431


class RequestTimeout(BadRequest):
    """The request did not arrive whole in the time that the configuration allows."""

    code = "request_timeout"
    http_status = 408


class HistoryGone(PlatformUnavailable):
    """The changes since a position are gone or too many; everything must be read anew."""

    code = "history_gone"


class BackendSilent(BackendBroken):
    """The backend has the request and says nothing: it may be dark or cut off."""

    code = "backend_silent"
