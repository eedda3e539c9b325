"""Messages exchanged between gateways and agents.

Messages are encoded as MessagePack arrays (msgspec). Times are given as milliseconds relative to
receipt, never as wall-clock times, so that machine clocks need not be synchronized. ``attempt``
identifies one attempt of one request and is unique across all gateways.
"""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base class of all messages; the class name is the tag on the wire."""


# --- Connection level ---


class BundleStamp(msgspec.Struct, frozen=True, array_like=True):
    """Version and digest of the sender's active bundle (version 0: none)."""

    version: int
    digest: str


class Heartbeat(Message, frozen=True):
    """Gateway to agent: renew the lease and list all attempts the gateway still holds there.

    The agent releases every attempt of this gateway that is not in ``held``. ``prefill_demand`` and
    ``decode_demand`` are the gateway's demand in the last interval: prefill seconds and decode
    slots.
    """

    stamp: BundleStamp
    held: tuple[str, ...]
    lease_ms: int
    prefill_demand: float = 0.0
    decode_demand: float = 0.0


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """State of an agent's backend at the time of sending."""

    role: str
    ready: bool
    leaving: bool
    slots: int
    slots_taken: int
    queued_prefill_tokens: int
    prefill_tokens_per_s: float


class HeartbeatReply(Message, frozen=True):
    """Agent to gateway: the agent's load, and in ``lost`` the held attempts it does not know.

    ``cached_blocks`` and ``evicted_blocks`` are hashes of prompt blocks (see ``request.prefix``)
    added to and evicted from the prefix cache since the last reply. ``cache_complete`` is false if
    changes were missed; the receiver then discards its copy of the cache contents.
    """

    stamp: BundleStamp
    incarnation: int
    load: LoadReport
    lost: tuple[str, ...]
    cached_blocks: tuple[int, ...] = ()
    evicted_blocks: tuple[int, ...] = ()
    cache_complete: bool = True


class Failure(Message, frozen=True):
    """Reply to a failed call: a typed error, identified by its code."""

    code: str
    text: str
    retry_after_s: float | None = None


class Done(Message, frozen=True):
    """Reply to a successful call that returns no data."""


# --- Model requests ---


class Reserve(Message, frozen=True):
    """Gateway to decode agent: reserve a slot from ``ready_by_ms`` until ``expires_ms``.

    The prefill is predicted to finish in ``prefilled_in_ms``; the slot cannot be used earlier.
    """

    attempt: str
    version: int
    prefilled_in_ms: int
    ready_by_ms: int
    expires_ms: int
    output_tokens: int
    priority: int


class Reserved(Message, frozen=True):
    """Reply to ``Reserve``: the slot is reserved and will be free within ``free_in_ms``.

    ``load`` is the agent's load including this reservation, so that the gateway need not wait for
    the next heartbeat reply.
    """

    free_in_ms: int
    load: LoadReport | None = None


class Prefill(Message, frozen=True):
    """Gateway to prefill agent: compute the KV cache of ``prompt``.

    ``first_token_by_ms`` is the deadline for the client's first token; the agent refuses
    immediately if prefill and transfer cannot finish by then.
    """

    attempt: str
    version: int
    model: str
    adapter: str
    prompt: str
    priority: int
    first_token_by_ms: int


class Prefilled(Message, frozen=True):
    """Reply to ``Prefill``: the KV cache can be exported from the engine at ``source_url``.

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
    """Decode agent to prefill agent: request transfer credit on the prefill engine's link.

    The export's time to live starts when the credit is granted. ``patience_ms`` is how long the
    agent may wait for the credit.
    """

    attempt: str
    handle: str
    kv_bytes: int
    patience_ms: int


class TransferDone(Message, frozen=True):
    """Decode agent to prefill agent: the transfer ended; release its credit."""

    attempt: str
    handle: str
    imported: bool


class Sampling(msgspec.Struct, frozen=True, omit_defaults=True):
    """The client's sampling parameters, in the OpenAI format; None selects the engine's default.

    The output ends before the first occurrence of one of the ``stop`` sequences.
    """

    temperature: float | None = None
    top_p: float | None = None
    seed: int | None = None
    presence_penalty: float | None = None
    frequency_penalty: float | None = None
    stop: tuple[str, ...] = ()


class Decode(Message, frozen=True):
    """Gateway to decode agent: import the KV cache and generate tokens."""

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
    """Gateway to decode agent: resend a running stream's tokens from ``from_sequence`` on."""

    attempt: str
    from_sequence: int


class Release(Message, frozen=True):
    """Gateway to agent: the attempt is over; cancel its work and free its resources."""

    attempt: str


class StreamTokens(msgspec.Struct, frozen=True, array_like=True):
    """New tokens of one stream; ``sequence`` is the sequence number of the first one.

    ``finish`` is empty while the stream continues, else "stop", "length" or an error code.
    """

    attempt: str
    sequence: int
    tokens: tuple[str, ...]
    finish: str = ""


class StepFrame(Message, frozen=True):
    """Agent to gateway: the new tokens of one decode step for all streams of this gateway."""

    streams: tuple[StreamTokens, ...]


# --- Calls to other services ---


class ServiceCall(Message, frozen=True):
    """Gateway to service agent: execute one call on the agent's service.

    ``key`` is the idempotency key of a non-repeatable call, or empty.
    """

    attempt: str
    version: int
    service: str
    key: str
    body: bytes
    content_type: str
    deadline_ms: int


class ServiceAnswer(Message, frozen=True):
    """Reply to ``ServiceCall``: the complete response of the service.

    ``replayed`` means that it comes from an earlier execution with the same key.
    """

    status: int
    content_type: str
    body: bytes
    replayed: bool = False


class Tombstone(Message, frozen=True):
    """Forbid a call: the agent will not execute a call with this key that arrives later.

    Sent by a gateway that has given up on the call, and by a key's new home agent to the previous
    one. The reply is ``TombstoneSet`` if no call with the key was executed, ``ServiceAnswer`` if
    its response is known, else ``Failure``.
    """

    service: str
    key: str


class TombstoneSet(Message, frozen=True):
    """Reply to ``Tombstone``: no call with the key was or will be executed by this agent."""


# --- Bundles ---


class FetchBundle(Message, frozen=True):
    """Request the signed envelope of a peer that has a newer bundle."""


class BundleEnvelope(Message, frozen=True):
    """The signed envelope of the sender's active bundle, empty if it has none."""

    envelope: bytes


class FetchSections(Message, frozen=True):
    """Request content-addressed bundle sections by digest."""

    digests: tuple[str, ...]


class BundleSections(Message, frozen=True):
    """The requested sections, in the order of the request; empty where unknown."""

    contents: tuple[bytes, ...]


class OfferBundle(Message, frozen=True):
    """Send a newer signed envelope to a peer that has an older bundle."""

    envelope: bytes


class PacketsTaken(Message, frozen=True):
    """Dialer to listener: ``count`` packets were read since the last such message."""

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
    """One message with the number of its call (0: no reply is expected)."""

    call: int
    message: AnyMessage


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame as MessagePack."""
    return _ENCODER.encode(frame)


def decode_frame(data: bytes) -> Frame:
    """Decode a frame; raises ``msgspec.DecodeError`` if the data is not a valid frame."""
    return _DECODER.decode(data)
