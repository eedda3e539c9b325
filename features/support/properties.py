"""Properties of the gateway's pure parts, tested with deterministically generated cases."""

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

SIGNING_KEY = Ed25519PrivateKey.from_private_bytes(bytes(range(32)))
RECORD_LIMITS = RecordLimits(600_000, 0)
NAMES = st.text("abcdefgh0123456789", min_size=1, max_size=12)
ENGINE_ROLES = ("prefill", "decode", "flexible")


@st.composite
def bundles(draw):
    tenants = {
        name: Tenant(f"{number:064x}", (), draw(st.integers(1, 1000)))
        for number, name in enumerate(draw(st.sets(NAMES, max_size=200)))
    }
    engines = {
        name: Engine(
            "pool", f"zone-{len(name) % 3}", "127.0.0.1:1", ENGINE_ROLES[len(name) % 3], "m"
        )
        for name in draw(st.sets(NAMES, max_size=40))
    }
    limits = Limits(max_attempts=draw(st.integers(1, 10)))
    classes = {"default": RequestClass(priority=draw(st.integers(0, 9)))}
    return Bundle(0, 0, limits, classes, tenants, {"m": Model()}, engines, {}, {}, {})


@searched(bundle=bundles(), version=st.integers(1, 10**9))
def signed_bundle_round_trips(bundle, version):
    signed = sign_bundle(bundle, version, 5, SIGNING_KEY)
    opened = assemble(open_envelope(signed.envelope, SIGNING_KEY.public_key()), signed.sections)
    assert opened == dataclasses.replace(bundle, version=version, created_at_ms=5)


SIGNED_BUNDLE = sign_bundle(
    Bundle(0, 0, Limits(), {"default": RequestClass()}, {}, {}, {}, {}, {}, {}), 3, 5, SIGNING_KEY
)


@searched(position=st.integers(0, len(SIGNED_BUNDLE.envelope) - 1), value=st.integers(0, 255))
def altered_envelope_is_rejected(position, value):
    altered = bytearray(SIGNED_BUNDLE.envelope)
    altered[position] = value
    try:
        manifest = open_envelope(bytes(altered), SIGNING_KEY.public_key())
    except BundleRejected:
        return
    assert manifest == open_envelope(SIGNED_BUNDLE.envelope, SIGNING_KEY.public_key())


@searched(bundle=bundles(), number=st.integers(0, 1000))
def one_changed_tenant_moves_one_shard(bundle, number):
    if not bundle.tenants:
        return
    name = sorted(bundle.tenants)[number % len(bundle.tenants)]
    tenants = {**bundle.tenants, name: Tenant("f" * 64, (), 7)}
    before = sign_bundle(bundle, 1, 1, SIGNING_KEY)
    after = sign_bundle(dataclasses.replace(bundle, tenants=tenants), 2, 2, SIGNING_KEY)
    assert len(set(after.sections) - set(before.sections)) <= 1


@searched(versions=st.lists(st.integers(1, 6), max_size=12))
def store_version_never_decreases(versions):
    bundle = Bundle(0, 0, Limits(), {"default": RequestClass()}, {}, {}, {}, {}, {}, {})
    store = BundleStore(SIGNING_KEY.public_key())
    highest = 0
    for version in versions:
        signed = sign_bundle(bundle, version, version, SIGNING_KEY)
        store.offer(signed.envelope, lambda digests, s=signed: s.sections, "search")
        highest = max(highest, version)
        assert store.stamp.version == store.current().version == highest


@searched(names=st.sets(NAMES, min_size=2, max_size=12), key=st.text(max_size=40))
def only_keys_of_a_removed_replica_move(names, key):
    home = home_of(key, names)
    for gone in names:
        moved = home_of(key, names - {gone})
        assert (moved != home) == (gone == home)


