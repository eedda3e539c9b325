"""Every typed error of the system.

Each error carries a stable code, a message that names the remedy, the HTTP status a caller sees
and the outcome of the run. Codes are part of the public interface: they are never reused.
"""

from __future__ import annotations

import enum

import msgspec

DEFAULT_RETRY_AFTER_S = 1.0


class Outcome(enum.StrEnum):
    """What is known about the execution of a request."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ErrorBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """The JSON form of an error, as callers see it."""

    code: str
    message: str
    outcome: Outcome
    type: str = "yokedock_error"
    retry_after_s: float | None = None


class ErrorResponse(msgspec.Struct, frozen=True):
    """The JSON document around an error, in the OpenAI form."""

    error: ErrorBody


_BY_CODE: dict[str, type[YokedockError]] = {}


class YokedockError(Exception):
    """Base of all typed errors.

    Class attributes: ``code`` is stable, ``http_status`` is what callers see, ``outcome`` says
    whether the request ran.
    """

    code = "internal_error"
    http_status = 500
    outcome = Outcome.UNKNOWN

    def __init_subclass__(cls) -> None:
        """Add a kind with a code of its own to the table of codes."""
        if "code" in cls.__dict__:
            _BY_CODE[cls.code] = cls

    def __init__(self, message: str, retry_after_s: float | None = None) -> None:
        """Keep the message, and the time in seconds after which a retry may succeed."""
        super().__init__(message)
        self.message = message
        self.retry_after_s = retry_after_s

    def body(self) -> ErrorBody:
        """Return the error as callers see it."""
        return ErrorBody(self.code, self.message, self.outcome, retry_after_s=self.retry_after_s)


# --- Errors in what a caller sent: nothing was run. ---


class BadRequest(YokedockError):
    """The request cannot be understood."""

    code = "bad_request"
    http_status = 400
    outcome = Outcome.NOT_RUN


class BadIdempotencyKey(BadRequest):
    """The idempotency key is missing, malformed or out of its time window."""

    code = "bad_idempotency_key"


class Unauthorized(YokedockError):
    """The bearer token is missing or unknown."""

    code = "unauthorized"
    http_status = 401
    outcome = Outcome.NOT_RUN


class Forbidden(YokedockError):
    """The tenant may not use this class, model or service."""

    code = "forbidden"
    http_status = 403
    outcome = Outcome.NOT_RUN


class NotFound(YokedockError):
    """No such path, model or service."""

    code = "not_found"
    http_status = 404
    outcome = Outcome.NOT_RUN


class MethodNotAllowed(YokedockError):
    """The path exists, with another method."""

    code = "method_not_allowed"
    http_status = 405
    outcome = Outcome.NOT_RUN


class PayloadTooLarge(YokedockError):
    """The body or the requested output is over a limit."""

    code = "payload_too_large"
    http_status = 413
    outcome = Outcome.NOT_RUN


# --- Refusals: nothing was run, and the caller is told when to come back. ---


class Refused(YokedockError):
    """Base of refusals before any work; each says when to come back."""

    code = "refused"
    http_status = 503
    outcome = Outcome.NOT_RUN

    def __init__(self, message: str, retry_after_s: float | None = None) -> None:
        """Keep the message, and the time in seconds after which a retry may succeed."""
        super().__init__(message, retry_after_s or DEFAULT_RETRY_AFTER_S)


class TenantLimitReached(Refused):
    """The tenant has its maximum of requests in flight."""

    code = "tenant_limit_reached"
    http_status = 429


class ClassLimitReached(Refused):
    """The class has its maximum of requests in flight on this gateway."""

    code = "class_limit_reached"
    http_status = 429


class GatewayFull(Refused):
    """The gateway has its maximum of requests in flight."""

    code = "gateway_full"


class NoDecodeCapacity(Refused):
    """No decode engine has a slot in time, so no prefill was started."""

    code = "no_decode_room"


class NoPrefillCapacity(Refused):
    """No prefill engine can finish in time, so none was started."""

    code = "no_prefill_room"


class NoBackend(Refused):
    """No live back end of the needed role is known."""

    code = "no_backend"


class RequestQuarantined(Refused):
    """Backends ended each time they ran this request, so that it is kept from them for a while."""

    code = "request_quarantined"


class NotReady(Refused):
    """The process has no bundle in force yet, or is stopping."""

    code = "not_ready"


class StaleVersion(Refused):
    """The order was made under an older bundle than the receiver's."""

    code = "stale_version"


