"""HTTP interface for callers; each request is served synchronously on one waitress thread."""

from __future__ import annotations

import hashlib
import uuid
from typing import Any

from yokedock.base.clock import boot_time_s
from yokedock.base.histograms import Histograms, Measure
from yokedock.base.logs import logger
from yokedock.base.metrics import Metrics
from yokedock.connection.http_server import HttpRequest, HttpResponse, HttpRouter, error_response
from yokedock.errors import (
    BadRequest,
    ClientClosedConnection,
    Forbidden,
    NotFound,
    PayloadTooLarge,
    Refused,
    Unauthorized,
    YokedockError,
)
from yokedock.request.admission import Admission
from yokedock.request.answer_stream import AnswerStream
from yokedock.request.attempt import ModelOrder
from yokedock.request.context import CallerIdentity, RequestContext
from yokedock.request.model_request import ModelRequests
from yokedock.request.openai_format import (
    REQUEST_ID_HEADER,
    AnswerFormat,
    BufferedResponseWriter,
    ChatRequest,
    CompletionRequest,
    EventStreamWriter,
    GenerationRequest,
    ModelEntry,
    ModelListing,
    Usage,
    split_adapter,
)
from yokedock.request.prefix import estimate_tokens
from yokedock.request.service_request import ServiceOrder, ServiceRequests
from yokedock.request.watchdog import Watchdog
from yokedock.version.bundle import Bundle
from yokedock.version.bundle_store import BundleStore

_log = logger("caller")

CLASS_HEADER = "X-Request-Class"
DEADLINE_HEADER = "X-Deadline-Ms"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
REPLAYED_HEADER = "Idempotent-Replayed"
DEFAULT_CLASS = "default"
SERVICES_PATH = "/v1/services/"
MAX_DEADLINE_MS = 3_600_000
MAX_REQUEST_ID_LENGTH = 128
BODY_OVERHEAD_BYTES = 65_536
"""Size allowed for a request body beyond the prompt limit, for the surrounding JSON."""


