"""OpenAI-compatible API for callers: chat completions and completions, streamed or not."""

from __future__ import annotations

import time
from typing import Any

import msgspec

from yokedock.connection.http_server import HttpRequest, Write
from yokedock.errors import BadRequest, ErrorResponse, YokedockError
from yokedock.messages import Sampling
from yokedock.request.answer_stream import ResponseWriter

DEFAULT_MAX_TOKENS = 256
ADAPTER_SEPARATOR = ":"
STREAM_END = b"data: [DONE]\n\n"
REQUEST_ID_HEADER = "X-Request-Id"
MAX_STOP_SEQUENCES = 4
"""Limit of stop sequences in one request, as in the OpenAI API."""


class ContentPart(msgspec.Struct, frozen=True):
    """One part of a message's content; only text is supported."""

    type: str
    text: str = ""


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a chat request."""

    role: str
    content: str | list[ContentPart] | None = None


class StreamOptions(msgspec.Struct, frozen=True):
    """Options of a streamed response."""

    include_usage: bool = False


class GenerationRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Fields common to chat completions and completions; unknown fields are ignored."""

    model: str
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    n: int | None = None
    temperature: float | None = None
    top_p: float | None = None
    seed: int | None = None
    presence_penalty: float | None = None
    frequency_penalty: float | None = None
    stop: str | list[str] | None = None
    stream_options: StreamOptions | None = None

    def token_limit(self) -> int:
        """Return the maximum number of tokens to generate."""
        return self.max_completion_tokens or self.max_tokens or DEFAULT_MAX_TOKENS

    def check(self) -> None:
        """Raise ``BadRequest`` on unsupported or invalid values."""
        if self.n not in (None, 1):
            raise BadRequest("n must be 1; send one request for each completion")
        for limit in (self.max_tokens, self.max_completion_tokens):
            if limit is not None and limit < 1:
                raise BadRequest("max_tokens must be at least 1; omit it for the default")
        _check_range("temperature", self.temperature, 0, 2)
        _check_range("top_p", self.top_p, 0, 1)
        _check_range("presence_penalty", self.presence_penalty, -2, 2)
        _check_range("frequency_penalty", self.frequency_penalty, -2, 2)
        stops = self._stop_sequences()
        if len(stops) > MAX_STOP_SEQUENCES or not all(stops):
            raise BadRequest(f"stop must be 1 to {MAX_STOP_SEQUENCES} non-empty strings")

    def sampling(self) -> Sampling:
        """Return the sampling parameters for the engine."""
        return Sampling(
            self.temperature,
            self.top_p,
            self.seed,
            self.presence_penalty,
            self.frequency_penalty,
            self._stop_sequences(),
        )

    def _stop_sequences(self) -> tuple[str, ...]:
        if self.stop is None:
            return ()
        return (self.stop,) if isinstance(self.stop, str) else tuple(self.stop)

    def wants_usage(self) -> bool:
        """Return whether a streamed response ends with the token usage."""
        return self.stream_options is not None and self.stream_options.include_usage


class ChatRequest(GenerationRequest, frozen=True, kw_only=True):
    """Body of ``POST /v1/chat/completions``."""

    messages: list[ChatMessage]

    def prompt(self) -> str:
        """Return the messages as one prompt, rendered with a simple chat template."""
        if not self.messages:
            raise BadRequest("messages is empty; send at least one message")
        lines = [f"<|{message.role}|>\n{_content_text(message)}\n" for message in self.messages]
        return "".join(lines) + "<|assistant|>\n"


class CompletionRequest(GenerationRequest, frozen=True, kw_only=True):
    """Body of ``POST /v1/completions``."""

    prompt: str


