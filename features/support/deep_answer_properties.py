"""Tests that deeply nested bytes end no task: each decoder refuses them with its usual error."""

import base64
import contextlib
import json
import zlib

import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from yokedock.connection.bounded_http import WholeResponse
from yokedock.connection.engine_client import rejection_text
from yokedock.connection.router_gossip import STREAM_ORIGINS_MARK, RouterGossip
from yokedock.connection.secure_session import decode_packet
from yokedock.errors import BundleRejected, PeerNotAuthenticated
from yokedock.process.origin_store import OriginStore
from yokedock.process.state_exchange import unpack
from yokedock.process.stream_origin_exchange import StreamOriginExchange
from yokedock.version.bundle_codec import open_envelope, unpack_sections

DEPTH = 100_000
DEEP_ARRAYS = b"\x91" * DEPTH + b"\x01"
"""Nested arrays in MessagePack."""
DEEP_MAPS = b"\x81\xa1a" * DEPTH + b"\x01"
DEEP_TAIL = b"\xdc\x00\x40" + b"\x00" * 63
"""Begins an array of 64 elements, more than any message has, of which the last one follows."""
DEEP_MESSAGES = (DEEP_ARRAYS, DEEP_MAPS, DEEP_TAIL + DEEP_ARRAYS, DEEP_TAIL + DEEP_MAPS)
DEEP_STATE = b"\xdc\x00\x40\xa1r\x01\x01\x01\x01\xc2\x00\x80\xa0\x00\x90\x90" + b"\x80\x00\x90\x80"
DEEP_JSON = b'{"other":' + b"[" * DEPTH + b"]" * DEPTH + b"}"


def gossip():
    """Return a gossip without a socket."""
    return RouterGossip("10.0.0.1", 1, (), lambda n, named: None, lambda o: None, lambda o: None)


def a_deep_datagram_is_dropped():
    """A datagram that nests deeply is dropped by routers and origin stores."""
    deep_state = DEEP_STATE + b"\x90\x80\x90\x90\x80\xc2\x00\x90\x90\x00\xc2" + b"\xc0" * 36
    for data in (*DEEP_MESSAGES, deep_state + DEEP_ARRAYS):
        gossip().datagram_received(data, ("10.0.0.2", 1))
        OriginStore().datagram_received(data, ("10.0.0.2", 1))
    exchange = StreamOriginExchange(gossip(), 1, None)
    origin = b"\xdc\x00\x40\x01\x01\x01" + b"\xc0" * 60
    for deep in (DEEP_ARRAYS, DEEP_MAPS):
        exchange.receive(b"\x91" + origin + deep, "10.0.0.2")
        gossip().datagram_received(STREAM_ORIGINS_MARK + b"\x91" + origin + deep, ("10.0.0.2", 1))


def a_deep_state_is_refused():
    """The state of another router that nests deeply is refused, packed or not."""
    head = b"\xdc\x00\x40\x03\x80"
    for deep in (DEEP_ARRAYS, DEEP_MAPS):
        table = zlib.compress(b"\x81\xa1a" + deep)
        bodies = (
            deep,
            head + b"\xc4\x00\x00" + b"\xc0" * 59 + deep,
            b"\x93\x03\x80\xc5" + len(table).to_bytes(2) + table,
        )
        for body in bodies:
            with contextlib.suppress(zlib.error, msgspec.MsgspecError):
                raise AssertionError(f"accepted {unpack(body)}")


def b64(data):
    """Return bytes as they stand in JSON."""
    return base64.b64encode(data).decode()


def a_deep_packet_or_bundle_is_refused():
    """Peers, engines and the configuration service are refused with the usual errors."""
    for data in DEEP_MESSAGES:
        assert unpack_sections(data) == {}
        with contextlib.suppress(PeerNotAuthenticated):
            raise AssertionError(f"accepted {decode_packet(data)}")
    key = Ed25519PrivateKey.generate()
    manifest = b'{"version":1,"created_at_ms":1,"sections":[],' + DEEP_JSON[1:]
    signed = json.dumps({"manifest": b64(manifest), "signature": b64(key.sign(manifest))}).encode()
    for envelope in (DEEP_JSON, signed):
        with contextlib.suppress(BundleRejected):
            raise AssertionError(f"accepted {open_envelope(envelope, key.public_key())}")
    assert "500" in rejection_text(WholeResponse(500, {}, DEEP_JSON))


DEEP_ANSWER_PROPERTIES = {
    "a deep datagram is dropped": a_deep_datagram_is_dropped,
    "a deep state is refused": a_deep_state_is_refused,
    "a deep packet or bundle is refused": a_deep_packet_or_bundle_is_refused,
}
