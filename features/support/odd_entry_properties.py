"""Tests that one odd entry of the state source costs only itself, also at other routers."""

import asyncio
import base64
import contextlib
import copy
import datetime
import json
import math
import tempfile
import zlib
from pathlib import Path
from unittest import mock

import h11
import msgspec
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from support.entry_properties import VALID_ENTRY
from yokedock.connection import configuration_watch
from yokedock.connection.bounded_http import WholeResponse
from yokedock.connection.configuration_watch import ConfigurationClient
from yokedock.connection.dialect import ForwardingOrder
from yokedock.connection.entry_validation import without_invalid_entries
from yokedock.connection.header_dialect import HeaderDialect
from yokedock.connection.http_heads import RequestHead
from yokedock.connection.router_state import EngineShare, StateNews
from yokedock.connection.routes_file import RoutesFile
from yokedock.connection.source_position import SourcePosition
from yokedock.connection.state_source import BackendEntry, StateSnapshot
from yokedock.errors import EngineRejected, PlatformUnavailable
from yokedock.platform.store import items_to_changes
from yokedock.platform.stored_items import StoredItem
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


ODD_NUMBERS = ANY_SIZE | st.floats(allow_nan=False, allow_infinity=False)
SOUND_CONFIGURATION = {
    "version": 7,
    "limits": {"maxHeaderBytes": 1, "headerTimeoutMs": 1.0, "idleTimeoutMs": 1.0},
    "routes": [
        {
            "name": "r",
            "host": "h",
            "pathPrefix": "/r/",
            "routeType": "streaming",
            "timeoutMs": 1000.0,
            "targetLatencyMs": 100.0,
            "itlTargetMs": 1.0,
            "priority": 1,
            "maxAttempts": 2,
            "trafficSplit": [{"service": "s", "weight": 1.0}, {"service": "t", "weight": 2.0}],
        }
    ],
    "services": [
        {
            "name": "s",
            "maxConnections": 4,
            "engine": {
                "slotCount": 4,
                "kvCapacity": 1000,
                "kvTokenBytes": 1.0,
                "linkMbps": 1.0,
                "stride": 1,
                "kvHoldS": 0.5,
                "stageSwitchS": 0.5,
                "holdMs": 1.0,
            },
        }
    ],
}


def number_paths(document, path=()):
    """Return the paths of all numbers in a document."""
    if isinstance(document, dict):
        return [p for key, inner in document.items() for p in number_paths(inner, (*path, key))]
    if isinstance(document, list):
        return [p for n, inner in enumerate(document) for p in number_paths(inner, (*path, n))]
    return [path] if isinstance(document, int | float) else []


def with_number(path, number):
    """Return the sound configuration with another number at ``path``."""
    changed = copy.deepcopy(SOUND_CONFIGURATION)
    inner = changed
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = number
    return changed


def configuration_changes(document):
    """Return what follows from a configuration in the store."""
    value = base64.b64encode(json.dumps(document).encode()).decode()
    return items_to_changes((StoredItem("op/config", value, 3),), SourcePosition(revision=3))


@many_examples(path=st.sampled_from(number_paths(SOUND_CONFIGURATION)), number=ODD_NUMBERS)
def a_configuration_in_force_can_be_used_and_sent_on(path, number):
    """A configuration with an odd number is refused, or can be sent on and calculated with."""
    table = configuration_changes(with_number(path, number)).table
    if table is None:
        return
    packed = zlib.compress(msgspec.msgpack.encode(table))
    assert unpack(msgspec.msgpack.encode(PackedState(3, {}, packed))).table == table
    route, engine = table.routes[0], table.services["s"].engine
    assert len(str(table.version)) <= 18 and table.version >= 0
    assert 1 / engine.memory_tokens > 0 and 0.9 * engine.memory_tokens > 0
    weights = [max(0.0, target.weight) for target in route.targets]
    assert math.isfinite(sum(weights))
    for duration_s in (route.timeout_s, route.target_s, route.gap_target_s, engine.handle_s):
        assert duration_s >= 0 and datetime.timedelta(seconds=duration_s) >= datetime.timedelta()


def a_sound_configuration_is_used():
    """The configuration that others are made from is itself valid, and so are its defaults."""
    assert configuration_changes(SOUND_CONFIGURATION).table.version == 7
    assert configuration_changes({"version": 1}).table.version == 1


ODD_ENTRIES = st.builds(
    BackendEntry,
    instance=st.text(NAME_CHARACTERS, max_size=4),
    service=st.just("s"),
    address=st.builds(
        "{}:{}".format,
        st.sampled_from(("127.0.0.1", "", "x..y", "h" * 64, "\0", "host.example", "::1")),
        ANY_SIZE | st.integers(0, 70_000) | st.sampled_from(("", "x", "8\u00b2", "9" * 5000)),
    ),
    slots=st.integers(-1, 200_000),
    born_ms=st.integers(-(2**63), 2**64 - 1),
    revision=st.integers(-(2**63), 2**64 - 1),
)


@many_examples(odd=ODD_ENTRIES)
def an_odd_entry_of_another_router_costs_only_itself(odd):
    """What another router sends adds no backend that can't be sent on, named or called."""
    sound = BackendEntry("sound", "s", "10.0.0.1:80")
    packed = PackedState(3, {odd.instance: odd, "sound": sound})
    taken = unpack(msgspec.msgpack.encode(packed)).backends
    news = without_invalid_entries(StateNews(1, 3, 1, (odd, sound), ()))
    assert taken["sound"] == sound and sound in news.changed
    assert set(taken.values()) == set(news.changed)
    assert (odd in news.changed) != (odd.instance in news.gone)
    for entry in news.changed:
        host, _, port = entry.address.rpartition(":")
        assert host.encode("idna") and 0 < int(port) < 65_536
        assert 1 <= entry.slots <= 100_000 and entry.born_ms >= 0


