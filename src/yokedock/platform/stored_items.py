"""Items of the platform's store, each decoded by itself: an odd one costs no other."""

from __future__ import annotations

import zlib
from collections.abc import Iterable

import msgspec

UNNAMED_PREFIX = "unnamed item "
"""Begins the key given to an item that has none. No key of the store that is read begins so."""


class StoredItem(msgspec.Struct, frozen=True):
    """One item, or the notice that it was deleted."""

    key: str = msgspec.field(name="privateKey")
    value: str = ""
    revision: int = 0
    gone: bool = False


class InvalidItem(StoredItem, frozen=True):
    """An item that could not be decoded."""

    reason: str = ""

    @property
    def is_named(self) -> bool:
        """Return whether its key is known."""
        return not self.key.startswith(UNNAMED_PREFIX)


class _ItemKey(msgspec.Struct):
    """The key alone."""

    key: str = msgspec.field(name="privateKey")


_ITEM_DECODER = msgspec.json.Decoder(StoredItem)
_KEY_DECODER = msgspec.json.Decoder(_ItemKey)


def encode_items(items: Iterable[StoredItem]) -> tuple[msgspec.Raw, ...]:
    """Return the items as they stand in a response of the store."""
    return tuple(msgspec.Raw(msgspec.json.encode(item)) for item in items)


def decode_items(encoded: Iterable[msgspec.Raw]) -> tuple[StoredItem, ...]:
    """Return the items in their order, with an ``InvalidItem`` in place of each odd one."""
    return tuple(_decode_item(item) for item in encoded)


def _decode_item(encoded: msgspec.Raw) -> StoredItem:
    try:
        return _ITEM_DECODER.decode(encoded)
    except msgspec.MsgspecError as error:
        return InvalidItem(_key_of(encoded), reason=str(error))


def _key_of(encoded: msgspec.Raw) -> str:
    """Return the key of an odd item, or one made from its content if it names none."""
    try:
        return _KEY_DECODER.decode(encoded).key
    except msgspec.MsgspecError:
        return f"{UNNAMED_PREFIX}{zlib.crc32(bytes(encoded)):08x}"
