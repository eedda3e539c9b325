"""Tests that one odd entry of the state source costs only itself, also at other routers."""

import base64
import json

import msgspec
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from support.entry_properties import VALID_ENTRY
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
    "what the source says can be sent on": what_the_source_says_can_be_sent_on,
}