ROUTES_FILE = {
    "table": {"version": "7", "max_body_bytes": "100", "idle_timeout_s": "1"},
    "route r": {
        "host": "h",
        "prefix": "/r/",
        "kind": "repeatable",
        "services": "s:0.5",
        "timeout_s": "1",
        "target_s": "1",
        "max_attempts": "1",
        "pause_s": "0",
    },
    "service s": {
        "memory_tokens": "10",
        "slots": "1",
        "tokens_per_event": "1",
        "handle_s": "1",
    },
    "backend b": {"service": "s", "address": "127.0.0.1:80", "zone": "", "slots": "1"},
}
OPTIONS = [(section, name) for section, options in ROUTES_FILE.items() for name in options]
ODD_TEXTS = (
    ANY_SIZE.map(str)
    | st.sampled_from(("nan", "inf", "-1", "1e400", "", "x", "9" * 5000, "1e9000", "\u00b2"))
    | st.sampled_from(("s:x", "s:1:2", "s:nan", "s:inf", "s", ":", "127.0.0.1:8\u00b2"))
    | st.sampled_from(("127.0.0.1:65536", "127.0.0.1:0", "x..y:80", "127.0.0.1:" + "9" * 5000))
)


def routes_text(section, name, value, backend="b"):
    """Return a valid routes file with another value of one option, and another backend's name."""
    changed = {title: dict(options) for title, options in ROUTES_FILE.items()}
    changed[section][name] = value
    changed[f"backend {backend}"] = changed.pop("backend b")
    lines = []
    for title, options in changed.items():
        lines += [f"[{title}]", *(f"{key} = {value}" for key, value in options.items())]
    return "\n".join(lines)


@many_examples(
    place=st.sampled_from(OPTIONS),
    value=ODD_TEXTS,
    backend=st.sampled_from(("b", "b", "\x01", "x" * 201)),
)
@example(place=("route r", "services"), value="s:x", backend="b")
@example(place=("backend b", "address"), value="127.0.0.1:8\u00b2", backend="b")
def a_routes_file_in_force_can_be_used_and_sent_on(place, value, backend):
    """A routes file is refused with a message that names the place, or can be sent on."""
    with tempfile.NamedTemporaryFile("w", encoding="utf-8") as file:
        file.write(routes_text(*place, value, backend))
        file.flush()
        try:
            read = asyncio.run(RoutesFile(Path(file.name)).read())
        except PlatformUnavailable:
            return
    packed = zlib.compress(msgspec.msgpack.encode(read.table))
    sent = unpack(msgspec.msgpack.encode(PackedState(7, read.backends, packed)))
    assert sent.table == read.table and sent.backends == read.backends


@many_examples(
    handle=st.text(NAME_CHARACTERS, max_size=6) | st.none() | ANY_SIZE,
    tokens=ANY_SIZE | st.none() | st.booleans() | st.text(max_size=2) | st.floats(),
)
@example(handle="h", tokens=2**64)
@example(handle="h\r\nX-Other: 1", tokens=1)
def a_prefill_result_can_be_passed_on(handle, tokens):
    """An engine's result is refused, or can be counted for other routers and passed to a decode."""
    body = json.dumps({"handle": handle, "tokens": tokens}).encode()
    try:
        result = HeaderDialect().prefill_result(body)
    except EngineRejected:
        return
    msgspec.msgpack.encode(EngineShare(prefill_tokens=1000 * result.tokens))
    order = ForwardingOrder("i-1", kv_source=f"10.0.0.1:80/{result.handle}")
    headers = HeaderDialect().backend_headers(RequestHead((), b"GET", b"/x"), order)
    target = HeaderDialect().release_target(result.handle)
    request = h11.Request(method="DELETE", target=target, headers=[("Host", "h"), *headers])
    assert result.handle.encode() in h11.Connection(h11.CLIENT).send(request)


def an_odd_revision_ends_no_watch():
    """A revision of the configuration service that is no number is an error of that service."""
    for revision in ("x", "", "-1", "1e3", "\u00b2", "9" * 5000):
        client = ConfigurationClient("http://127.0.0.1:1")
        response = WholeResponse(200, {"X-Revision": revision}, b"{}")
        with (
            mock.patch.object(client._pool, "request"),
            mock.patch.object(configuration_watch, "read_whole", return_value=response),
            contextlib.suppress(PlatformUnavailable),
        ):
            raise AssertionError(f"accepted {client.read('bundle')}")


ODD_ENTRY_PROPERTIES = {
    "a prefill result can be passed on": a_prefill_result_can_be_passed_on,
    "an odd revision ends no watch": an_odd_revision_ends_no_watch,
    "a routes file in force can be used and sent on": (
        a_routes_file_in_force_can_be_used_and_sent_on
    ),
    "a configuration in force can be used and sent on": (
        a_configuration_in_force_can_be_used_and_sent_on
    ),
    "a sound configuration is used": a_sound_configuration_is_used,
    "an odd entry of another router costs only itself": (
        an_odd_entry_of_another_router_costs_only_itself
    ),
    "a listed name can stand in a header": a_listed_name_can_stand_in_a_header,
    "what the source says can be sent on": what_the_source_says_can_be_sent_on,
}
