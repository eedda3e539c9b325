"""Fuzz tests of decoders: malformed input gives only typed errors and changes no state.

``make fuzz`` runs the same checks with random seeds for a given time.
"""

import base64
import json
import os
import time
import zlib

import msgspec
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from support.entry_properties import VALID_ENTRY
from yokedock.connection.header_dialect import HeaderDialect
from yokedock.connection.http_heads import RequestHead
from yokedock.connection.router_gossip import RouterGossip
from yokedock.connection.router_state import EngineShare, RouterState, SuspectRequest
from yokedock.connection.source_position import SourcePosition
from yokedock.connection.state_source import BackendEntry, StateSnapshot
from yokedock.errors import YokedockError
from yokedock.platform.store import items_to_changes
from yokedock.platform.stored_items import StoredItem
from yokedock.process.state_exchange import unpack
from yokedock.version.route_table import RouteTable

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=12), inner, max_size=4)
    ),
    max_leaves=12,
)
STATE = RouterState(
    "r", 1, 1, 1, 1, False, 0, {"e": EngineShare(5, 1)}, "", 0, (), ("10.0.0.9",),
    suspects=(SuspectRequest(7, (1, 2)),),
)  # fmt: skip


def corrupted(data):
    """Return truncated copies of ``data`` with some bytes changed or appended."""
    positions = st.lists(
        st.tuples(st.integers(0, max(0, len(data) - 1)), st.integers(0, 255)), max_size=4
    )

    def change(changes, length, tail):
        changed = bytearray(data)
        for position, byte in changes:
            changed[position] = byte
        return bytes(changed[:length]) + tail

    return st.builds(change, positions, st.integers(0, len(data)), st.binary(max_size=4))


def malformed_bytes(data):
    """Return random bytes, or corrupted copies of ``data``."""
    return st.binary(max_size=200) | corrupted(data)


def entries_decode_or_are_rejected(document):
    """An entry decodes to one valid backend or is reported as undecoded."""
    value = base64.b64encode(document).decode()
    changes = items_to_changes((StoredItem("servers/i-1", value, 3),), SourcePosition(revision=3))
    assert len(changes.changed) + len(changes.undecoded) == 1
    for entry in changes.changed:
        assert entry.service and entry.slots >= 1 and entry.born_ms >= 0
        assert 0 < int(entry.address.rpartition(":")[2]) < 65_536


def fields_decode_or_are_rejected(fields):
    """The same holds for entries whose fields have values of any JSON type."""
    entries_decode_or_are_rejected(json.dumps(VALID_ENTRY | fields).encode())


def configurations_decode_or_are_rejected(document):
    """A configuration decodes to a route table or is reported as undecoded."""
    value = base64.b64encode(document).decode()
    changes = items_to_changes((StoredItem("op/config", value, 3),), SourcePosition(revision=3))
    assert (changes.table is None) == (changes.undecoded == ("op/config",))


def datagrams_decode_or_are_dropped(data):
    """A datagram decodes to a router's state or is dropped."""
    received = []
    gossip = RouterGossip(
        "10.0.0.1", 1, (), lambda n, named: STATE, received.append, received.append
    )
    gossip.datagram_received(data, ("10.0.0.2", 1))
    assert all(isinstance(other.state, RouterState) for other in received)


def snapshots_unpack_or_are_rejected(data):
    """Another router's response decodes to a snapshot or raises a typed error."""
    try:
        assert isinstance(unpack(data), StateSnapshot)
    except (msgspec.MsgspecError, zlib.error):
        return


def request_heads_parse_or_are_rejected(values):
    """A caller's headers parse into request metadata or raise a typed error."""
    names = (b"X-Deadline-Ms", b"Last-Event-Id", b"X-Tokens", b"X-Prompt-Parts", b"X-Output-Hint")
    head = RequestHead(tuple(zip(names, values, strict=False)), b"POST", b"/x")
    try:
        HeaderDialect().request_metadata(head)
    except YokedockError:
        return


PACKED_SNAPSHOT = msgspec.msgpack.encode(
    {
        "position": 4,
        "backends": {"i-1": BackendEntry("i-1", "s", "10.0.0.1:1")},
        "packed_table": zlib.compress(msgspec.msgpack.encode(RouteTable(1, (), {}))),
    }
)
CASES = {
    "entries are read or refused": (
        entries_decode_or_are_rejected,
        malformed_bytes(json.dumps(VALID_ENTRY).encode()),
    ),
    "fields are read or refused": (
        fields_decode_or_are_rejected,
        st.dictionaries(st.sampled_from(sorted(VALID_ENTRY)), JSON, min_size=1, max_size=3),
    ),
    "configurations are read or refused": (
        configurations_decode_or_are_rejected,
        malformed_bytes(b'{"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/",'
                  b'"routeType":"streaming","timeoutMs":1}],"services":[{"name":"a"}]}'),
    ),
    "datagrams are heard or dropped": (
        datagrams_decode_or_are_dropped,
        malformed_bytes(msgspec.msgpack.encode(STATE)),
    ),
    "states are unpacked or refused": (
        snapshots_unpack_or_are_rejected,
        malformed_bytes(PACKED_SNAPSHOT),
    ),
    "heads are understood or refused": (
        request_heads_parse_or_are_rejected,
        st.lists(st.binary(max_size=20), max_size=5),
    ),
}  # fmt: skip


def property_test(check, cases, examples, seeded):
    """Return a property test over ``cases``, deterministic if ``seeded``."""
    rules = settings(
        max_examples=examples,
        deadline=None,
        database=None,
        derandomize=seeded,
        suppress_health_check=[HealthCheck.too_slow],
    )
    return rules(given(cases)(check))


FUZZ_PROPERTIES = {
    name: property_test(check, cases, 300, seeded=True) for name, (check, cases) in CASES.items()
}


def main():
    """Run with random seeds for ``FUZZ_SECONDS`` seconds (default 600)."""
    until_s = time.monotonic() + float(os.environ.get("FUZZ_SECONDS", "600"))
    rounds = 0
    while time.monotonic() < until_s:
        for check, cases in CASES.values():
            property_test(check, cases, 2_000, seeded=False)()
        rounds += 1
        print(f"{rounds} rounds of {2_000 * len(CASES)} cases, no failure", flush=True)


if __name__ == "__main__":
    main()
