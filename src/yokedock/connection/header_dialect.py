"""A dialect in which everything stands in headers whose names are given by a table."""

from __future__ import annotations

import msgspec

from yokedock.base.logs import logger
from yokedock.connection.dialect import (
    AnswerNotes,
    BackendLoad,
    BackendOrder,
    CachedPart,
    CallTerms,
    Dialect,
    EncodedOrder,
    GenerationTerms,
    PrefillResult,
    PromptPart,
    RoleOrder,
)
from yokedock.connection.head_numbers import decimal_number, whole_number
from yokedock.connection.http_heads import AnswerHead, Header, RequestHead
from yokedock.connection.short_call import ShortCall
from yokedock.errors import BadRequest, EngineRejected

_log = logger("dialect")


class HeaderNames(msgspec.Struct, frozen=True):
    """Names of headers; the defaults are the product's own."""

    request_id: str = "X-Request-Id"
    deadline_ms: str = "X-Deadline-Ms"
    last_event_id: str = "Last-Event-Id"
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


MISDIRECTED_STATUS = 421
"""The backend is not the one that was meant, and does not run the request (RFC 9110)."""
MAX_DEADLINE_MS = 3_600_000
OVERLOADED_STATUS = 503
"""Only with this status does ``Retry-After`` ask for rest (RFC 9110, section 10.2.3)."""
RETRY_AFTER = b"retry-after"
LEAVING_VALUE = "1"
SHOWN_CHARACTERS = 40
"""Characters of an odd value that stand in a log line or an error."""
LOAD_COUNTS = 3
"""Running, waiting, slots."""
LONGEST_REST_S = 86_400.0
"""A backend that asks for more than a day has mistaken the unit, and rests for a day."""


