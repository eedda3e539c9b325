"""Tests that one odd item in a response of the store costs only itself."""

import asyncio
import base64
import json

from hypothesis import strategies as st

from support.entry_properties import VALID_ENTRY
from support.odd_entry_properties import many_examples
from yokedock.connection.http_heads import ResponseHead
from yokedock.connection.short_call import ShortAnswer
from yokedock.connection.source_position import SourcePosition
from yokedock.errors import PlatformUnavailable
from yokedock.platform.store import PlatformStore

DEPTH = 100_000
"""Far deeper than any decoder goes."""
VALUE = base64.b64encode(json.dumps(VALID_ENTRY).encode())
DEEP_VALUE = base64.b64encode(b"[" * DEPTH)
ODD_MEMBERS = (
    b'"value":null',
    b'"value":7',
    b'"value":{}',
    b'"value":"%s"' % DEEP_VALUE,
    b'"value":"***"',
    b'"value":"\xff"',
    b'"revision":1e400',
    b'"revision":"x"',
    b'"revision":null',
    b'"revision":' + b"9" * 400,
    b'"gone":7',
)
"""Members that take the place of those of a sound item, whose key is known."""
SURROGATES = (rb"\ud800", rb"\uDcff", rb"\udc00\ud800", rb"\\\ud9FF")
"""Halves of pairs, as a store writes keys that are not UTF-8."""
ODD_KEYS = (*(b'"servers/%s"' % half for half in SURROGATES), b"null", b"7", b"{}", b'"\xff"')
ODD_ITEMS = (b"null", b"[]", b"{}", b"7", b'"text"', b"true", b"[[[]]]", b'{"value":"x"}')
DEEP = {
    "arrays": b"[" * DEPTH + b"]" * DEPTH,
    "objects": b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
    "strings": b'["\\"]",' * DEPTH + b"1" + b"]" * DEPTH,
}


def sound(name):
    """Return a sound item."""
    return b'{"privateKey":"servers/%s","value":"%s","revision":3}' % (name, VALUE)


def odd_named(member):
    """Return an item with a known key and an odd member."""
    return b'{"privateKey":"servers/odd","value":"%s","revision":3,%s}' % (VALUE, member)


def odd_key(key):
    """Return an item whose key is odd."""
    return b'{"privateKey":%s,"value":"%s","revision":3}' % (key, VALUE)


NAMED = st.sampled_from(ODD_MEMBERS).map(odd_named)
UNNAMED = st.sampled_from(ODD_KEYS).map(odd_key) | st.sampled_from(ODD_ITEMS)


class ScriptedGetter:
    """Returns the given bodies, one for each request, and records the targets."""

    def __init__(self, *bodies):
        self.bodies, self.targets = list(bodies), []

    async def get(self, target, timeout_s, max_bytes=0):
        self.targets.append(target)
        return ShortAnswer(200, self.bodies.pop(0), ResponseHead((), 200), 0, 0)


def store_with(*bodies):
    """Return a client of a store that gives these responses."""
    store = PlatformStore("127.0.0.1:1")
    store._getter = ScriptedGetter(*bodies)
    return store


def placed(odd, position):
    """Return sound items with an odd one among them."""
    items = [sound(b"i-1"), sound(b"i-2")]
    items.insert(position, odd)
    return b",".join(items)


def listed_by_both_calls(odd, position):
    """Return the backends of a full read and of a watch, with what could not be decoded."""
    items = placed(odd, position)
    read = asyncio.run(store_with(b'{"items":[%s],"at":9}' % items).read())
    watched = asyncio.run(store_with(b'{"events":[%s],"at":9}' % items).wait(SourcePosition(), 0.1))
    changed = {entry.instance: entry for entry in watched.changed}
    assert changed == read.backends and watched.undecoded == read.undecoded
    assert read.position == watched.position
    return read.backends, read.undecoded, watched.gone


