"""The demonstration: a whole deployment in one process, real requests, and a check of the ledgers.

Exits with 0 only if every answer was whole, nothing stays held and nothing ran twice.
"""

from __future__ import annotations

import dataclasses
import time

import msgspec
import urllib3

from yokedock.base.clock import boot_time_s, wall_clock_ms
from yokedock.base.logs import set_up_logs
from yokedock.process.tables import format_table
from yokedock.request.idempotency import new_key
from yokedock.request.openai_format import STREAM_END
from yokedock.version.bundle import Limits, Model, RequestClass, Service
from yokedock_emulator.cluster import Cluster, ClusterPlan, EnginePlace, ServicePlace
from yokedock_emulator.cluster import tenant_with_token as tenant
from yokedock_emulator.engine_state import EngineProfile
from yokedock_emulator.tokens import expected_text

MODEL = "hut-7b"
SERVICE = "stay-confirmation"
TOKEN = "demo-token"
PROMPT_WORDS = (20, 400, 2000)
MAX_TOKENS = 24
FIRST_TOKEN_MS = 5000
"""Generous: the demonstration must end the same way on a slow machine."""
CANCEL_AFTER_EVENTS = 3
CANCEL_TOKENS = 400
RELEASE_LIMIT_S = 4.0
KEY_SKEW_S = 0.2


@dataclasses.dataclass
class StreamReport:
    """What one streamed completion brought."""

    text: str = ""
    first_s: float = 0.0
    between_ms: float = 0.0
    is_whole: bool = False


def demo_plan() -> ClusterPlan:
    """Return 2 prefill engines, 3 decode engines and 1 plain service."""
    roles = ["prefill"] * 2 + ["decode"] * 3
    engines = tuple(
        EnginePlace(f"{role}-{number}", "zone-1", role, EngineProfile(role=role))
        for number, role in enumerate(roles, 1)
    )
    return ClusterPlan(
        engines,
        (ServicePlace("booking-1", "zone-1", SERVICE),),
        MODEL,
        Model(),
        {"default": RequestClass(first_token_ms=FIRST_TOKEN_MS)},
        {"demo": tenant(TOKEN)},
        {SERVICE: Service(repeatable=False)},
        limits=Limits(clock_skew_s=KEY_SKEW_S),
    )


def run_demo(keep: bool) -> int:
    """Run the demonstration; return the exit status."""
    set_up_logs("error")
    cluster = Cluster(demo_plan())
    print("2 prefill engines, 3 decode engines, 1 plain service, their agents, 1 gateway: up")
    failures = _show_streams(cluster)
    failures += _show_cancel(cluster)
    failures += _show_service_call(cluster)
    failures += _check_held(cluster)
    for failure in failures:
        print(f"WRONG: {failure}")
    if keep:
        _keep_running(cluster)
    cluster.stop()
    print("all as promised" if not failures else f"{len(failures)} things wrong")
    return 1 if failures else 0


