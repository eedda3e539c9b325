"""Measures the slopes on which docs/CAPACITY.md is built, each by name.

The measuring process is the real part; its peers are hollow and run in a child process, so that
the processor time and memory accounted here belong to one gateway or one agent alone.
"""

from __future__ import annotations

import subprocess
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path

import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from yokedock.base.clock import boot_time_s
from yokedock.base.histograms import Histograms, Measure
from yokedock.base.logs import set_up_logs
from yokedock.connection.secure_session import Hello, SecureSession, Welcome, new_nonce
from yokedock.messages import (
    BundleStamp,
    Frame,
    Heartbeat,
    HeartbeatReply,
    LoadReport,
    StepFrame,
    StreamTokens,
)
from yokedock.process.tables import format_table
from yokedock.version.bundle import Bundle, Engine, Limits, Model, RequestClass, Tenant
from yokedock.version.bundle_codec import SignedBundle, sign_bundle
from yokedock.version.bundle_store import BundleStore
from yokedock_emulator.experiment import ExperimentInvalid
from yokedock_emulator.hollow import HollowAgent, HollowGateway
from yokedock_emulator.process_group import PAGE_BYTES, program

PEER_COUNTS = (0, 50, 100, 200)
HELD_COUNTS = (0, 100, 400)
HELD_PEERS = 20
HEARTBEAT_MS = 1000
IDLE_HEARTBEAT_MS = 8000
SETTLE_S = 2.0
WINDOW_S = 10.0
AIM_TENANTS, AIM_ENGINES, AIM_MODELS = 560, 610, 13
REPEATS = 2000
STORES = 20


class Slope(msgspec.Struct, frozen=True):
    """One measured slope."""

    name: str
    value: float
    unit: str
    how: str


class Usage(msgspec.Struct, frozen=True):
    """What this process used over a window."""

    processor_share: float
    resident_bytes: float


def resident_bytes() -> int:
    """Return this process's resident memory, bytes."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES


def used_over(window_s: float) -> Usage:
    """Return processor time over wall time, and resident memory, of this process."""
    started_s, before_s = boot_time_s(), time.process_time()
    time.sleep(window_s)
    share = (time.process_time() - before_s) / (boot_time_s() - started_s)
    return Usage(share, resident_bytes())


def fit(points: list[tuple[float, float]]) -> float:
    """Return the slope of the least-squares line through the points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    across = sum((x - mean_x) * (y - mean_y) for x, y in points)
    return across / sum((x - mean_x) ** 2 for x, _ in points)


def time_each_us(action: Callable[[], object], repeats: int = REPEATS) -> float:
    """Return the mean processor time of an action, microseconds."""
    before_s = time.process_time()
    for _ in range(repeats):
        action()
    return (time.process_time() - before_s) / repeats * 1e6


# --- Links ---


def gateway_per_peer() -> list[Slope]:
    """A gateway's cost of one peer at one heartbeat a second."""
    shares, memory = _gateway_usage(0)
    how = f"{max(PEER_COUNTS)} hollow agents, {HEARTBEAT_MS} ms"
    return [
        Slope("gateway: processor per peer", fit(shares), "us/s", how),
        Slope("gateway: memory per peer", fit(memory), "KiB", how),
    ]


def gateway_per_idle_peer() -> list[Slope]:
    """A gateway's cost of one peer at which nothing is held, heard of rarely."""
    shares, _ = _gateway_usage(IDLE_HEARTBEAT_MS)
    how = f"{max(PEER_COUNTS)} hollow agents, {HEARTBEAT_MS} ms, idle {IDLE_HEARTBEAT_MS} ms"
    return [Slope("gateway: processor per idle peer", fit(shares), "us/s", how)]


def _gateway_usage(idle_ms: int) -> tuple[list[tuple[float, float]], list[tuple[float, float]]]:
    """Return processor time (us/s) and memory (KiB) of a gateway by its number of peers."""
    shares, memory = [], []
    for count in PEER_COUNTS:
        child, addresses = _hollow_agents(count)
        gateway = HollowGateway("gateway", HEARTBEAT_MS, idle_ms)
        before = resident_bytes()
        gateway.connect(addresses)
        time.sleep(SETTLE_S)
        usage = used_over(WINDOW_S)
        shares.append((float(count), usage.processor_share * 1e6))
        memory.append((float(count), (usage.resident_bytes - before) / 1024))
        gateway.peers.stop()
        _end(child)
        time.sleep(0.5)
    return shares, memory