class Usage(msgspec.Struct, frozen=True):
    """Token counts of a response."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class ModelEntry(msgspec.Struct, frozen=True):
    """One model in the response to ``GET /v1/models``."""

    id: str
    object: str = "model"
    owned_by: str = "yokedock"
    created: int = 0


class ModelListing(msgspec.Struct, frozen=True):
    """Body of the response to ``GET /v1/models``."""

    data: tuple[ModelEntry, ...]
    object: str = "list"


def split_adapter(model: str) -> tuple[str, str]:
    """Split ``model:adapter`` into model and adapter; the adapter is empty if none is named."""
    name, _, adapter = model.partition(ADAPTER_SEPARATOR)
    return name, adapter


def _check_range(name: str, value: float | None, lowest: float, highest: float) -> None:
    """Raise ``BadRequest`` if a value is given and out of range."""
    if value is not None and not lowest <= value <= highest:
        raise BadRequest(f"{name} must be from {lowest} to {highest}; omit it for the default")


def _content_text(message: ChatMessage) -> str:
    if message.content is None:
        return ""
    if isinstance(message.content, str):
        return message.content
    for part in message.content:
        if part.type != "text":
            raise BadRequest(f"content of type {part.type} is not supported; send text")
    return "".join(part.text for part in message.content)


class AnswerFormat:
    """Builds the JSON objects of one response.

    Chat completions and completions differ in a few fields.
    """

    def __init__(self, request_id: str, model: str, is_chat: bool) -> None:
        """Encode the part that is the same in every event of a streamed response."""
        self._is_chat = is_chat
        self._id = f"{'chatcmpl' if is_chat else 'cmpl'}-{request_id}"
        self._model = model
        self._created = int(time.time())
        field = b'"delta":{"content":' if is_chat else b'"text":'
        head = msgspec.json.encode(self._head(streamed=True))[:-1]
        self._chunk_start = b"data: " + head + b',"choices":[{"index":0,' + field
        self._chunk_end = b'},"finish_reason":' if is_chat else b',"finish_reason":'

    def chunk(self, text: str, finish: str) -> bytes:
        """Return one server-sent event with new text."""
        reason = msgspec.json.encode(finish or None)
        encoded = msgspec.json.encode(text)
        return b"".join(
            (self._chunk_start, encoded, self._chunk_end, reason, b',"logprobs":null}]}\n\n')
        )

    def opening_event(self) -> bytes:
        """Return the first event of a chat stream, which carries the role; else nothing."""
        if not self._is_chat:
            return b""
        document = self._head(streamed=True)
        delta = {"role": "assistant", "content": ""}
        document["choices"] = [{"index": 0, "delta": delta, "finish_reason": None}]
        return b"data: " + msgspec.json.encode(document) + b"\n\n"

    def usage_event(self, usage: Usage) -> bytes:
        """Return the event with the token usage at the end of a stream."""
        document = self._head(streamed=True)
        document["choices"] = []
        document["usage"] = usage
        return b"data: " + msgspec.json.encode(document) + b"\n\n"

    def whole(self, text: str, finish: str, usage: Usage) -> dict[str, Any]:
        """Return the body of a response that is not streamed."""
        document = self._head(streamed=False)
        choice: dict[str, Any] = {"index": 0, "finish_reason": finish, "logprobs": None}
        if self._is_chat:
            choice["message"] = {"role": "assistant", "content": text, "refusal": None}
        else:
            choice["text"] = text
        document["choices"] = [choice]
        document["usage"] = usage
        return document

    def _head(self, streamed: bool) -> dict[str, Any]:
        kind = "text_completion"
        if self._is_chat:
            kind = "chat.completion.chunk" if streamed else "chat.completion"
        return {"id": self._id, "object": kind, "created": self._created, "model": self._model}


class EventStreamWriter(ResponseWriter):
    """Streams a response as server-sent events through the WSGI ``write`` callable."""

    def __init__(self, request: HttpRequest, answer_format: AnswerFormat, request_id: str) -> None:
        """Respond to ``request``; the header is sent with the first event."""
        self._request = request
        self._format = answer_format
        self._request_id = request_id
        self._write: Write | None = None

    @property
    def is_started(self) -> bool:
        """Return whether any part of the response was sent."""
        return self._write is not None

    def write_tokens(self, tokens: tuple[str, ...], finish: str) -> None:
        """Send the tokens as one event."""
        event = self._format.chunk("".join(tokens), finish)
        if self._write is None:
            event = self._format.opening_event() + event
        self._send(event)

    def write_error(self, error: YokedockError) -> None:
        """Send the error as the final event."""
        self._send(b"data: " + msgspec.json.encode(ErrorResponse(error.body())) + b"\n\n")

    def write_end(self, usage: Usage | None) -> None:
        """End the stream, after an event with ``usage`` if it is given."""
        event = self._format.usage_event(usage) if usage is not None else b""
        self._send(event + STREAM_END)

    def _send(self, data: bytes) -> None:
        if self._write is None:
            headers = [
                ("Content-Type", "text/event-stream; charset=utf-8"),
                ("Cache-Control", "no-cache"),
                (REQUEST_ID_HEADER, self._request_id),
            ]
            self._write = self._request.start(200, headers)
        self._write(data)


class BufferedResponseWriter(ResponseWriter):
    """Writes nothing: the complete text is read from the ``AnswerStream`` at its end."""

    def write_tokens(self, tokens: tuple[str, ...], finish: str) -> None:
        """Do nothing, since the response is sent at the end."""

    def write_error(self, error: YokedockError) -> None:
        """Do nothing: the request's thread sends the error as the response."""