def _show_streams(cluster: Cluster) -> list[str]:
    failures, rows = [], []
    for words in PROMPT_WORDS:
        prompt = "trail digest " * (words // 2)
        before = _streams_started(cluster)
        report = _stream(cluster, prompt, MAX_TOKENS)
        after = _streams_started(cluster)
        where = [name for name in after if after[name] > before[name]]
        if not report.is_whole or report.text != expected_text(prompt, MAX_TOKENS):
            failures.append(f"the answer to the prompt of {words} words is not whole")
        prefilled = ", ".join(name for name in where if name.startswith("prefill"))
        decoded = ", ".join(name for name in where if name.startswith("decode"))
        first, between = f"{report.first_s * 1000:.0f} ms", f"{report.between_ms:.1f} ms"
        rows.append((words, MAX_TOKENS, first, between, prefilled, decoded))
    header = ("words", "tokens out", "first token", "between", "prefilled on", "decoded on")
    print(format_table(header, rows))
    return failures


def _stream(
    cluster: Cluster, prompt: str, max_tokens: int, stop_after: int | None = None
) -> StreamReport:
    """Send one streamed completion; close the connection after ``stop_after`` events."""
    started_s = boot_time_s()
    body = {"model": MODEL, "prompt": prompt, "max_tokens": max_tokens, "stream": True}
    response = urllib3.request(
        "POST",
        f"{cluster.gateways[0].url}/v1/completions",
        body=msgspec.json.encode(body),
        headers=_headers(),
        preload_content=False,
    )
    report, times, rest = StreamReport(), [], b""
    for part in response.stream(None):
        *events, rest = (rest + part).split(b"\n\n")
        for event in events:
            if event + b"\n\n" == STREAM_END:
                report.is_whole = True
                continue
            times.append(boot_time_s())
            choice = msgspec.json.decode(event.removeprefix(b"data: "))["choices"][0]
            report.text += choice["text"]
        if stop_after is not None and len(times) >= stop_after:
            break
    response.close()
    if times:
        report.first_s = times[0] - started_s
        report.between_ms = (times[-1] - times[0]) / max(1, len(times) - 1) * 1000
    return report


def _show_cancel(cluster: Cluster) -> list[str]:
    report = _stream(cluster, "a caller who leaves " * 10, CANCEL_TOKENS, CANCEL_AFTER_EVENTS)
    print(f"cancelled a stream of {CANCEL_TOKENS} tokens after {len(report.text.split())}")
    return []


def _show_service_call(cluster: Cluster) -> list[str]:
    time.sleep(2 * KEY_SKEW_S)
    headers = {**_headers(), "Idempotency-Key": new_key(wall_clock_ms())}
    url = f"{cluster.gateways[0].url}/v1/services/{SERVICE}"
    answers = [urllib3.request("POST", url, body=b"hut 7", headers=headers) for _ in range(2)]
    executions = len(cluster.services["booking-1"].ledger().executions)
    statuses = [answer.status for answer in answers]
    print(f"one call sent twice with one key: statuses {statuses}, executions: {executions}")
    if executions != 1 or statuses != [200, 200] or answers[0].data != answers[1].data:
        return ["the call sent twice was not run once and answered alike"]
    return []


def _check_held(cluster: Cluster) -> list[str]:
    give_up_s = boot_time_s() + RELEASE_LIMIT_S
    held = _held(cluster)
    while held and boot_time_s() < give_up_s:
        time.sleep(0.02)
        held = _held(cluster)
    print(f"slots and caches held at the end: {held}")
    return [f"{held} slots or caches stay held"] if held else []


def _held(cluster: Cluster) -> int:
    engines = sum(len(server.engine.held().items) for server in cluster.engines.values())
    return engines + sum(agent.backend.in_flight() for agent in cluster.agents.values())


def _streams_started(cluster: Cluster) -> dict[str, int]:
    return {
        name: len(server.engine.ledger().requests_started)
        for name, server in cluster.engines.items()
    }


def _headers() -> dict[str, str]:
    return {"Authorization": f"Bearer {TOKEN}", "Content-Type": "application/json"}


def _keep_running(cluster: Cluster) -> None:
    url = cluster.gateways[0].url
    authorization = f"-H 'Authorization: Bearer {TOKEN}'"
    body = f'{{"model": "{MODEL}", "prompt": "Bunks at hut 7", "max_tokens": 20, "stream": true}}'
    print(f"\ncurl -N {authorization} {url}/v1/completions -d '{body}'")
    print(f"curl {authorization} {url}/v1/models")
    print(
        f"curl {authorization} -H 'Idempotency-Key: {new_key(wall_clock_ms())}' "
        f"{url}/v1/services/{SERVICE} -d 'hut 7'"
    )
    print(f"yokedock status {cluster.gateways[0].admin_address}")
    print(f"yokedock histograms {cluster.gateways[0].admin_address}\nstop with Ctrl-C")
    try:
        while True:
            time.sleep(3600)
    except KeyboardInterrupt:
        return