def agent_per_gateway() -> list[Slope]:
    """An agent's cost of one gateway's lease at one heartbeat a second."""
    shares, memory = [], []
    for count in PEER_COUNTS:
        agent = HollowAgent("agent")
        before = resident_bytes()
        child = _hollow_gateways(agent.address, count)
        time.sleep(SETTLE_S)
        usage = used_over(WINDOW_S)
        shares.append((float(count), usage.processor_share * 1e6))
        memory.append((float(count), (usage.resident_bytes - before) / 1024))
        _end(child)
        time.sleep(0.5)
    how = f"{max(PEER_COUNTS)} hollow gateways, {HEARTBEAT_MS} ms"
    return [
        Slope("agent: processor per gateway", fit(shares), "us/s", how),
        Slope("agent: memory per gateway", fit(memory), "KiB", how),
    ]


def per_held_attempt() -> list[Slope]:
    """What one attempt held on a lease adds to a heartbeat."""
    encoded = [(float(count), float(len(_sealed(_heartbeat(count))))) for count in HELD_COUNTS]
    costs = []
    for count in HELD_COUNTS:
        frame = _heartbeat(count)
        costs.append((float(count), time_each_us(lambda frame=frame: _sealed(frame), 300)))  # type: ignore[misc]
    reply = LoadReport("decode", True, False, 32, 16, 0, 8000.0)
    empty_reply = HeartbeatReply(BundleStamp(1, "0" * 16), 1, reply, ())
    return [
        Slope("heartbeat: bytes, nothing held", encoded[0][1], "B", "sealed frame"),
        Slope("heartbeat reply: bytes", float(len(_sealed(Frame(0, empty_reply)))), "B", "sealed"),
        Slope("heartbeat: bytes per held attempt", fit(encoded), "B", "sealed frame"),
        Slope("heartbeat: processor per held attempt", fit(costs), "us", "encode and seal"),
    ]


def per_step_frame() -> list[Slope]:
    """What one token of a step frame costs in bytes."""
    sizes = []
    for count in (1, 8, 32):
        streams = tuple(StreamTokens(f"{n:016x}.1", 100, (" kalo",), "") for n in range(count))
        sizes.append((float(count), float(len(_sealed(Frame(0, StepFrame(streams)))))))
    return [Slope("step frame: bytes per token", fit(sizes), "B", "sealed frame")]


def seal_cost() -> list[Slope]:
    """What sealing and opening a frame adds to encoding and decoding it."""
    hello, welcome = Hello(new_nonce(), "a", 1), Welcome(new_nonce(), "b", 1)
    dialer = SecureSession(bytes(32), hello, welcome, dialer=True)
    listener = SecureSession(bytes(32), hello, welcome, dialer=False)
    frame = _heartbeat(0)

    def both() -> None:
        from yokedock.connection.secure_session import Sealed, decode_packet

        packet = decode_packet(dialer.seal(frame))
        assert isinstance(packet, Sealed)
        listener.open(packet)

    def plain() -> None:
        from yokedock.messages import decode_frame, encode_frame

        decode_frame(encode_frame(frame))

    return [Slope("frame: seal and open", time_each_us(both) - time_each_us(plain), "us", "both")]


# --- State ---


def per_histogram() -> list[Slope]:
    """Memory of one histogram, its encoded size, and the time to record a value."""
    histograms = Histograms()
    before = resident_bytes()
    count = 1000
    for number in range(count):
        histograms.record(f"tenant-{number}", "default", Measure.FIRST_TOKEN_US, 100_000.0)
    grown = (resident_bytes() - before) / count / 1024
    encoded = len(msgspec.json.encode(histograms.encode())) / count
    record = time_each_us(
        lambda: histograms.record("tenant-1", "default", Measure.BETWEEN_TOKENS_US, 26_000.0)
    )
    return [
        Slope("histogram: memory", grown, "KiB", f"{count} of them"),
        Slope("histogram: encoded", encoded, "B", "one value each"),
        Slope("histogram: record", record, "us", "one value"),
    ]


def per_bundle() -> list[Slope]:
    """Size and adoption time of a bundle at the aim's size, and what one change moves."""
    key = Ed25519PrivateKey.generate()
    bundle = aim_bundle()
    signed = sign_bundle(bundle, 1, 1, key)
    changed = sign_bundle(_with_changed_tenant(bundle), 2, 2, key)
    moved = [c for d, c in changed.sections.items() if d not in signed.sections]
    stores = [BundleStore(key.public_key()) for _ in range(STORES)]
    _offer(BundleStore(key.public_key()), signed)
    adopt_us = 0.0
    for store in stores:
        adopt_us += time_each_us(lambda store=store: _offer(store, signed), 1) / len(stores)  # type: ignore[misc]
    grown = _traced_kib(lambda: _offer(BundleStore(key.public_key()), signed))
    change_us = sum(time_each_us(lambda s=s: _offer(s, changed), 1) for s in stores) / len(stores)  # type: ignore[misc]
    whole = sum(len(content) for content in signed.sections.values())
    how = f"{AIM_TENANTS} tenants, {AIM_ENGINES} engines, {AIM_MODELS} models"
    return [
        Slope("bundle: all sections", whole / 1024, "KiB", how),
        Slope("bundle: envelope", len(signed.envelope) / 1024, "KiB", how),
        Slope("bundle: sections", float(len(signed.sections)), "sections", how),
        Slope("bundle: moved by one change", sum(map(len, moved)) / 1024, "KiB", "one tenant"),
        Slope("bundle: adopt all", adopt_us / 1000, "ms", how),
        Slope("bundle: adopt one change", change_us / 1000, "ms", "one tenant"),
        Slope("bundle: memory at adoption", grown, "KiB", "peak, traced"),
    ]


