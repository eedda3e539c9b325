"""Properties that hold for all inputs, searched the same way every time."""

import dataclasses

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from hypothesis import strategies as st

from support.search import searched
from yokedock.base.clock import boot_time_s
from yokedock.connection.http_server import error_response
from yokedock.connection.peer_client import join_parts
from yokedock.errors import BundleRejected, NoDecodeCapacity, Refused, YokedockError
from yokedock.messages import StreamTokens
from yokedock.request.answer_stream import TokenTimings
from yokedock.request.idempotency import (
    IdempotencyStore,
    RecordLimits,
    key_time_ms,
    new_key,
)
from yokedock.request.prefix import block_hashes
from yokedock.request.prefix_cache_index import PrefixCacheIndex
from yokedock.request.slots import SlotEntry, SlotTable
from yokedock.version.bundle import Bundle, Engine, Limits, Model, RequestClass, Tenant
from yokedock.version.bundle_codec import assemble, open_envelope, sign_bundle
from yokedock.version.bundle_store import BundleStore
from yokedock.version.homes import home_of
from yokedock.version.role_ladder import LadderPosition, desired_role
from yokedock.version.subset import choose_subset

KEY = Ed25519PrivateKey.from_private_bytes(bytes(range(32)))
OLD = RecordLimits(600_000, 0)
NAMES = st.text("abcdefgh0123456789", min_size=1, max_size=12)
ROLES = ("prefill", "decode", "flexible")


@st.composite
def bundles(draw):
    tenants = {
        name: Tenant(f"{number:064x}", (), draw(st.integers(1, 1000)))
        for number, name in enumerate(draw(st.sets(NAMES, max_size=200)))
    }
    engines = {
        name: Engine("pool", f"zone-{len(name) % 3}", "127.0.0.1:1", ROLES[len(name) % 3], "m")
        for name in draw(st.sets(NAMES, max_size=40))
    }
    limits = Limits(max_attempts=draw(st.integers(1, 10)))
    classes = {"default": RequestClass(priority=draw(st.integers(0, 9)))}
    return Bundle(0, 0, limits, classes, tenants, {"m": Model()}, engines, {}, {}, {})


@searched(bundle=bundles(), version=st.integers(1, 10**9))
def signed_opens(bundle, version):
    signed = sign_bundle(bundle, version, 5, KEY)
    opened = assemble(open_envelope(signed.envelope, KEY.public_key()), signed.sections)
    assert opened == dataclasses.replace(bundle, version=version, created_at_ms=5)


SIGNED = sign_bundle(
    Bundle(0, 0, Limits(), {"default": RequestClass()}, {}, {}, {}, {}, {}, {}), 3, 5, KEY
)


@searched(position=st.integers(0, len(SIGNED.envelope) - 1), value=st.integers(0, 255))
def altered_rejected(position, value):
    altered = bytearray(SIGNED.envelope)
    altered[position] = value
    try:
        manifest = open_envelope(bytes(altered), KEY.public_key())
    except BundleRejected:
        return
    assert manifest == open_envelope(SIGNED.envelope, KEY.public_key())


@searched(bundle=bundles(), number=st.integers(0, 1000))
def one_shard_moves(bundle, number):
    if not bundle.tenants:
        return
    name = sorted(bundle.tenants)[number % len(bundle.tenants)]
    tenants = {**bundle.tenants, name: Tenant("f" * 64, (), 7)}
    before = sign_bundle(bundle, 1, 1, KEY)
    after = sign_bundle(dataclasses.replace(bundle, tenants=tenants), 2, 2, KEY)
    assert len(set(after.sections) - set(before.sections)) <= 1


@searched(versions=st.lists(st.integers(1, 6), max_size=12))
def never_older(versions):
    bundle = Bundle(0, 0, Limits(), {"default": RequestClass()}, {}, {}, {}, {}, {}, {})
    store = BundleStore(KEY.public_key())
    highest = 0
    for version in versions:
        signed = sign_bundle(bundle, version, version, KEY)
        store.offer(signed.envelope, lambda digests, s=signed: s.sections, "search")
        highest = max(highest, version)
        assert store.stamp.version == store.current().version == highest


@searched(names=st.sets(NAMES, min_size=2, max_size=12), key=st.text(max_size=40))
def homes_move_little(names, key):
    home = home_of(key, names)
    for gone in names:
        moved = home_of(key, names - {gone})
        assert (moved != home) == (gone == home)


@searched(gateway=NAMES, names=st.sets(NAMES, min_size=1, max_size=60), size=st.integers(2, 20))
def subset_size(gateway, names, size):
    engines = {
        name: Engine("pool", f"zone-{number % 3}", "127.0.0.1:1", ROLES[number % 3], "m")
        for number, name in enumerate(sorted(names))
    }
    chosen = choose_subset(gateway, "zone-1", engines, size)
    for role in ROLES:
        group = [name for name in names if engines[name].role == role]
        picked = [name for name in chosen if engines[name].role == role]
        assert len(picked) == min(size, len(group))