@searched(gateway=NAMES, names=st.sets(NAMES, min_size=1, max_size=60), size=st.integers(2, 20))
def subset_size(gateway, names, size):
    engines = {
        name: Engine("pool", f"zone-{number % 3}", "127.0.0.1:1", ENGINE_ROLES[number % 3], "m")
        for number, name in enumerate(sorted(names))
    }
    chosen = choose_subset(gateway, "zone-1", engines, size)
    for role in ENGINE_ROLES:
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
def roles_follow_the_demand_by_rank(flexible, prefill, decode, share, present):
    roles = [
        desired_role(LadderPosition(rank, flexible, prefill, decode), share, present)
        for rank in range(flexible)
    ]
    assert roles == sorted(roles, reverse=True), (
        "roles must be ordered by rank: decode engines have higher ranks than prefill engines"
    )
    more = [
        desired_role(LadderPosition(rank, flexible, prefill, decode), min(1, share + 0.2), present)
        for rank in range(flexible)
    ]
    assert more.count("prefill") >= roles.count("prefill")


@searched(now_ms=st.integers(0, 2**47))
def key_encodes_its_creation_time(now_ms):
    assert key_time_ms(new_key(now_ms)) == now_ms


@searched(steps=st.lists(st.sampled_from(["call", "answer", "fail", "tombstone"]), max_size=12))
def key_is_executed_at_most_once(steps):
    now_ms = 10**12
    record, key = IdempotencyStore(now_ms - 10**6), new_key(now_ms)
    runs, open_record, tombstoned = 0, None, False
    for step in steps:
        try:
            if step == "call":
                found, is_mine = record.begin(key, now_ms, RECORD_LIMITS)
                assert not (is_mine and (tombstoned or runs)), "the key would be executed twice"
                open_record = found if is_mine else open_record
            elif step == "answer" and open_record is not None:
                runs, open_record = runs + 1, None
            elif step == "fail" and open_record is not None:
                record.forget(key)
                open_record = None
            elif step == "tombstone":
                tombstoned = record.set_tombstone(key, now_ms, RECORD_LIMITS) is None or tombstoned
        except YokedockError:
            assert tombstoned
    assert runs <= 1 and not (runs and tombstoned)


LONG_STEP_S = 1000.0
"""A step time so long that the duration of the test is negligible."""
UNLIMITED_WAIT_S = 1e9


@searched(slots=st.integers(1, 8), asked=st.integers(1, 30), tokens=st.integers(1, 10_000))
def grants_never_exceed_the_slots(slots, asked, tokens):
    table = SlotTable(slots, 1000.0)
    now, granted = boot_time_s(), 0
    for number in range(asked):
        try:
            table.reserve(prefilled_reservation(f"a{number}", tokens, 5, now))
            granted += 1
        except NoDecodeCapacity as refusal:
            assert refusal.retry_after_s > 0
    assert granted == min(slots, asked) == table.taken()


