"""Typed errors shared by all processes.

Each error has a stable code, a message that states the remedy, the HTTP status returned to the
client and the outcome of the request. Codes are part of the public API and are never reused.
"""

from __future__ import annotations

import enum

import msgspec

DEFAULT_RETRY_AFTER_S = 1.0


class Outcome(enum.StrEnum):
    """Whether the request was executed, as far as is known."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ErrorBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """The JSON representation of an error that is returned to the client."""

    code: str
    message: str
    outcome: Outcome
    type: str = "yokedock_error"
    retry_after_s: float | None = None


class ErrorResponse(msgspec.Struct, frozen=True):
    """The JSON document that wraps an error, in the OpenAI format."""

    error: ErrorBody


_TYPES_BY_CODE: dict[str, type[YokedockError]] = {}


class YokedockError(Exception):
    """Base class of all typed errors.

    Class attributes: ``code`` is the stable error code, ``http_status`` the status returned to the
    client, and ``outcome`` states whether the request was executed.
    """

    code = "internal_error"
    http_status = 500
    outcome = Outcome.UNKNOWN

    def __init_subclass__(cls) -> None:
        """Register a subclass that defines its own code."""
        if "code" in cls.__dict__:
            _TYPES_BY_CODE[cls.code] = cls

    def __init__(self, message: str, retry_after_s: float | None = None) -> None:
        """Create an error; a retry may succeed after ``retry_after_s`` seconds."""
        super().__init__(message)
        self.message = message
        self.retry_after_s = retry_after_s

    def body(self) -> ErrorBody:
        """Return the JSON body for the client."""
        return ErrorBody(self.code, self.message, self.outcome, retry_after_s=self.retry_after_s)


# --- Invalid client requests: nothing was executed. ---


class BadRequest(YokedockError):
    """The request is malformed or invalid."""

    code = "bad_request"
    http_status = 400
    outcome = Outcome.NOT_RUN


class BadIdempotencyKey(BadRequest):
    """The idempotency key is missing, malformed or outside its validity window."""

    code = "bad_idempotency_key"


class Unauthorized(YokedockError):
    """The bearer token is missing or unknown."""

    code = "unauthorized"
    http_status = 401
    outcome = Outcome.NOT_RUN


class Forbidden(YokedockError):
    """The tenant is not allowed to use this request class, model or service."""

    code = "forbidden"
    http_status = 403
    outcome = Outcome.NOT_RUN


class NotFound(YokedockError):
    """The path, model or service does not exist."""

    code = "not_found"
    http_status = 404
    outcome = Outcome.NOT_RUN


class MethodNotAllowed(YokedockError):
    """The path exists but does not support the method."""

    code = "method_not_allowed"
    http_status = 405
    outcome = Outcome.NOT_RUN


class PayloadTooLarge(YokedockError):
    """The request body or the requested output length exceeds a limit."""

    code = "payload_too_large"
    http_status = 413
    outcome = Outcome.NOT_RUN


# --- Refusals: nothing was executed, and the client is told when to retry. ---


class Refused(YokedockError):
    """Base class of refusals before any work was started; each has a retry delay."""

    code = "refused"
    http_status = 503
    outcome = Outcome.NOT_RUN

    def __init__(self, message: str, retry_after_s: float | None = None) -> None:
        """Create a refusal; without ``retry_after_s`` the default delay applies."""
        super().__init__(message, retry_after_s or DEFAULT_RETRY_AFTER_S)


class TenantLimitReached(Refused):
    """The tenant has reached its limit of in-flight requests."""

    code = "tenant_limit_reached"
    http_status = 429


class ClassLimitReached(Refused):
    """The request class has reached its limit of in-flight requests on this gateway."""

    code = "class_limit_reached"
    http_status = 429


class GatewayFull(Refused):
    """The gateway has reached its limit of in-flight requests."""

    code = "gateway_full"


class OutOfMemory(Refused):
    """The process holds as much for its clients as its memory allows."""

    code = "out_of_memory"


class NoDecodeCapacity(Refused):
    """No decode engine will have a free slot in time, so no prefill was started."""

    code = "no_decode_room"


class NoPrefillCapacity(Refused):
    """No prefill engine can finish in time, so no prefill was started."""

    code = "no_prefill_room"


class NoBackend(Refused):
    """No live backend with the required role is known."""

    code = "no_backend"


class RequestQuarantined(Refused):
    """Backends terminated each time they ran this request, so it is withheld for a while."""

    code = "request_quarantined"


class StreamNotResumable(Refused):
    """The stream cannot go on at the software version that began it."""

    code = "stream_not_resumable"


class NotReady(Refused):
    """The process has no active bundle yet, or is shutting down."""

    code = "not_ready"


class StaleVersion(Refused):
    """The command was issued under an older bundle version than the receiver's."""

    code = "stale_version"