@many_examples(odd=NAMED, position=st.integers(0, 2))
def an_odd_item_costs_its_own_backend(odd, position):
    """A named item that cannot be decoded removes the backend of that name and no other."""
    backends, undecoded, gone = listed_by_both_calls(odd, position)
    assert sorted(backends) == ["i-1", "i-2"], odd
    assert undecoded == gone == ("odd",), odd


@many_examples(odd=UNNAMED, position=st.integers(0, 2))
def an_item_without_a_key_costs_no_backend(odd, position):
    """An item that names no key is counted, and the others are used."""
    backends, undecoded, gone = listed_by_both_calls(odd, position)
    assert sorted(backends) == ["i-1", "i-2"], odd
    assert len(undecoded) == 1 and gone == (), odd


def a_deep_unknown_member_is_ignored():
    """A deeply nested unknown member is ignored like any other; its item is used."""
    for name, deep in DEEP.items():
        for position in range(3):
            odd = odd_named(b'"other":' + deep)
            backends, undecoded, _ = listed_by_both_calls(odd, position)
            assert sorted(backends) == ["i-1", "i-2", "odd"], (name, position, undecoded)


def sound_escapes_are_kept():
    """A response that is repaired keeps its other escapes, such as pairs of surrogates."""
    sound_key = rb'{"privateKey":"servers/\ud83d\ude00\\ud800","value":"%s"}' % VALUE
    items = b"[null,%s,%s]" % (sound_key, odd_key(rb'"\ud800"'))
    read = asyncio.run(store_with(b'{"items":%s,"at":9}' % items).read())
    assert list(read.backends) == ["\U0001f600\\ud800"], read


def an_odd_last_item_ends_no_read():
    """A read goes on after the last item with a key, or fails if a page has none."""
    first = b'{"items":[%s,%s],"more":true,"at":9}' % (sound(b"i-1"), odd_key(b"null"))
    second = b'{"items":[%s],"at":9}' % sound(b"i-2")
    store = store_with(first, second)
    assert sorted(asyncio.run(store.read()).backends) == ["i-1", "i-2"]
    assert store._getter.targets[1].endswith("&after=servers%2Fi-1")
    for stuck in (b'{"items":[null],"more":true,"at":9}', first):
        try:
            asyncio.run(store_with(first, stuck, stuck, stuck).read())
        except PlatformUnavailable:
            continue
        raise AssertionError(f"no end of {stuck!r}")


def an_odd_response_is_no_response():
    """A response whose position or form is odd raises the error of a silent store."""
    odd_answers = (
        b"",
        b"null",
        b"[" * DEPTH,
        b'{"ITEMS":{},"at":9}',
        b'{"ITEMS":[],"at":1e400}',
        b'{"ITEMS":[],"at":null}',
        b'{"ITEMS":[],"at":-1}',
        b'{"ITEMS":[],"at":18446744073709551616}',
        b'{"ITEMS":[],"at":9,"other":"' + b"[" * DEPTH,
        b'{"ITEMS":[],"at":9,"other":' + b"[" * DEPTH,
    )
    for body in odd_answers:
        range_store = store_with(body.replace(b"ITEMS", b"items"))
        watch_store = store_with(body.replace(b"ITEMS", b"events"))
        for call in (range_store.read(), watch_store.wait(SourcePosition(), 0.1)):
            try:
                asyncio.run(call)
            except PlatformUnavailable:
                continue
            raise AssertionError(f"accepted {body[:60]!r}")


STORE_ANSWER_PROPERTIES = {
    "an odd item costs its own backend": an_odd_item_costs_its_own_backend,
    "an item without a key costs no backend": an_item_without_a_key_costs_no_backend,
    "a deep unknown member is ignored": a_deep_unknown_member_is_ignored,
    "sound escapes are kept": sound_escapes_are_kept,
    "an odd last item ends no read": an_odd_last_item_ends_no_read,
    "an odd response is no response": an_odd_response_is_no_response,
}
