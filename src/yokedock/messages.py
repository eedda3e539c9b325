"""Every message between the system's processes.

Messages travel as MessagePack arrays (msgspec). Durations are milliseconds relative to receipt,
never wall-clock times, so that clocks of machines need not agree. ``attempt`` identifies one
attempt of one request and is unique over all gateways.
"""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages; the class name is the tag on the wire."""


# --- Link level ---


class BundleStamp(msgspec.Struct, frozen=True, array_like=True):
    """Version and digest of the bundle in force at the sender (version 0: none)."""

    version: int
    digest: str


class Heartbeat(Message, frozen=True):
    """Gateway to agent: renews the lease and states all that the gateway still holds there.

    The agent releases every attempt of this gateway that is not in ``held``. ``demand`` is the
    gateway's demand signal: prefill seconds and decode slots it wanted in the last interval.
    """

    stamp: BundleStamp
    held: tuple[str, ...]
    lease_ms: int
    prefill_demand: float = 0.0
    decode_demand: float = 0.0


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """An agent's view of its back end at the time of sending."""

    role: str
    ready: bool
    leaving: bool
    slots: int
    slots_taken: int
    queued_prefill_tokens: int
    prefill_tokens_per_s: float


class HeartbeatReply(Message, frozen=True):
    """Agent to gateway: its load, and which of the attempts named as held it does not know.

    ``cached_blocks`` and ``evicted_blocks`` are prompt-block hashes (see ``request.prefix``) that
    entered and left the prefix cache since the last reply; ``cache_complete`` is false when
    changes were missed, and the receiver forgets what it knew.
    """

    stamp: BundleStamp
    incarnation: int
    load: LoadReport
    lost: tuple[str, ...]
    cached_blocks: tuple[int, ...] = ()
    evicted_blocks: tuple[int, ...] = ()
    cache_complete: bool = True


class Failure(Message, frozen=True):
    """The reply to any call that failed: a typed error by its code."""

    code: str
    text: str
    retry_after_s: float | None = None


class Done(Message, frozen=True):
    """The reply to a call that has nothing else to say."""


# --- Model requests ---


class Reserve(Message, frozen=True):
    """Gateway to decode agent: hold a slot from ``ready_by_ms`` until ``expires_ms``.

    The prefill is predicted to be over in ``prefilled_in_ms``; a slot is of no use before.
    """

    attempt: str
    version: int
    prefilled_in_ms: int
    ready_by_ms: int
    expires_ms: int
    output_tokens: int
    priority: int


class Reserved(Message, frozen=True):
    """The slot is promised; it will be free in ``free_in_ms`` at the latest.

    ``load`` is the agent's load with this reservation, so that the sender need not wait for the
    next heartbeat to learn it.
    """

    free_in_ms: int
    load: LoadReport | None = None


class Prefill(Message, frozen=True):
    """Gateway to prefill agent: compute the KV cache of ``prompt``.

    ``first_token_by_ms`` is when the caller should see its first token; the agent refuses at once
    if prefill and transfer cannot be over by then.
    """

    attempt: str
    version: int
    model: str
    adapter: str
    prompt: str
    priority: int
    first_token_by_ms: int


class Prefilled(Message, frozen=True):
    """The KV cache is ready to be exported from the engine at ``source_url``.

    ``load`` is the agent's load after this prefill.
    """

    handle: str
    source_url: str
    source_agent: str
    prompt_tokens: int
    cached_tokens: int
    kv_bytes: int
    load: LoadReport | None = None


class GrantTransfer(Message, frozen=True):
    """Decode agent to prefill agent: ask for credit on the prefill side's link.

    The export's time to live starts when the credit is granted, not before.
    """

    attempt: str
    handle: str
    kv_bytes: int
    patience_ms: int


class TransferDone(Message, frozen=True):
    """Decode agent to prefill agent: the transfer ended; give the credit back."""

    attempt: str
    handle: str
    imported: bool


