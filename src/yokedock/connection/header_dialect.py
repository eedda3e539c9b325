"""A dialect that carries all metadata in headers, with configurable header names."""

from __future__ import annotations

import re

import msgspec

from yokedock.base.logs import logger
from yokedock.connection.dialect import (
    BackendLoad,
    CachedPart,
    Dialect,
    EncodedRequest,
    ForwardingOrder,
    GenerationParameters,
    PrefillResult,
    PromptPart,
    RequestMetadata,
    ResponseMetadata,
    RoleOrder,
)
from yokedock.connection.header_numbers import parse_decimal, parse_integer
from yokedock.connection.http_heads import Header, RequestHead, ResponseHead
from yokedock.connection.short_call import ShortCall
from yokedock.errors import BadRequest, EngineRejected

_log = logger("dialect")


class HeaderNames(msgspec.Struct, frozen=True):
    """Names of headers, paths and JSON fields; the defaults are the router's own."""

    request_id: str = "X-Request-Id"
    deadline_ms: str = "X-Deadline-Ms"
    last_event_id: str = "Last-Event-Id"
    resumes: str = "X-Resumes"
    model: str = "X-Model"
    tokens: str = "X-Tokens"
    parts: str = "X-Prompt-Parts"
    output_hint: str = "X-Output-Hint"
    instance: str = "X-Expected-Backend"
    stage: str = "X-Stage"
    kv_source: str = "X-Kv-Source"
    fetch_from: str = "X-Copy-From"
    not_run: str = "X-Not-Run"
    signature: str = "X-Signature"
    load: str = "X-Backend-Load"
    leaving: str = "X-Backend-Leaving"
    limit: str = "X-Backend-Limit"
    set_by_router: tuple[str, ...] = ("X-Expected-Backend", "X-Stage", "X-Kv-Source", "X-Copy-From")
    prefill_stage: str = "prefill"
    handle_field: str = "handle"
    tokens_field: str = "tokens"
    release_path: str = "/prefills/"
    order_path: str = "/orders"
    order_kind_field: str = "order"
    order_kind: str = "role"
    role_field: str = "role"
    holder_field: str = "holder"
    token_field: str = "token"
    cache_list_path: str = "/cache"
    cache_list_field: str = "held"


MAX_TOKENS = (1 << 53) - 1
"""Maximum number of tokens that an engine may report; sums of them can be sent to other routers."""
MISDIRECTED_STATUS = 421
"""The backend is not the intended one and does not run the request (RFC 9110)."""
MAX_DEADLINE_MS = 3_600_000
_HANDLE = re.compile(r"[!-~]+")
OVERLOADED_STATUS = 503
"""The only status with which ``Retry-After`` is honoured (RFC 9110, section 10.2.3)."""
RETRY_AFTER = b"retry-after"
LEAVING_VALUE = "1"
MAX_LOGGED_CHARACTERS = 40
"""An invalid value is truncated to this length in log lines and error messages."""
LOAD_FIELD_COUNT = 3
"""Number of fields of the load header: running, waiting, slots."""
MAX_RETRY_AFTER_S = 86_400.0
"""``Retry-After`` is capped at a day: a longer value suggests a mistaken unit."""