class CallerInterface:
    """Serves the callers of a gateway."""

    def __init__(
        self,
        store: BundleStore,
        admission: Admission,
        models: ModelRequests,
        services: ServiceRequests,
        watchdog: Watchdog,
        histograms: Histograms,
        metrics: Metrics,
    ) -> None:
        """Use the given components to authenticate, admit and serve requests."""
        self._store = store
        self._admission = admission
        self._models = models
        self._services = services
        self._watchdog = watchdog
        self._histograms = histograms
        self._metrics = metrics

    def add_routes(self, router: HttpRouter) -> None:
        """Register the paths for callers."""
        router.add("POST", "/v1/chat/completions", self._chat)
        router.add("POST", "/v1/completions", self._completion)
        router.add("GET", "/v1/models", self._list_models)
        router.add("POST", SERVICES_PATH, self._service)

    # --- Model requests ---

    def _chat(self, request: HttpRequest) -> HttpResponse | None:
        return self._serve_with_errors(request, self._generate, ChatRequest)

    def _completion(self, request: HttpRequest) -> HttpResponse | None:
        return self._serve_with_errors(request, self._generate, CompletionRequest)

    def _list_models(self, request: HttpRequest) -> HttpResponse:
        bundle = self._store.current()
        self._authenticate(request, bundle)
        names = [
            name if not adapter else f"{name}:{adapter}"
            for name, model in sorted(bundle.models.items())
            for adapter in ("", *model.adapters)
        ]
        return HttpResponse.of(ModelListing(tuple(ModelEntry(name) for name in names)))

    def _serve_with_errors(
        self, request: HttpRequest, serve: Any, kind: Any
    ) -> HttpResponse | None:
        """Serve a request and add its id; a typed error is logged and becomes the response."""
        arrived_s = boot_time_s()
        request_id = self._request_id(request)
        try:
            response: HttpResponse | None = serve(request, kind, request_id, arrived_s)
        except YokedockError as error:
            self._metrics.count(f"errors.{error.code}")
            _log.info("refused", request=request_id, code=error.code, error=error.message)
            if request.has_responded:
                return None
            response = error_response(error)
        if response is not None:
            response.headers.append((REQUEST_ID_HEADER, request_id))
        return response

    def _generate(
        self, request: HttpRequest, kind: Any, request_id: str, arrived_s: float
    ) -> HttpResponse | None:
        bundle = self._store.current()
        caller = self._authenticate(request, bundle)
        limit = bundle.limits.max_prompt_bytes + BODY_OVERHEAD_BYTES
        body: GenerationRequest = request.json(kind, limit)
        order = self._model_order(body, bundle)
        context = self._context(request, caller, request_id, arrived_s, bundle)
        answer_format = AnswerFormat(request_id, body.model, isinstance(body, ChatRequest))
        try:
            with self._admission.admitted(caller, bundle):
                if body.stream:
                    writer = EventStreamWriter(request, answer_format, request_id)
                    self._stream(request, context, order, writer, body.wants_usage())
                    return None
                return self._serve_buffered(request, context, order, answer_format)
        except Refused:
            self._record(caller, Measure.REFUSAL_US, (boot_time_s() - arrived_s) * 1e6)
            raise

    def _stream(
        self,
        request: HttpRequest,
        context: RequestContext,
        order: ModelOrder,
        writer: EventStreamWriter,
        wants_usage: bool,
    ) -> None:
        """Stream a response; an error after the response has started is sent as its final event."""
        stream = AnswerStream(writer, order.max_tokens)
        try:
            with self._watchdog.watching(context, request, stream):
                self._models.serve(context, order, stream)
            writer.write_end(self._usage(order, stream) if wants_usage else None)
        except ClientClosedConnection:
            _log.info("caller gone", request=context.request_id, tokens=len(stream.tokens))
            raise
        except YokedockError as error:
            if not writer.is_started:
                raise
            _log.warning("response stream failed", request=context.request_id, code=error.code)
            writer.write_error(error)
        finally:
            self._record_times(context, stream)

    def _serve_buffered(
        self,
        request: HttpRequest,
        context: RequestContext,
        order: ModelOrder,
        answer_format: AnswerFormat,
    ) -> HttpResponse:
        stream = AnswerStream(BufferedResponseWriter(), order.max_tokens)
        try:
            with self._watchdog.watching(context, request, stream):
                self._models.serve(context, order, stream)
        finally:
            self._record_times(context, stream)
        usage = self._usage(order, stream)
        return HttpResponse.of(answer_format.whole(stream.text(), stream.finish, usage))

    def _model_order(self, body: GenerationRequest, bundle: Bundle) -> ModelOrder:
        body.check()
        name, adapter = split_adapter(body.model)
        model = bundle.models.get(name)
        if model is None:
            raise NotFound(f"model {name!r} not found; choose one from GET /v1/models")
        if adapter and adapter not in model.adapters:
            raise NotFound(f"{name} has no adapter {adapter!r}; choose one from GET /v1/models")
        if body.token_limit() > bundle.limits.max_output_tokens:
            most = bundle.limits.max_output_tokens
            raise PayloadTooLarge(f"max_tokens exceeds {most}; request at most {most} tokens")
        assert isinstance(body, ChatRequest | CompletionRequest)
        prompt = body.prompt() if isinstance(body, ChatRequest) else body.prompt
        if not prompt:
            raise BadRequest("the prompt is empty; send a non-empty prompt")
        if len(prompt.encode()) > bundle.limits.max_prompt_bytes:
            raise PayloadTooLarge(
                f"the prompt exceeds {bundle.limits.max_prompt_bytes} bytes; send a shorter one"
            )
        return ModelOrder(name, adapter, prompt, body.token_limit(), body.sampling())

    def _usage(self, order: ModelOrder, stream: AnswerStream) -> Usage:
        prompt_tokens = estimate_tokens(order.prompt)
        return Usage(prompt_tokens, len(stream.tokens), prompt_tokens + len(stream.tokens))

    def _record_times(self, context: RequestContext, stream: AnswerStream) -> None:
        if stream.clock.first_s is None:
            return
        first_us = (stream.clock.first_s - context.arrived_s) * 1e6
        self._record(context.caller, Measure.FIRST_TOKEN_US, first_us)
        self._metrics.timing_ms("first_token", first_us / 1000)
        caller = context.caller
        for gap_s, count in stream.clock.gaps:
            self._histograms.record_many(
                caller.tenant, caller.class_name, Measure.BETWEEN_TOKENS_US, gap_s * 1e6, count
            )

    def _record(self, caller: CallerIdentity, measure: Measure, value: float) -> None:
        self._histograms.record(caller.tenant, caller.class_name, measure, value)

    # --- Service requests ---

    def _service(self, request: HttpRequest) -> HttpResponse | None:
        return self._serve_with_errors(request, self._call_service, None)

    def _call_service(
        self, request: HttpRequest, kind: Any, request_id: str, arrived_s: float
    ) -> HttpResponse:
        bundle = self._store.current()
        caller = self._authenticate(request, bundle)
        name = request.path[len(SERVICES_PATH) :]
        if name not in bundle.services:
            raise NotFound(f"service {name!r} not found; the bundle lists the services")
        body = request.body(bundle.limits.max_service_body_bytes)
        content_type = request.environ.get("CONTENT_TYPE") or "application/octet-stream"
        order = ServiceOrder(name, request.header(IDEMPOTENCY_KEY_HEADER) or "", body, content_type)
        context = self._context(request, caller, request_id, arrived_s, bundle)
        with self._admission.admitted(caller, bundle):
            answer = self._services.serve(context, order)
        headers = [(REPLAYED_HEADER, "true")] if answer.replayed else []
        return HttpResponse(answer.status, answer.body, answer.content_type, headers)

    # --- Caller identity and request context ---

    def _request_id(self, request: HttpRequest) -> str:
        """Return a generated id, prefixed with the caller's id if that is valid."""
        own = uuid.uuid4().hex[:16]
        given = request.header(REQUEST_ID_HEADER) or ""
        if (
            given
            and len(given) <= MAX_REQUEST_ID_LENGTH
            and given.isascii()
            and given.isprintable()
        ):
            return f"{given}-{own}"
        return own

    def _authenticate(self, request: HttpRequest, bundle: Bundle) -> CallerIdentity:
        scheme, _, token = (request.header("Authorization") or "").partition(" ")
        if scheme.lower() != "bearer" or not token.strip():
            raise Unauthorized("bearer token missing; send 'Authorization: Bearer TOKEN'")
        token_hash = hashlib.sha256(token.strip().encode()).hexdigest()
        tenant = self._store.tenant_by_token_hash.get(token_hash)
        if tenant is None:
            raise Unauthorized("unknown bearer token; ask the operator for a valid one")
        return self._identify(request, bundle, tenant)

    def _identify(self, request: HttpRequest, bundle: Bundle, tenant: str) -> CallerIdentity:
        allowed = bundle.tenants[tenant].classes or tuple(bundle.classes)
        name = request.header(CLASS_HEADER)
        if name is None:
            name = DEFAULT_CLASS if DEFAULT_CLASS in allowed else allowed[0]
        if name not in bundle.classes:
            raise BadRequest(f"unknown request class {name!r}; send one of: {', '.join(allowed)}")
        if name not in allowed:
            raise Forbidden(
                f"the tenant may not use class {name!r}; send one of: {', '.join(allowed)}"
            )
        return CallerIdentity(tenant, name, bundle.classes[name])

    def _context(
        self,
        request: HttpRequest,
        caller: CallerIdentity,
        request_id: str,
        arrived_s: float,
        bundle: Bundle,
    ) -> RequestContext:
        text = request.header(DEADLINE_HEADER)
        deadline_ms = bundle.limits.default_deadline_ms
        if text is not None:
            if not text.isascii() or not text.isdigit() or not 0 < int(text) <= MAX_DEADLINE_MS:
                message = f"{DEADLINE_HEADER} must be from 1 to {MAX_DEADLINE_MS} milliseconds"
                raise BadRequest(message)
            deadline_ms = int(text)
        return RequestContext(request_id, caller, arrived_s, arrived_s + deadline_ms / 1000)