class HeaderDialect(Dialect):
    """A dialect in which everything stands in headers whose names are given."""

    def __init__(self, names: HeaderNames | None = None) -> None:
        """Prepare look-ups from the table of names."""
        self._names = names or HeaderNames()
        self._keys = {
            name: getattr(self._names, name).lower().encode()
            for name in self._names.__struct_fields__
            if isinstance(getattr(self._names, name), str)
        }
        own = {name.lower().encode() for name in self._names.set_by_router}
        self._dropped = frozenset(own)

    def call_terms(self, head: RequestHead) -> CallTerms:
        """Return what a caller asks; raises ``BadRequest`` for what makes no sense."""
        deadline_ms = self._number(head, "deadline_ms")
        if deadline_ms is not None and not 0 < deadline_ms <= MAX_DEADLINE_MS:
            raise BadRequest(f"{self._names.deadline_ms} must be 1 to {MAX_DEADLINE_MS}")
        return CallTerms(
            request_id=head.get(self._keys["request_id"]) or "",
            deadline_s=None if deadline_ms is None else deadline_ms / 1000,
            last_event_id=self._number(head, "last_event_id"),
            generation=self._generation(head),
        )

    def backend_headers(self, head: RequestHead, order: BackendOrder) -> list[Header]:
        """Return the headers of the request as one backend gets it."""
        replaced = {self._keys["deadline_ms"]}
        if order.last_event_id is not None:
            replaced.add(self._keys["last_event_id"])
        headers = head.passed_on(self._dropped | replaced)
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

    def answer_notes(self, head: AnswerHead) -> AnswerNotes:
        """Return what an answer says about the run."""
        is_elsewhere = head.status == MISDIRECTED_STATUS
        limit = head.get(self._keys["limit"])
        limit_per_s = self._decimal("limit", limit)
        return AnswerNotes(
            request_id=head.get(self._keys["request_id"]),
            is_not_run=is_elsewhere or head.get(self._keys["not_run"]) is not None,
            is_signed=head.get(self._keys["signature"]) is not None,
            is_elsewhere=is_elsewhere,
            load=self._load(head.get(self._keys["load"])),
            is_leaving=head.get(self._keys["leaving"]) == LEAVING_VALUE,
            rest_s=self._rest_s(head) if head.status == OVERLOADED_STATUS else None,
            limit_per_s=limit_per_s,
            is_limit_odd=limit is not None and limit_per_s is None,
        )

    def prefill_result(self, body: bytes) -> PrefillResult:
        """Parse the answer to a prefill; raises ``EngineRejected`` if it is none."""
        try:
            fields = msgspec.json.decode(body, type=dict[str, object])
        except (msgspec.MsgspecError, RecursionError):
            fields = {}
        handle = fields.get(self._names.handle_field)
        tokens = fields.get(self._names.tokens_field, 0)
        if not isinstance(handle, str) or not isinstance(tokens, int):
            raise EngineRejected("the engine's answer to a prefill names no handle")
        return PrefillResult(handle, tokens)

    def role_order(self, order: RoleOrder) -> EncodedOrder:
        """Return an order to change a role as it is sent."""
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
        return EncodedOrder(names.order_path.encode(), headers, msgspec.json.encode(fields))

    def cache_list_call(self) -> ShortCall:
        """Return the call that asks an engine what its prefix cache keeps."""
        return ShortCall(b"GET", self._names.cache_list_path.encode())

    def cached_parts(self, body: bytes) -> dict[str, int]:
        """Return the tokens kept of each part, by the answer to that call."""
        try:
            fields = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
            parts = msgspec.json.decode(
                fields[self._names.cache_list_field], type=tuple[CachedPart, ...]
            )
        except (msgspec.MsgspecError, RecursionError, KeyError):
            raise EngineRejected("the engine's list of its cache is not understood") from None
        return {part.part_id: part.tokens for part in parts}

    def release_target(self, handle: str) -> bytes:
        """Return the path at which DELETE releases what a prefill keeps."""
        return f"{self._names.release_path}{handle}".encode()

    def _generation(self, head: RequestHead) -> GenerationTerms | None:
        tokens = head.get(self._keys["tokens"])
        if tokens is None:
            return None
        prompt, _, most = tokens.partition(",")
        prompt_tokens, most_output_tokens = whole_number(prompt), whole_number(most)
        if prompt_tokens is None or most_output_tokens is None:
            raise BadRequest(f"{self._names.tokens} must be PROMPT,MOST; send two whole numbers")
        parts = self._parts(head.get(self._keys["parts"]) or "")
        hint = self._number(head, "output_hint")
        model = head.get(self._keys["model"]) or ""
        return GenerationTerms(model, prompt_tokens, most_output_tokens, parts, hint)

    def _parts(self, text: str) -> tuple[PromptPart, ...]:
        found = []
        for part in filter(None, text.split(",")):
            part_id, _, text = part.strip().rpartition(":")
            tokens = whole_number(text)
            if tokens is None:
                raise BadRequest(f"{self._names.parts} must list ID:TOKENS; mend {part!r}")
            found.append(PromptPart(part_id, tokens))
        return tuple(found)

    def _number(self, head: RequestHead, name: str) -> int | None:
        text = head.get(self._keys[name])
        if text is None:
            return None
        number = decimal_number(text)
        if number is None:
            raise BadRequest(f"{name} cannot be {text[:SHOWN_CHARACTERS]!r}; send a number")
        return round(number)

    # --- What answers say ---

    def _load(self, text: str | None) -> BackendLoad | None:
        if text is None:
            return None
        numbers = [whole_number(part) for part in text.split(",")]
        counts = [number for number in numbers if number is not None]
        if len(numbers) != LOAD_COUNTS or len(counts) != LOAD_COUNTS:
            self._note_not_understood("load", text)
            return None
        return BackendLoad(*counts)

    def _rest_s(self, head: AnswerHead) -> float | None:
        """Return the seconds of ``Retry-After``, None where it is absent or no number of them."""
        rest_s = self._decimal("rest", head.get(RETRY_AFTER))
        return None if rest_s is None else min(rest_s, LONGEST_REST_S)

    def _decimal(self, what: str, text: str | None) -> float | None:
        """Return a number, None where it is absent or none."""
        if text is None:
            return None
        number = decimal_number(text)
        if number is None:
            self._note_not_understood(what, text)
        return number

    def _note_not_understood(self, what: str, text: str) -> None:
        self.not_understood += 1
        _log.info("word not understood", what=what, value=text[:SHOWN_CHARACTERS])