@searched(
    flexible=st.integers(1, 12),
    prefill=st.integers(1, 5),
    decode=st.integers(1, 5),
    share=st.floats(0, 1),
    present=st.sampled_from(["prefill", "decode"]),
)
def ladder_order(flexible, prefill, decode, share, present):
    roles = [
        desired_role(LadderPosition(rank, flexible, prefill, decode), share, present)
        for rank in range(flexible)
    ]
    assert roles == sorted(roles, reverse=True), "a higher rank prefills before a lower one"
    more = [
        desired_role(LadderPosition(rank, flexible, prefill, decode), min(1, share + 0.2), present)
        for rank in range(flexible)
    ]
    assert more.count("prefill") >= roles.count("prefill")


@searched(now_ms=st.integers(0, 2**47))
def key_names_time(now_ms):
    assert key_time_ms(new_key(now_ms)) == now_ms


@searched(steps=st.lists(st.sampled_from(["call", "answer", "fail", "tombstone"]), max_size=12))
def key_runs_once(steps):
    now_ms = 10**12
    record, key = IdempotencyStore(now_ms - 10**6), new_key(now_ms)
    runs, open_record, tombstoned = 0, None, False
    for step in steps:
        try:
            if step == "call":
                found, is_mine = record.begin(key, now_ms, OLD)
                assert not (is_mine and (tombstoned or runs)), "a key would run twice"
                open_record = found if is_mine else open_record
            elif step == "answer" and open_record is not None:
                runs, open_record = runs + 1, None
            elif step == "fail" and open_record is not None:
                record.forget(key)
                open_record = None
            elif step == "tombstone":
                tombstoned = record.set_tombstone(key, now_ms, OLD) is None or tombstoned
        except YokedockError:
            assert tombstoned
    assert runs <= 1 and not (runs and tombstoned)


LONG_STEP_S = 1000.0
"""A step so long that the time a test takes does not show beside it."""
NEVER_LATE_S = 1e9


@searched(slots=st.integers(1, 8), asked=st.integers(1, 30), tokens=st.integers(1, 10_000))
def slots_hold(slots, asked, tokens):
    table = SlotTable(slots, 1000.0)
    now, granted = boot_time_s(), 0
    for number in range(asked):
        try:
            table.reserve(asked_slot(f"a{number}", tokens, 5, now))
            granted += 1
        except NoDecodeCapacity as refusal:
            assert refusal.retry_after_s > 0
    assert granted == min(slots, asked) == table.taken()