class LeaseExpired(Refused):
    """The lease of the sender has expired, so its order is not started."""

    code = "lease_expired"


class NotRun(YokedockError):
    """The call certainly was not executed."""

    code = "not_run"
    http_status = 503
    outcome = Outcome.NOT_RUN


# --- Outcomes of work that was started. ---


class DeadlineExceeded(YokedockError):
    """The deadline passed before the answer was complete."""

    code = "deadline_exceeded"
    http_status = 504


class AttemptLost(YokedockError):
    """An engine or its agent was lost during the attempt; another attempt may go on."""

    code = "attempt_lost"
    http_status = 502


class StreamGap(AttemptLost):
    """Tokens are missing in a stream that may still run: it can be resumed."""

    code = "stream_gap"


class RetryBudgetSpent(YokedockError):
    """The request was lost more often than its retry budget allows."""

    code = "retry_budget_spent"
    http_status = 502


class AnswerLost(YokedockError):
    """Work for the request was started, was lost, and cannot be done again now."""

    code = "answer_lost"
    http_status = 503


class CallerGone(YokedockError):
    """The caller closed its connection."""

    code = "caller_gone"
    http_status = 499


class OutcomeUnknown(YokedockError):
    """A call that may not be repeated was handed over, and its result is not known."""

    code = "outcome_unknown"
    http_status = 504


class KeyFromBeforeRestart(OutcomeUnknown):
    """The key is older than the record of its home, which started later."""

    code = "key_from_before_restart"


class BackendFailed(YokedockError):
    """The back end answered with an error of its own."""

    code = "backend_failed"
    http_status = 502
    outcome = Outcome.DONE


# --- Errors between the system's processes and its back ends. ---


class PeerUnreachable(YokedockError):
    """The link to a peer is down; the message says whether anything was handed over."""

    code = "peer_unreachable"
    http_status = 503


class PeerNeverReached(PeerUnreachable):
    """The link was down before anything was handed over."""

    code = "peer_never_reached"
    outcome = Outcome.NOT_RUN


class PeerTimeout(PeerUnreachable):
    """The peer did not reply in time."""

    code = "peer_timeout"


class PeerNotAuthenticated(YokedockError):
    """The peer does not hold the deployment's key."""

    code = "peer_not_authenticated"


class EngineUnavailable(YokedockError):
    """The back end did not accept a connection: the order was not handed over."""

    code = "engine_unavailable"
    outcome = Outcome.NOT_RUN


class EngineRejected(YokedockError):
    """The back end answered that it does not take the order."""

    code = "engine_rejected"
    outcome = Outcome.NOT_RUN


class EngineLost(YokedockError):
    """The connection to the back end broke after the order was handed over."""

    code = "engine_lost"


# --- Errors in what operators wrote. ---


class SettingsInvalid(YokedockError):
    """The settings file has errors; the message lists all of them."""

    code = "settings_invalid"


class LogsUnreadable(YokedockError):
    """What was named as logs cannot be read."""

    code = "logs_unreadable"


class BundleInvalid(YokedockError):
    """The bundle's source has errors; the message lists all of them."""

    code = "bundle_invalid"


class BundleRejected(YokedockError):
    """A published bundle was not adopted; the version in force stays."""

    code = "bundle_rejected"


class PlatformUnavailable(YokedockError):
    """The configuration service or the machine list does not answer."""

    code = "platform_unavailable"


def error_from_code(code: str, message: str, retry_after_s: float | None = None) -> YokedockError:
    """Rebuild a typed error that crossed a process boundary by its code."""
    kind = _BY_CODE.get(code, YokedockError)
    return kind(message, retry_after_s)