@searched(slots=st.integers(4, 32), urgent=st.integers(0, 60), low=st.integers(1, 40))
def headroom_is_kept_for_higher_priorities(slots, urgent, low):
    """Long low-priority requests never take the headroom; urgent ones may take all slots."""
    table, now = SlotTable(slots, 1000.0), boot_time_s()
    for _ in range(urgent):
        table.reserve(prefilled_reservation("urgent", 100, 8, now))
        table.free("urgent")
    granted = count_granted(table, low, 3, tokens=300)
    assert granted >= min(low, slots // 2 if urgent else slots)
    if urgent >= 20:
        assert granted < slots, "no slots were kept free for higher priorities"
    assert granted + count_granted(table, slots, 8, tokens=100) == slots


@searched(slots=st.integers(1, 32), urgent=st.integers(0, 60))
def short_requests_may_use_the_headroom(slots, urgent):
    """Requests shorter than those of higher priority may use all slots."""
    table, now = SlotTable(slots, 1000.0), boot_time_s()
    for _ in range(urgent):
        table.reserve(prefilled_reservation("urgent", 100, 8, now))
        table.free("urgent")
    assert count_granted(table, slots, 3, tokens=50) == slots


@searched(
    slots=st.integers(1, 6),
    lengths=st.lists(st.integers(1, 50), max_size=30),
    started=st.integers(0, 30),
)
def predicted_starts_match_the_schedule(slots, lengths, started):
    """Each predicted start is when a slot is free if every stream runs for its maximum output."""
    table, now = SlotTable(slots, LONG_STEP_S * 1000.0), boot_time_s()
    free = [0.0] * slots
    for number, length in enumerate(lengths):
        predicted_start_s = (
            table.reserve(prefilled_reservation(f"a{number}", length, 5, now + UNLIMITED_WAIT_S))
            - now
        )
        if number < min(started, slots):
            table.start(f"a{number}")
            table.add_tokens(f"a{number}", 0)
        free.sort()
        assert abs(predicted_start_s - free[0]) < LONG_STEP_S / 2, (predicted_start_s, free)
        free[0] += length * LONG_STEP_S


@searched(
    slots=st.integers(1, 4),
    asked=st.lists(st.tuples(st.integers(0, 50), st.integers(1, 50), st.integers(0, 50))),
)
def new_reservations_delay_no_earlier_one(slots, asked):
    """A new reservation makes no earlier one late, whatever the order of their ready times."""
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


def prefilled_reservation(attempt, tokens, priority, latest_s):
    """Return a reservation whose prefill has already ended."""
    return SlotEntry(attempt, priority, tokens, 0.0, latest_s, latest_s + 10_000)


def count_granted(table, asked, priority, tokens):
    """Request ``asked`` slots; return how many were granted."""
    now, granted = boot_time_s(), 0
    for number in range(asked):
        try:
            table.reserve(prefilled_reservation(f"p{priority} a{number}", tokens, priority, now))
            granted += 1
        except NoDecodeCapacity:
            continue
    return granted


@searched(
    known_case={"steps": [("learn", 0), ("forget", 0), ("learn", 0)], "most": 5},
    steps=st.lists(st.tuples(st.sampled_from(["learn", "forget"]), st.integers(0, 1)), max_size=40),
    most=st.integers(1, 5),
)
def readers_receive_all_cache_changes(steps, most):
    """Two readers that poll at different times end up with the same blocks as the index."""
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
def blocks_of_a_prefix_are_a_prefix(prompt, more):
    first, second = block_hashes(prompt), block_hashes(prompt + more)
    assert second[: len(first)] == first


@searched(sizes=st.lists(st.integers(0, 4), min_size=1, max_size=20), gap=st.integers(0, 25))
def joined_parts_keep_the_tokens(sizes, gap):
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
def gaps_are_one_fewer_than_tokens(sizes):
    clock = TokenTimings()
    for size in sizes:
        clock.arrived(size)
    assert sum(count for _, count in clock.gaps) == sum(sizes) - 1


def every_refusal_has_retry_after():
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
    "a signed bundle opens to what was signed": signed_bundle_round_trips,
    "an envelope with any altered byte is rejected or unchanged": altered_envelope_is_rejected,
    "one changed tenant moves at most one shard": one_changed_tenant_moves_one_shard,
    "a store never goes back to an older version": store_version_never_decreases,
    "a home changes only for the keys of a replica that left": only_keys_of_a_removed_replica_move,
    "every gateway's subset holds each role and stays in its size": subset_size,
    "the ladder's roles follow the share of demand one by one": roles_follow_the_demand_by_rank,
    "a fresh key names the time it was made": key_encodes_its_creation_time,
    "a key runs at most once whatever the order of calls": key_is_executed_at_most_once,
    "slots never promise more than there are": grants_never_exceed_the_slots,
    "room is held back for higher priorities, and only for them": (
        headroom_is_kept_for_higher_priorities
    ),
    "work shorter than the urgent is not held back": short_requests_may_use_the_headroom,
    "no later reservation makes an earlier one late": new_reservations_delay_no_earlier_one,
    "promised times are those at which slots are free": predicted_starts_match_the_schedule,
    "every gateway learns all changes of a prefix cache": readers_receive_all_cache_changes,
    "an answer has one gap fewer than tokens, joined or not": gaps_are_one_fewer_than_tokens,
    "every kind of refusal says when to come back": every_refusal_has_retry_after,
    "a prefix's blocks are a prefix of the blocks": blocks_of_a_prefix_are_a_prefix,
    "joined parts carry the same tokens": joined_parts_keep_the_tokens,
}