class HeaderDialect(Dialect):
    """A dialect that carries all metadata in headers, with configurable header names."""

    def __init__(self, names: HeaderNames | None = None) -> None:
        """Precompute look-up keys from the header names."""
        self._names = names or HeaderNames()
        self._lowercase_names = {
            name: getattr(self._names, name).lower().encode()
            for name in self._names.__struct_fields__
            if isinstance(getattr(self._names, name), str)
        }
        own = {name.lower().encode() for name in self._names.set_by_router}
        self._dropped = frozenset(own)

    def request_metadata(self, head: RequestHead) -> RequestMetadata:
        """Return the metadata of a request; raises ``BadRequest`` for invalid values."""
        deadline_ms = self._parse_rounded(head, "deadline_ms")
        if deadline_ms is not None and not 0 < deadline_ms <= MAX_DEADLINE_MS:
            raise BadRequest(f"{self._names.deadline_ms} must be between 1 and {MAX_DEADLINE_MS}")
        return RequestMetadata(
            request_id=head.get(self._lowercase_names["request_id"]) or "",
            deadline_s=None if deadline_ms is None else deadline_ms / 1000,
            last_event_id=self._parse_rounded(head, "last_event_id"),
            generation=self._parse_generation(head),
            resumes=head.get(self._lowercase_names["resumes"]) or None,
        )

    def backend_headers(self, head: RequestHead, order: ForwardingOrder) -> list[Header]:
        """Return the headers of the request as it is forwarded to a backend."""
        replaced = {self._lowercase_names["deadline_ms"]}
        if order.last_event_id is not None:
            replaced.add(self._lowercase_names["last_event_id"])
        headers = head.end_to_end_headers(self._dropped | replaced)
        names = self._names
        added = [(names.instance, order.instance)]
        if order.deadline_ms is not None:
            added.append((names.deadline_ms, str(order.deadline_ms)))
        if order.is_prefill:
            added.append((names.stage, names.prefill_stage))
        if order.kv_source is not None:
            added.append((names.kv_source, order.kv_source))
        elif order.fetch_from is not None:
            added.append((names.fetch_from, order.fetch_from))
        if order.last_event_id is not None:
            added.append((names.last_event_id, str(order.last_event_id)))
        return headers + [(name.encode(), value.encode()) for name, value in added]

    def response_metadata(self, head: ResponseHead) -> ResponseMetadata:
        """Return the metadata of a response."""
        is_misdirected = head.status == MISDIRECTED_STATUS
        limit = head.get(self._lowercase_names["limit"])
        limit_per_s = self._parse_decimal("limit", limit)
        return ResponseMetadata(
            request_id=head.get(self._lowercase_names["request_id"]),
            is_not_run=is_misdirected or head.get(self._lowercase_names["not_run"]) is not None,
            is_signed=head.get(self._lowercase_names["signature"]) is not None,
            is_misdirected=is_misdirected,
            load=self._parse_load(head.get(self._lowercase_names["load"])),
            is_leaving=head.get(self._lowercase_names["leaving"]) == LEAVING_VALUE,
            rest_s=self._parse_retry_after_s(head) if head.status == OVERLOADED_STATUS else None,
            limit_per_s=limit_per_s,
            is_limit_invalid=limit is not None and limit_per_s is None,
        )

    def prefill_result(self, body: bytes | bytearray) -> PrefillResult:
        """Parse the response body of a prefill; raises ``EngineRejected`` if it is invalid."""
        try:
            fields = msgspec.json.decode(body, type=dict[str, object])
        except (msgspec.MsgspecError, RecursionError):
            fields = {}
        handle = fields.get(self._names.handle_field)
        tokens = fields.get(self._names.tokens_field, 0)
        is_valid = _is_handle(handle) and _is_token_count(tokens)
        if not is_valid or not isinstance(handle, str) or not isinstance(tokens, int):
            raise EngineRejected(
                "invalid prefill response from the engine: expected a handle and a token count"
            )
        return PrefillResult(handle, tokens)

    def role_order(self, order: RoleOrder) -> EncodedRequest:
        """Encode an order to change a role."""
        names = self._names
        fields = {
            names.order_kind_field: names.order_kind,
            names.role_field: order.role,
            names.holder_field: order.holder,
            names.token_field: order.token,
        }
        headers = [
            (names.instance.encode(), order.instance.encode()),
            (b"Content-Type", b"application/json"),
        ]
        return EncodedRequest(names.order_path.encode(), headers, msgspec.json.encode(fields))

    def cache_list_request(self) -> ShortCall:
        """Return the request that lists the contents of an engine's prefix cache."""
        return ShortCall(b"GET", self._names.cache_list_path.encode())

    def cached_parts(self, body: bytes) -> dict[str, int]:
        """Return the cached tokens of each prompt segment, from the response to that request."""
        try:
            fields = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
            parts = msgspec.json.decode(
                fields[self._names.cache_list_field], type=tuple[CachedPart, ...]
            )
        except (msgspec.MsgspecError, RecursionError, KeyError):
            raise EngineRejected("invalid prefix cache listing from the engine") from None
        return {part.part_id: part.tokens for part in parts if 0 <= part.tokens <= MAX_TOKENS}

    def release_target(self, handle: str) -> bytes:
        """Return the path on which DELETE releases the KV cache that a prefill retains."""
        return f"{self._names.release_path}{handle}".encode()

    def _parse_generation(self, head: RequestHead) -> GenerationParameters | None:
        tokens = head.get(self._lowercase_names["tokens"])
        if tokens is None:
            return None
        prompt, _, most = tokens.partition(",")
        prompt_tokens, max_output_tokens = parse_integer(prompt), parse_integer(most)
        if prompt_tokens is None or max_output_tokens is None:
            raise BadRequest(
                f"{self._names.tokens} must be PROMPT_TOKENS,MAX_OUTPUT_TOKENS; send two integers"
            )
        parts = self._parse_prompt_parts(head.get(self._lowercase_names["parts"]) or "")
        hint = self._parse_rounded(head, "output_hint")
        model = head.get(self._lowercase_names["model"]) or ""
        return GenerationParameters(model, prompt_tokens, max_output_tokens, parts, hint)

    def _parse_prompt_parts(self, text: str) -> tuple[PromptPart, ...]:
        found = []
        for part in filter(None, text.split(",")):
            part_id, _, text = part.strip().rpartition(":")
            tokens = parse_integer(text)
            if tokens is None:
                raise BadRequest(
                    f"{self._names.parts} must be a list of ID:TOKENS; correct {part!r}"
                )
            found.append(PromptPart(part_id, tokens))
        return tuple(found)

    def _parse_rounded(self, head: RequestHead, name: str) -> int | None:
        text = head.get(self._lowercase_names[name])
        if text is None:
            return None
        number = parse_decimal(text)
        if number is None:
            raise BadRequest(
                f"{name} cannot be {text[:MAX_LOGGED_CHARACTERS]!r}; send a non-negative number"
            )
        return round(number)

    # --- Response headers ---

    def _parse_load(self, text: str | None) -> BackendLoad | None:
        if text is None:
            return None
        numbers = [parse_integer(part) for part in text.split(",")]
        counts = [number for number in numbers if number is not None]
        if len(numbers) != LOAD_FIELD_COUNT or len(counts) != LOAD_FIELD_COUNT:
            self._record_invalid_value("load", text)
            return None
        return BackendLoad(*counts)

    def _parse_retry_after_s(self, head: ResponseHead) -> float | None:
        """Return the seconds of ``Retry-After``; None if it is absent or not a number."""
        rest_s = self._parse_decimal("rest", head.get(RETRY_AFTER))
        return None if rest_s is None else min(rest_s, MAX_RETRY_AFTER_S)

    def _parse_decimal(self, what: str, text: str | None) -> float | None:
        """Return the number in ``text``; None if it is absent or invalid."""
        if text is None:
            return None
        number = parse_decimal(text)
        if number is None:
            self._record_invalid_value(what, text)
        return number

    def _record_invalid_value(self, what: str, text: str) -> None:
        self.invalid_values += 1
        _log.info("word not understood", what=what, value=text[:MAX_LOGGED_CHARACTERS])


def _is_handle(value: object) -> bool:
    """Return whether a handle can stand in the header and in the target of a request."""
    return isinstance(value, str) and _HANDLE.fullmatch(value) is not None


def _is_token_count(value: object) -> bool:
    return type(value) is int and 0 <= value <= MAX_TOKENS