def aim_bundle() -> Bundle:
    """Return a bundle of the aim's size."""
    models = {f"model-{n}": Model() for n in range(AIM_MODELS)}
    engines = {
        f"engine-{n}": Engine(
            f"pool-{n % AIM_MODELS}",
            f"zone-{n % 8}",
            f"10.0.{n // 250}.{n % 250}:7000",
            ("prefill", "decode", "flexible")[n % 3],
            f"model-{n % AIM_MODELS}",
        )
        for n in range(AIM_ENGINES)
    }
    tenants = {f"tenant-{n}": Tenant(f"{n:064x}", ("default",)) for n in range(AIM_TENANTS)}
    classes = {"default": RequestClass()}
    return Bundle(0, 0, Limits(), classes, tenants, models, engines, {}, {}, {})


def _with_changed_tenant(bundle: Bundle) -> Bundle:
    tenants = {**bundle.tenants, "tenant-7": Tenant("f" * 64, ("default",), 5)}
    return Bundle(
        0, 0, bundle.limits, bundle.classes, tenants, bundle.models, bundle.engines, {}, {}, {}
    )


def _traced_kib(action: Callable[[], object]) -> float:
    """Return the memory that an action leaves allocated at its peak, KiB."""
    tracemalloc.start()
    action()
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return peak / 1024


def _offer(store: BundleStore, signed: SignedBundle) -> bool:
    return store.offer(
        signed.envelope, lambda digests: {d: signed.sections[d] for d in digests}, "slopes"
    )


# --- Helpers ---


def _heartbeat(held: int) -> Frame:
    attempts = tuple(f"{n:016x}.1" for n in range(held))
    return Frame(0, Heartbeat(BundleStamp(1, "0" * 16), attempts, 3000, 1.0, 1.0))


def _sealed(frame: Frame) -> bytes:
    hello, welcome = Hello(bytes(16), "a", 1), Welcome(bytes(16), "b", 1)
    return SecureSession(bytes(32), hello, welcome, dialer=True).seal(frame)


def _hollow_agents(count: int) -> tuple[subprocess.Popen[str], list[str]]:
    child = _child(["hollow-agents", "--count", str(count)])
    assert child.stdout is not None
    addresses = []
    while line := child.stdout.readline().strip():
        addresses.append(line)
    return child, addresses


def _hollow_gateways(address: str, count: int) -> subprocess.Popen[str]:
    child = _child(["hollow-gateways", address, "--count", str(count)])
    assert child.stdout is not None
    child.stdout.readline()
    return child


def _child(arguments: list[str]) -> subprocess.Popen[str]:
    command = [program("yokedock-emulator"), *arguments]
    return subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)


def _end(child: subprocess.Popen[str]) -> None:
    assert child.stdin is not None
    child.stdin.close()
    child.wait()


MEASUREMENTS: dict[str, Callable[[], list[Slope]]] = {
    "gateway-per-peer": gateway_per_peer,
    "gateway-per-idle-peer": gateway_per_idle_peer,
    "agent-per-gateway": agent_per_gateway,
    "per-held-attempt": per_held_attempt,
    "per-step-frame": per_step_frame,
    "seal-cost": seal_cost,
    "per-histogram": per_histogram,
    "per-bundle": per_bundle,
}


def measure_slopes(names: list[str], out: Path | None) -> list[Slope]:
    """Run the named measurements, print a table, and write JSON to ``out`` if given.

    Raises ``ExperimentInvalid`` for a name that is not known.
    """
    unknown = set(names) - set(MEASUREMENTS)
    if unknown:
        known = ", ".join(MEASUREMENTS)
        raise ExperimentInvalid(f"no slope {', '.join(sorted(unknown))}; choose from {known}")
    set_up_logs("error")
    slopes: list[Slope] = []
    for name in names:
        print(f"measuring {name}", flush=True)
        slopes += MEASUREMENTS[name]()
    rows = [(s.name, f"{s.value:.3g}", s.unit, s.how) for s in slopes]
    print(format_table(("slope", "value", "unit", "how"), rows))
    if out is not None:
        out.write_bytes(msgspec.json.format(msgspec.json.encode(slopes)))
    return slopes