class Sampling(msgspec.Struct, frozen=True, omit_defaults=True):
    """How the caller wants tokens chosen, in the OpenAI form; None: the engine's default.

    The answer ends before the first of the ``stop`` sequences.
    """

    temperature: float | None = None
    top_p: float | None = None
    seed: int | None = None
    presence_penalty: float | None = None
    frequency_penalty: float | None = None
    stop: tuple[str, ...] = ()


class Decode(Message, frozen=True):
    """Gateway to decode agent: import the KV cache and generate."""

    attempt: str
    version: int
    model: str
    adapter: str
    text: str
    handle: str
    source_url: str
    source_agent: str
    kv_bytes: int
    first_sequence: int
    output_tokens: int
    priority: int
    deadline_ms: int
    sampling: Sampling = Sampling()


class Resume(Message, frozen=True):
    """Gateway to decode agent: send again what follows ``from_sequence`` of a running stream."""

    attempt: str
    from_sequence: int


class Release(Message, frozen=True):
    """Gateway to agent: the attempt is over; cancel what runs and free what is held."""

    attempt: str


class StreamTokens(msgspec.Struct, frozen=True, array_like=True):
    """New tokens of one stream: the first one's sequence number, the texts, and the end.

    ``finish`` is empty while the stream goes on, else "stop", "length" or an error's code.
    """

    attempt: str
    sequence: int
    tokens: tuple[str, ...]
    finish: str = ""


class StepFrame(Message, frozen=True):
    """Agent to gateway: all new tokens of one decode step for this gateway's streams."""

    streams: tuple[StreamTokens, ...]


# --- Plain service calls ---


class ServiceCall(Message, frozen=True):
    """Gateway to service agent: run one call on the plain service beside the agent.

    ``key`` is the idempotency key of a call that may not be repeated, or empty.
    """

    attempt: str
    version: int
    service: str
    key: str
    body: bytes
    content_type: str
    deadline_ms: int


class ServiceAnswer(Message, frozen=True):
    """The service's whole answer."""

    status: int
    content_type: str
    body: bytes
    replayed: bool = False


class Tombstone(Message, frozen=True):
    """Forbid a call: an order for the key that arrives later will not be run.

    Sent by a gateway that gave up, and by a new home to the old one. The reply is ``TombstoneSet``
    if the key had not been run, ``ServiceAnswer`` if it has an answer, else ``Failure``.
    """

    service: str
    key: str


class TombstoneSet(Message, frozen=True):
    """The key was not run here and never will be."""


# --- Bundles ---


class FetchBundle(Message, frozen=True):
    """Ask a peer that is ahead for its signed envelope."""


class BundleEnvelope(Message, frozen=True):
    """The signed envelope in force at the sender, empty if it has none."""

    envelope: bytes


class FetchSections(Message, frozen=True):
    """Ask a peer for content-addressed sections by digest."""

    digests: tuple[str, ...]


class BundleSections(Message, frozen=True):
    """The sections that were asked for and are known, by position; empty where unknown."""

    contents: tuple[bytes, ...]


class OfferBundle(Message, frozen=True):
    """Hand over a newer signed envelope to a peer that is behind."""

    envelope: bytes


class PacketsTaken(Message, frozen=True):
    """Dialling end to listening end: ``count`` packets were read since the last such message."""

    count: int


AnyMessage = (
    Heartbeat
    | HeartbeatReply
    | Failure
    | Done
    | Reserve
    | Reserved
    | Prefill
    | Prefilled
    | GrantTransfer
    | TransferDone
    | Decode
    | Resume
    | Release
    | StepFrame
    | ServiceCall
    | ServiceAnswer
    | Tombstone
    | TombstoneSet
    | FetchBundle
    | BundleEnvelope
    | FetchSections
    | BundleSections
    | OfferBundle
    | PacketsTaken
)


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """One message with the number of the call it belongs to (0: no reply is expected)."""

    call: int
    message: AnyMessage


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Return the frame's MessagePack form."""
    return _ENCODER.encode(frame)


def decode_frame(data: bytes) -> Frame:
    """Parse a frame; raises ``msgspec.DecodeError`` on anything else."""
    return _DECODER.decode(data)
