"""What the path through one gateway costs: a curve over the number of streams.

Everything runs as real processes: engines with a decode step of 26 ms, an agent beside each, one
gateway, two load generators. The engines write the time into each token, so the added time is
exact; the gateway's processor time is the operating system's account of its process.
"""

from __future__ import annotations

import subprocess
import tempfile
import time
from pathlib import Path

import msgspec
import urllib3

from yokedock.base.clock import boot_time_s
from yokedock.connection.engine_protocol import DecodeOrder, ImportOrder, PrefillOrder
from yokedock.process.tables import format_table
from yokedock_emulator.bench_deployment import TOKEN, BenchDeployment, BenchEngine, BenchPlan
from yokedock_emulator.process_group import program
from yokedock_emulator.stream_load import LoadReport

MODEL = "hut-7b"
STEP_MS = 26
SLOTS = 64
DECODE_ENGINES = 8
PREFILL_ENGINES = 2
GENERATORS = 2
FIRST_PORT = 21000
SETTLE_S = 2.0
OPENING_S = 5.0
WINDOW_S = 6.0
FIRST_TOKEN_SAMPLES = 40


class CurvePoint(msgspec.Struct, frozen=True):
    """One number of streams."""

    streams: int
    tokens_per_s: float
    chunks_per_s: float
    added_p50_ms: float
    added_p99_ms: float
    added_max_ms: float
    gateway_cores: float
    gateway_us_a_token: float
    gateway_resident_mb: float
    refused: int


class FirstTokenCost(msgspec.Struct, frozen=True):
    """Time to the first token through the gateway and straight at the engines, ms."""

    through_p50_ms: float
    through_p99_ms: float
    direct_p50_ms: float
    direct_p99_ms: float


class PathCostReport(msgspec.Struct, frozen=True):
    """The whole measurement."""

    curve: tuple[CurvePoint, ...]
    first_token: FirstTokenCost
    bytes_a_stream: float


def bench_plan() -> BenchPlan:
    """Return the engines of the measurement: wide decode batches at a step of 26 ms."""
    options: tuple[str, ...] = (
        "--slots",
        str(SLOTS),
        "--step-base-ms",
        str(STEP_MS),
        "--step-per-stream-ms",
        "0",
    )
    options += ("--clock-tokens", "--no-checks-fencing")
    backend = {"slots": str(SLOTS)}
    roles = ["prefill"] * PREFILL_ENGINES + ["decode"] * DECODE_ENGINES
    engines = tuple(
        BenchEngine(f"{role}-{number}", "zone-1", role, options, backend)
        for number, role in enumerate(roles)
    )
    bundle = {
        "limits": {"max_output_tokens": "16384"},
        "class default": {"first_token_ms": "5000"},
    }
    return BenchPlan(MODEL, {"step_ms": str(STEP_MS)}, engines, bundle)


def measure_path_cost(counts: list[int], out: Path | None) -> PathCostReport:
    """Measure the curve, print it as a table, and write JSON to ``out`` if given."""
    directory = Path(tempfile.mkdtemp(prefix="yokedock-bench-"))
    bench = BenchDeployment(bench_plan(), directory, FIRST_PORT)
    try:
        first_token = _first_token_cost(bench)
        idle_bytes = bench.gateway_node().resident_bytes()
        points = []
        for count in counts:
            points.append(_measure_point(bench, count))
            print(f"{count} streams: {points[-1].tokens_per_s:.0f} tokens/s", flush=True)
            time.sleep(SETTLE_S)
        grown = points[-1].gateway_resident_mb * 1e6 - idle_bytes
        report = PathCostReport(tuple(points), first_token, max(0.0, grown) / counts[-1])
    finally:
        bench.close()
    _print_report(report)
    if out is not None:
        out.write_bytes(msgspec.json.format(msgspec.json.encode(report)))
    return report


