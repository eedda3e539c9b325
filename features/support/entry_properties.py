"""Tests of which store entries a router accepts as backends, and which it ignores."""

import base64
import json

from support.stream_properties import Clock
from yokedock.connection.source_position import SourcePosition
from yokedock.platform.store import PlatformStore, items_to_changes
from yokedock.platform.stored_items import StoredItem
from yokedock.request.backend_registry import BackendRegistry

VALID_ENTRY = {
    "service": "llm",
    "address": "10.0.0.1:8080",
    "zone": "hall-one",
    "version": "v1",
    "slotCount": 128,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 4,
    "stage": "decode",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "born": 1775526215105,
}
INVALID_FIELDS = (
    ("state", "warming"),
    ("state", None),
    ("state", 1),
    ("service", ""),
    ("service", 7),
    ("service", "x" * 1_000_000),
    ("address", "10.0.0.1"),
    ("address", "10.0.0.1:0"),
    ("address", "10.0.0.1:99999"),
    ("address", "10.0.0.1:http"),
    ("address", "10.0.0.1:-1"),
    ("address", "10.0.0.1: 80"),
    ("address", ""),
    ("address", ":80"),
    ("address", "10.0.0.1:80\r\nX-Any: 1"),
    ("address", "nowhere.example:80"),
    ("address", "10.0.0.1:8\u00b2"),
    ("slotCount", 0),
    ("slotCount", -3),
    ("slotCount", 10**18),
    ("slotCount", "128"),
    ("slotCount", 1.5),
    ("slotCount", True),
    ("stage", "verify"),
    ("stage", 3),
    ("zone", 4),
    ("version", 2),
    ("coldRemainingMs", "soon"),
    ("sequence", "four"),
    ("born", "yesterday"),
    ("born", 1.5),
    ("models", "m"),
)
OPTIONAL_FIELDS = {"stage", "models", "born"}
INVALID_BYTES = (b"", b"{", b"null", b"[]", b"7", b'"text"', b"\xff\xfe", b"{}" * 2, b"[" * 100_000)


def item(instance, document, revision=1):
    """Return a stored item with this document as its value."""
    data = document if isinstance(document, bytes) else json.dumps(document).encode()
    return StoredItem(f"servers/{instance}", base64.b64encode(data).decode(), revision)


def invalid_documents():
    """Return documents that are no valid backend entry."""
    changed = [VALID_ENTRY | {field: value} for field, value in INVALID_FIELDS]
    missing = [
        {k: v for k, v in VALID_ENTRY.items() if k != field}
        for field in VALID_ENTRY.keys() - OPTIONAL_FIELDS
    ]
    return [*changed, *missing, *INVALID_BYTES]


def an_odd_entry_names_no_backend():
    """An invalid entry removes its backend until a valid one is written, and affects no other."""
    for odd in invalid_documents():
        clock = Clock()
        registry = BackendRegistry("hall-one", clock)
        first = items_to_changes(
            (item("i-1", VALID_ENTRY), item("i-2", VALID_ENTRY)), SourcePosition(revision=1)
        )
        registry.replace_all({entry.instance: entry for entry in first.changed})
        changes = items_to_changes((item("i-1", odd),), SourcePosition(revision=2))
        assert changes.undecoded == ("i-1",), odd
        registry.update(changes.changed, changes.gone)
        assert [b.entry.instance for b in registry.usable("llm")] == ["i-2"], odd
        again = items_to_changes((item("i-1", VALID_ENTRY),), SourcePosition(revision=3))
        registry.update(again.changed, again.gone)
        assert sorted(b.entry.instance for b in registry.usable("llm")) == ["i-1", "i-2"], odd


def an_odd_entry_of_a_whole_list_names_no_backend():
    """A full list with an invalid entry removes the backend of that identifier and no other."""
    registry = BackendRegistry("hall-one", Clock())
    first = items_to_changes(
        (item("i-1", VALID_ENTRY), item("i-2", VALID_ENTRY)), SourcePosition(revision=1)
    )
    registry.replace_all({entry.instance: entry for entry in first.changed})
    listed = items_to_changes(
        (item("i-1", b"?"), item("i-2", VALID_ENTRY)), SourcePosition(revision=2)
    )
    registry.replace_all({entry.instance: entry for entry in listed.changed})
    assert [b.entry.instance for b in registry.usable("llm")] == ["i-2"]


def a_good_entry_is_read_whole():
    """An entry is read with unknown fields, and without those that plain services do not have."""
    plain = {k: v for k, v in VALID_ENTRY.items() if k not in OPTIONAL_FIELDS}
    for document, born_ms, role in ((VALID_ENTRY, VALID_ENTRY["born"], "decode"), (plain, 0, "")):
        changes = items_to_changes(
            (item("i-1", document | {"unknown": {"a": 1}}),), SourcePosition(revision=1)
        )
        entry = changes.changed[0]
        assert not changes.undecoded and not changes.gone
        assert (entry.born_ms, entry.role, entry.slots) == (born_ms, role, 128)
        assert entry.version == "v1"


def odd_bytes_keep_the_configuration():
    """A configuration that cannot be decoded leaves the previous version in effect."""
    for odd in (*INVALID_BYTES, b'{"version": "x"}', b'{"routes": []}'):
        document = StoredItem("op/config", base64.b64encode(odd).decode(), 9)
        changes = items_to_changes((document,), SourcePosition(revision=9))
        assert changes.table is None and changes.undecoded == ("op/config",), odd


def odd_entries_are_logged_once():
    """Each invalid revision of an entry is logged once; the record of reported ones is bounded."""
    store = PlatformStore("127.0.0.1:1")
    odd = [item(f"i-{number}", b"?", number) for number in range(10_000)]
    assert sum(store.is_unreported(entry) for entry in odd) == len(odd)
    assert not store.is_unreported(odd[-1])
    assert store.is_unreported(item("i-9999", b"?!", 20_000))
    assert store.size() <= 1_000


ENTRY_PROPERTIES = {
    "an odd entry names no backend": an_odd_entry_names_no_backend,
    "an odd entry of a whole list names no backend": an_odd_entry_of_a_whole_list_names_no_backend,
    "a good entry is read whole": a_good_entry_is_read_whole,
    "odd bytes keep the configuration": odd_bytes_keep_the_configuration,
    "odd entries are logged once": odd_entries_are_logged_once,
}
