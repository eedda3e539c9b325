"""Authenticated, encrypted frames between the system's processes.

Both sides hold the deployment's pre-shared key. The dialer sends a random nonce, the listener
replies with its own, and both derive a key for this connection (keyed BLAKE2b). All later frames
are sealed with ChaCha20-Poly1305. The AEAD nonce consists of the direction and a counter without
gaps, so frames that were altered, replayed or sent without the key are rejected, and a lost frame
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

from yokedock.base.decoding import DECODING_ERRORS
from yokedock.errors import PeerNotAuthenticated
from yokedock.messages import Frame, decode_frame, encode_frame

NONCE_BYTES = 16
KEY_BYTES = 32
LOOPBACK_KEY = bytes(KEY_BYTES)
"""Used when the settings do not name a deployment key (loopback only)."""

_COUNTER = struct.Struct(">Q")
_FROM_DIALER = b"dial"
_FROM_LISTENER = b"list"


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """First packet from the dialer: its identity, unverified until a sealed packet is opened."""

    nonce: bytes
    name: str
    incarnation: int


class Welcome(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """First packet from the listener."""

    nonce: bytes
    name: str
    incarnation: int


class Sealed(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Any later packet: an encrypted frame."""

    counter: int
    content: bytes


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Hello | Welcome | Sealed)


def new_nonce() -> bytes:
    """Return a random nonce for a new connection."""
    return os.urandom(NONCE_BYTES)


def encode_packet(packet: Hello | Welcome | Sealed) -> bytes:
    """Encode a packet."""
    return _ENCODER.encode(packet)


def decode_packet(data: bytes) -> Hello | Welcome | Sealed:
    """Decode a packet; raises ``PeerNotAuthenticated`` if the data is not one."""
    try:
        packet: Hello | Welcome | Sealed = _DECODER.decode(data)
    except DECODING_ERRORS:
        message = "a peer sent an invalid packet; check what connects to this address"
        raise PeerNotAuthenticated(message) from None
    return packet


class SecureSession:
    """Encrypts and decrypts the frames of one connection."""

    def __init__(self, key: bytes, hello: Hello, welcome: Welcome, dialer: bool) -> None:
        """Derive the connection's key; ``dialer`` is true on the dialing side."""
        material = hello.nonce + welcome.nonce
        self._cipher = ChaCha20Poly1305(
            hashlib.blake2b(material, key=key, digest_size=KEY_BYTES).digest()
        )
        self._send_prefix = _FROM_DIALER if dialer else _FROM_LISTENER
        self._receive_prefix = _FROM_LISTENER if dialer else _FROM_DIALER
        self._sent = 0
        self._received = 0
        self.send_lock = threading.Lock()
        """Held from ``seal`` until the packet is passed to the socket, to keep packets in order."""

    def seal(self, frame: Frame) -> bytes:
        """Encrypt ``frame`` into a packet; the caller must hold ``send_lock``."""
        self._sent += 1
        nonce = self._send_prefix + _COUNTER.pack(self._sent)
        content = self._cipher.encrypt(nonce, encode_frame(frame), None)
        return _ENCODER.encode(Sealed(self._sent, content))

    def open(self, packet: Sealed) -> Frame:
        """Decrypt a packet and return its frame.

        Raises ``PeerNotAuthenticated`` if the packet was altered or replayed, or if an earlier
        packet was lost; the connection must then be closed.
        """
        if packet.counter != self._received + 1:
            raise PeerNotAuthenticated("packets were lost or repeated; reconnecting")
        nonce = self._receive_prefix + _COUNTER.pack(packet.counter)
        try:
            content = self._cipher.decrypt(nonce, packet.content, None)
        except InvalidTag:
            message = "the peer uses a different key; configure the same deployment key everywhere"
            raise PeerNotAuthenticated(message) from None
        self._received = packet.counter
        return decode_frame(content)