def _measure_point(bench: BenchDeployment, streams: int) -> CurvePoint:
    """Run the load generators at one number of streams."""
    shares = [streams // GENERATORS + (n < streams % GENERATORS) for n in range(GENERATORS)]
    command = [program("yokedock-emulator"), "stream-load", bench.gateways[0]]
    options = ["--token", TOKEN, "--model", MODEL, "--max-tokens", "16384"]
    options += ["--opening-s", str(OPENING_S), "--settle-s", str(SETTLE_S)]
    options += ["--window-s", str(WINDOW_S)]
    generators = [
        subprocess.Popen([*command, "--streams", str(share), *options], stdout=subprocess.PIPE)
        for share in shares
        if share
    ]
    time.sleep(OPENING_S + SETTLE_S + 1.0)
    before_s, started_s = bench.gateway_node().processor_s(), boot_time_s()
    time.sleep(WINDOW_S - 1.0)
    cores = (bench.gateway_node().processor_s() - before_s) / (boot_time_s() - started_s)
    resident_mb = bench.gateway_node().resident_bytes() / 1e6
    outputs = [generator.communicate()[0] for generator in generators]
    reports = [msgspec.json.decode(output, type=LoadReport) for output in outputs]
    tokens_per_s = sum(report.tokens for report in reports) / WINDOW_S
    return CurvePoint(
        streams,
        tokens_per_s,
        sum(report.chunks for report in reports) / WINDOW_S,
        max(report.age_p50_us for report in reports) / 1000,
        max(report.age_p99_us for report in reports) / 1000,
        max(report.age_max_us for report in reports) / 1000,
        cores,
        cores * 1e6 / max(1.0, tokens_per_s),
        resident_mb,
        sum(report.refused for report in reports),
    )


def _first_token_cost(bench: BenchDeployment) -> FirstTokenCost:
    """Compare an idle path: through the gateway, and by hand at two engines, in turn."""
    through, direct = [], []
    for number in range(FIRST_TOKEN_SAMPLES):
        through.append(_first_token_through(bench, number))
        direct.append(_first_token_direct(bench, number))
    return FirstTokenCost(
        _percentile(through, 0.5),
        _percentile(through, 0.99),
        _percentile(direct, 0.5),
        _percentile(direct, 0.99),
    )


def _first_token_through(bench: BenchDeployment, number: int) -> float:
    body = {"model": MODEL, "prompt": f"first {number} " * 64, "max_tokens": 2, "stream": True}
    started_s = boot_time_s()
    response = urllib3.request(
        "POST",
        f"http://{bench.gateways[0]}/v1/completions",
        body=msgspec.json.encode(body),
        headers={"Authorization": f"Bearer {TOKEN}"},
        preload_content=False,
    )
    next(response.stream(16))
    elapsed_ms = (boot_time_s() - started_s) * 1000
    response.close()
    return elapsed_ms


def _first_token_direct(bench: BenchDeployment, number: int) -> float:
    """Give the engines the same orders by hand: prefill, import, decode, read one step."""
    prefill_url = next(url for name, url in bench.engine_urls.items() if "prefill" in name)
    decode_url = next(url for name, url in bench.engine_urls.items() if "decode" in name)
    pool = urllib3.PoolManager(maxsize=4)
    steps = pool.request("GET", f"{decode_url}/v1/steps", preload_content=False)
    lines = steps.stream(None)
    next(lines)
    request, prompt = f"direct-{number}", f"direct {number} " * 64
    started_s = boot_time_s()
    order = PrefillOrder(request, MODEL, "", prompt)
    answer = pool.request("POST", f"{prefill_url}/v1/prefill", body=msgspec.json.encode(order))
    handle = msgspec.json.decode(answer.data)["handle"]
    import_order = ImportOrder(request, prefill_url, handle)
    pool.request("POST", f"{decode_url}/v1/kv/import", body=msgspec.json.encode(import_order))
    decode_order = DecodeOrder(request, prompt, 0, 2)
    pool.request("POST", f"{decode_url}/v1/decode", body=msgspec.json.encode(decode_order))
    while request.encode() not in next(lines):
        pass
    elapsed_ms = (boot_time_s() - started_s) * 1000
    steps.close()
    return elapsed_ms


def _percentile(values: list[float], share: float) -> float:
    return sorted(values)[min(len(values) - 1, int(len(values) * share))]


def _print_report(report: PathCostReport) -> None:
    header = ("streams", "tokens/s", "chunks/s", "added p50", "p99", "max ms", "cores", "us/token")
    rows = [
        (
            p.streams,
            round(p.tokens_per_s),
            round(p.chunks_per_s),
            f"{p.added_p50_ms:.2f}",
            f"{p.added_p99_ms:.2f}",
            f"{p.added_max_ms:.1f}",
            f"{p.gateway_cores:.2f}",
            f"{p.gateway_us_a_token:.1f}",
        )
        for p in report.curve
    ]
    print(format_table(header, rows))
    first = report.first_token
    print(
        f"first token: through p50 {first.through_p50_ms:.1f} p99 {first.through_p99_ms:.1f} ms, "
        f"direct p50 {first.direct_p50_ms:.1f} p99 {first.direct_p99_ms:.1f} ms"
    )
    print(f"gateway memory a stream: {report.bytes_a_stream / 1024:.0f} KiB")
