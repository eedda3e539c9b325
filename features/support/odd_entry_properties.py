"""Tests that one odd entry of the state source costs only itself, also at other routers."""

import base64
import json

import h11
import msgspec
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from support.entry_properties import VALID_ENTRY
from yokedock.connection.dialect import ForwardingOrder
from yokedock.connection.header_dialect import HeaderDialect
from yokedock.connection.http_heads import RequestHead
from yokedock.connection.router_state import StateNews
from yokedock.connection.source_position import SourcePosition
from yokedock.connection.state_source import StateSnapshot
from yokedock.platform.store import StoredItem, items_to_changes
from yokedock.process.state_exchange import PackedState, unpack

ANY_SIZE = st.integers() | st.integers(60, 400).flatmap(
    lambda bits: st.sampled_from((2**bits, -(2**bits), 2**bits - 1))
)
"""Integers on both sides of what MessagePack can encode (-2**63 to 2**64 - 1)."""
ODD_FIELDS = {
    "born": ANY_SIZE,
    "sequence": ANY_SIZE,
    "slotCount": ANY_SIZE,
    "coldRemainingMs": ANY_SIZE | st.floats(allow_nan=False, allow_infinity=False),
    "models": ANY_SIZE.map(lambda size: [{"name": "m", "version": size}]),
}


def many_examples(**strategies):
    """Return a decorator that draws 300 cases, the same in each run."""
    rules = settings(
        max_examples=300,
        deadline=None,
        database=None,
        derandomize=True,
        suppress_health_check=[HealthCheck.too_slow],
    )
    return lambda check: rules(given(**strategies)(check))


def stored(name, fields, revision=3):
    """Return the stored item of a valid entry with other ``fields``."""
    document = json.dumps(VALID_ENTRY | fields).encode()
    return StoredItem(f"servers/{name}", base64.b64encode(document).decode(), revision)


NAME_CHARACTERS = st.sampled_from("\0\r\n\t\x0b\x1f\x7f /-é\u2028:,") | st.characters(
    exclude_categories=("Cs",)
)


@many_examples(name=st.text(NAME_CHARACTERS, max_size=8) | st.just("x" * 201))
def a_listed_name_can_stand_in_a_header(name):
    """A request names each backend that is listed, exactly, in one header."""
    changes = items_to_changes((stored(name, {}), stored("i-1", {})), SourcePosition(revision=3))
    assert "i-1" in [entry.instance for entry in changes.changed]
    for entry in changes.changed:
        head = RequestHead((), b"GET", b"/x")
        headers = HeaderDialect().backend_headers(head, ForwardingOrder(entry.instance, None, None))
        connection = h11.Connection(h11.CLIENT)
        request = h11.Request(method="GET", target="/x", headers=[("Host", "h"), *headers])
        data = connection.send(request)
        line = next(line for line in data.split(b"\r\n") if line.startswith(headers[0][0]))
        assert line.partition(b": ")[2] == entry.instance.encode()
        assert len(entry.instance.encode()) <= 200 and line.count(b"\n") == 0


@many_examples(
    fields=st.fixed_dictionaries({}, optional=ODD_FIELDS), revision=st.just(3) | ANY_SIZE
)
def what_the_source_says_can_be_sent_on(fields, revision):
    """Whatever is accepted beside a sound entry can be sent to other routers, in both ways."""
    items = (stored("odd", fields, revision), stored("sound", {}))
    changes = items_to_changes(items, SourcePosition(revision=3))
    assert "sound" in [entry.instance for entry in changes.changed]
    news = StateNews(1, 3, 1, changes.changed, changes.gone)
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(news), type=StateNews) == news
    backends = {entry.instance: entry for entry in changes.changed}
    packed = msgspec.msgpack.encode(PackedState(3, backends))
    assert unpack(packed) == StateSnapshot(SourcePosition(revision=3), None, backends)


ODD_ENTRY_PROPERTIES = {
    "a listed name can stand in a header": a_listed_name_can_stand_in_a_header,
    "what the source says can be sent on": what_the_source_says_can_be_sent_on,
}