class LeaseExpired(Refused):
    """The sender's lease has expired, so its command is not executed."""

    code = "lease_expired"


class NotRun(YokedockError):
    """The call is known not to have been executed."""

    code = "not_run"
    http_status = 503
    outcome = Outcome.NOT_RUN


# --- Failures after work was started. ---


class DeadlineExceeded(YokedockError):
    """The deadline passed before the response was complete."""

    code = "deadline_exceeded"
    http_status = 504


class AttemptLost(YokedockError):
    """An engine or its agent was lost during the attempt; a new attempt may continue."""

    code = "attempt_lost"
    http_status = 502


class StreamGap(AttemptLost):
    """Tokens are missing from a stream that may still be running and can be resumed."""

    code = "stream_gap"


class RetryBudgetExhausted(YokedockError):
    """The request was lost more often than its retry budget allows retries."""

    code = "retry_budget_spent"
    http_status = 502


class ResponseLost(YokedockError):
    """Work on the request was started and lost, and cannot be repeated now."""

    code = "answer_lost"
    http_status = 503


class ClientClosedConnection(YokedockError):
    """The client closed its connection."""

    code = "caller_gone"
    http_status = 499


class OutcomeUnknown(YokedockError):
    """A non-repeatable call was handed over to the service, and its result is unknown."""

    code = "outcome_unknown"
    http_status = 504


class KeyPredatesHomeStart(OutcomeUnknown):
    """The key predates its home agent's start, so an earlier execution cannot be ruled out."""

    code = "key_from_before_restart"


class BackendFailed(YokedockError):
    """The backend returned an error of its own."""

    code = "backend_failed"
    http_status = 502
    outcome = Outcome.DONE


# --- Errors between processes of this system, and between them and backends. ---


class PeerUnreachable(YokedockError):
    """The connection to a peer is down; the message states whether anything was handed over."""

    code = "peer_unreachable"
    http_status = 503


class PeerNeverReached(PeerUnreachable):
    """The connection was down before anything was handed over."""

    code = "peer_never_reached"
    outcome = Outcome.NOT_RUN


class PeerTimeout(PeerUnreachable):
    """The peer did not reply in time."""

    code = "peer_timeout"


class PeerNotAuthenticated(YokedockError):
    """The peer does not have the deployment's key."""

    code = "peer_not_authenticated"


class EngineUnavailable(YokedockError):
    """The backend did not accept a connection: the command was not handed over."""

    code = "engine_unavailable"
    outcome = Outcome.NOT_RUN


class EngineRejected(YokedockError):
    """The backend replied that it does not accept the command."""

    code = "engine_rejected"
    outcome = Outcome.NOT_RUN


class EngineLost(YokedockError):
    """The connection to the backend broke after the command was handed over."""

    code = "engine_lost"


# --- Errors in configuration and other operator input, and in configuration sources. ---


class SettingsInvalid(YokedockError):
    """The settings file is invalid; the message lists all errors."""

    code = "settings_invalid"


class LogsUnreadable(YokedockError):
    """The given log files or directories cannot be read."""

    code = "logs_unreadable"


class BundleInvalid(YokedockError):
    """The bundle source is invalid; the message lists all errors."""

    code = "bundle_invalid"


class BundleRejected(YokedockError):
    """A published bundle was rejected; the active version stays in use."""

    code = "bundle_rejected"


class PlatformUnavailable(YokedockError):
    """The configuration service or the machine list does not respond."""

    code = "platform_unavailable"


def error_from_code(code: str, message: str, retry_after_s: float | None = None) -> YokedockError:
    """Reconstruct a typed error from the code sent by another process."""
    error_type = _TYPES_BY_CODE.get(code, YokedockError)
    return error_type(message, retry_after_s)