@searched(slots=st.integers(4, 32), urgent=st.integers(0, 60), low=st.integers(1, 40))
def headroom_is_kept(slots, urgent, low):
    """Long work of low priority never takes the slots held back; urgent work may take them all."""
    table, now = SlotTable(slots, 1000.0), boot_time_s()
    for _ in range(urgent):
        table.reserve(asked_slot("urgent", 100, 8, now))
        table.free("urgent")
    granted = grant(table, low, 3, tokens=300)
    assert granted >= min(low, slots // 2 if urgent else slots)
    if urgent >= 20:
        assert granted < slots, "nothing was held back"
    assert granted + grant(table, slots, 8, tokens=100) == slots


@searched(slots=st.integers(1, 32), urgent=st.integers(0, 60))
def short_work_passes(slots, urgent):
    """Work that is shorter than the urgent is not held back."""
    table, now = SlotTable(slots, 1000.0), boot_time_s()
    for _ in range(urgent):
        table.reserve(asked_slot("urgent", 100, 8, now))
        table.free("urgent")
    assert grant(table, slots, 3, tokens=50) == slots


@searched(
    slots=st.integers(1, 6),
    lengths=st.lists(st.integers(1, 50), max_size=30),
    started=st.integers(0, 30),
)
def promises_add_up(slots, lengths, started):
    """Each promised time is when a slot really is free if every stream takes its longest."""
    table, now = SlotTable(slots, LONG_STEP_S * 1000.0), boot_time_s()
    free = [0.0] * slots
    for number, length in enumerate(lengths):
        promised_s = table.reserve(asked_slot(f"a{number}", length, 5, now + NEVER_LATE_S)) - now
        if number < min(started, slots):
            table.start(f"a{number}")
            table.add_tokens(f"a{number}", 0)
        free.sort()
        assert abs(promised_s - free[0]) < LONG_STEP_S / 2, (promised_s, free)
        free[0] += length * LONG_STEP_S


@searched(
    slots=st.integers(1, 4),
    asked=st.lists(st.tuples(st.integers(0, 50), st.integers(1, 50), st.integers(0, 50))),
)
def promises_are_kept(slots, asked):
    """No later reservation makes an earlier one late, in whatever order they get ready."""
    table, now = SlotTable(slots, 1000.0), boot_time_s()
    latest_s = {}
    for number, (ready_s, tokens, slack_s) in enumerate(asked):
        latest = now + ready_s + slack_s + 1
        entry = SlotEntry(f"a{number}", 5, tokens, now + ready_s, latest, now + 10_000)
        try:
            table.reserve(entry)
            latest_s[entry.attempt] = latest
        except NoDecodeCapacity:
            continue
    starts = table.simulate_starts(now)
    late = {a: start_s - latest_s[a] for a, start_s in starts.items() if start_s > latest_s[a]}
    assert not late, late


def asked_slot(attempt, tokens, priority, latest_s):
    """Return a reservation whose prefill is over at once."""
    return SlotEntry(attempt, priority, tokens, 0.0, latest_s, latest_s + 10_000)


def grant(table, asked, priority, tokens):
    """Ask for ``asked`` slots at once; return how many were granted."""
    now, granted = boot_time_s(), 0
    for number in range(asked):
        try:
            table.reserve(asked_slot(f"p{priority} a{number}", tokens, priority, now))
            granted += 1
        except NoDecodeCapacity:
            continue
    return granted


@searched(
    known_case={"steps": [("learn", 0), ("forget", 0), ("learn", 0)], "most": 5},
    steps=st.lists(st.tuples(st.sampled_from(["learn", "forget"]), st.integers(0, 1)), max_size=40),
    most=st.integers(1, 5),
)
def readers_learn_all(steps, most):
    """Two readers that ask at different times end up knowing the same blocks as the source."""
    known, readers = PrefixCacheIndex(), [(0, set()), (0, set())]
    for number, (step, block) in enumerate(steps):
        getattr(known, step)((block,))
        readers[number % 2] = told(known, *readers[number % 2], most)
    for _ in range(len(steps) + 1):
        readers = [told(known, *reader, most) for reader in readers]
    truth = {block for block in range(10) if known.is_cached(block)}
    assert [blocks for _, blocks in readers] == [truth, truth]


def told(known, position, blocks, most):
    changes = known.changes_after(position, most)
    assert changes.is_complete
    for change in changes.cached:
        blocks.add(change)
    for change in changes.evicted:
        blocks.discard(change)
    return changes.last_number, blocks


@searched(prompt=st.text(max_size=3000), more=st.text(max_size=3000))
def blocks_are_prefix(prompt, more):
    first, second = block_hashes(prompt), block_hashes(prompt + more)
    assert second[: len(first)] == first


@searched(sizes=st.lists(st.integers(0, 4), min_size=1, max_size=20), gap=st.integers(0, 25))
def parts_join(sizes, gap):
    parts, sequence = [], 0
    for number, size in enumerate(sizes):
        sequence += 3 if number == gap else 0
        tokens = tuple(f"t{sequence + offset}" for offset in range(size))
        parts.append(StreamTokens("a", sequence, tokens, ""))
        sequence += size
    joined = join_parts(parts)
    flat = [token for part in joined for token in part.tokens]
    assert flat == [token for part in parts for token in part.tokens]
    assert len(joined) == (2 if 0 < gap < len(sizes) else 1)
    for part in joined:
        assert all(t == f"t{part.sequence + n}" for n, t in enumerate(part.tokens))


@searched(sizes=st.lists(st.integers(1, 5), min_size=1, max_size=20), known_case={"sizes": [2]})
def one_gap_fewer(sizes):
    clock = TokenTimings()
    for size in sizes:
        clock.arrived(size)
    assert sum(count for _, count in clock.gaps) == sum(sizes) - 1


def refusals_say_when():
    kinds, found = [Refused], []
    while kinds:
        kind = kinds.pop()
        kinds += kind.__subclasses__()
        found.append(kind)
    for kind in found:
        for asked in (None, 0.0, 0.2, 3.0):
            headers = dict(error_response(kind("why; what to do", asked)).headers)
            assert int(headers["Retry-After"]) >= 1, (kind, asked, headers)
    assert len(found) > 5


PROPERTIES = {
    "a signed bundle opens to what was signed": signed_opens,
    "an envelope with any altered byte is rejected or unchanged": altered_rejected,
    "one changed tenant moves at most one shard": one_shard_moves,
    "a store never goes back to an older version": never_older,
    "a home changes only for the keys of a replica that left": homes_move_little,
    "every gateway's subset holds each role and stays in its size": subset_size,
    "the ladder's roles follow the share of demand one by one": ladder_order,
    "a fresh key names the time it was made": key_names_time,
    "a key runs at most once whatever the order of calls": key_runs_once,
    "slots never promise more than there are": slots_hold,
    "room is held back for higher priorities, and only for them": headroom_is_kept,
    "work shorter than the urgent is not held back": short_work_passes,
    "no later reservation makes an earlier one late": promises_are_kept,
    "promised times are those at which slots are free": promises_add_up,
    "every gateway learns all changes of a prefix cache": readers_learn_all,
    "an answer has one gap fewer than tokens, joined or not": one_gap_fewer,
    "every kind of refusal says when to come back": refusals_say_when,
    "a prefix's blocks are a prefix of the blocks": blocks_are_prefix,
    "joined parts carry the same tokens": parts_join,
}
