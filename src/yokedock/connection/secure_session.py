"""Authenticated, encrypted frames between the system's processes.

Both ends hold the deployment's key. The dialling end opens with a random nonce, the listening end
answers with one of its own, and both derive a key for this connection alone (keyed BLAKE2b). Every
later frame is sealed with ChaCha20-Poly1305; its nonce is the direction and a counter without gaps,
so a frame that is altered, replayed or from a stranger is never listened to, and the loss of one
(the socket drops frames for a peer that does not read) ends the connection.
"""

from __future__ import annotations

import hashlib
import os
import struct
import threading

import msgspec
from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import ChaCha20Poly1305

from yokedock.errors import PeerNotAuthenticated
from yokedock.messages import Frame, decode_frame, encode_frame

NONCE_BYTES = 16
KEY_BYTES = 32
LOOPBACK_KEY = bytes(KEY_BYTES)
"""Stands in for the deployment's key where the settings name none (loopback only)."""

_COUNTER = struct.Struct(">Q")
_FROM_DIALER = b"dial"
_FROM_LISTENER = b"list"


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """First frame from the dialling end: who it says it is. Believed after the first sealed one."""

    nonce: bytes
    name: str
    incarnation: int


class Welcome(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """First frame from the listening end."""

    nonce: bytes
    name: str
    incarnation: int


class Sealed(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Any later frame."""

    counter: int
    content: bytes


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Hello | Welcome | Sealed)


def new_nonce() -> bytes:
    """Return a random nonce for a new connection."""
    return os.urandom(NONCE_BYTES)


def encode_packet(packet: Hello | Welcome | Sealed) -> bytes:
    """Return the packet's bytes."""
    return _ENCODER.encode(packet)


def decode_packet(data: bytes) -> Hello | Welcome | Sealed:
    """Parse a packet; raises ``PeerNotAuthenticated`` on anything else."""
    try:
        packet: Hello | Welcome | Sealed = _DECODER.decode(data)
    except msgspec.MsgspecError:
        message = "a peer sent something else than a packet; check what dials this address"
        raise PeerNotAuthenticated(message) from None
    return packet


class SecureSession:
    """Seals and opens the frames of one connection."""

    def __init__(self, key: bytes, hello: Hello, welcome: Welcome, dialer: bool) -> None:
        """Derive the connection's key; ``dialer`` tells which end this is."""
        material = hello.nonce + welcome.nonce
        self._cipher = ChaCha20Poly1305(
            hashlib.blake2b(material, key=key, digest_size=KEY_BYTES).digest()
        )
        self._send_prefix = _FROM_DIALER if dialer else _FROM_LISTENER
        self._receive_prefix = _FROM_LISTENER if dialer else _FROM_DIALER
        self._sent = 0
        self._received = 0
        self.send_lock = threading.Lock()
        """Held by a sender from ``seal`` until the packet is handed to the socket."""

    def seal(self, frame: Frame) -> bytes:
        """Return the sealed packet of ``frame``; the caller holds ``send_lock``."""
        self._sent += 1
        nonce = self._send_prefix + _COUNTER.pack(self._sent)
        content = self._cipher.encrypt(nonce, encode_frame(frame), None)
        return _ENCODER.encode(Sealed(self._sent, content))

    def open(self, packet: Sealed) -> Frame:
        """Return the frame of a packet.

        Raises ``PeerNotAuthenticated`` when it was altered, replayed, or when packets before it
        were lost; the connection is then of no use and must be closed.
        """
        if packet.counter != self._received + 1:
            raise PeerNotAuthenticated("packets were lost or repeated; the link is set up again")
        nonce = self._receive_prefix + _COUNTER.pack(packet.counter)
        try:
            content = self._cipher.decrypt(nonce, packet.content, None)
        except InvalidTag:
            message = "the peer holds another key; give every process the same deployment key"
            raise PeerNotAuthenticated(message) from None
        self._received = packet.counter
        return decode_frame(content)
