"""An emulated model engine in real time: prefill, KV export and import, continuous batching.

Two loops run as threads: one prefills, one decodes. Times follow a simple model: prefill takes
the uncached tokens over the prefill speed; a decode step takes a base time plus a share for each
stream in the batch.
"""

from __future__ import annotations

import heapq
import itertools
import queue
import threading
import time
import uuid
from collections.abc import Iterator

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.connection.engine_protocol import (
    CacheEvents,
    DecodeOrder,
    Held,
    HeldItem,
    Load,
    PrefillOrder,
    PrefillResult,
    PullResult,
    ResumeResult,
    Step,
    StepToken,
)
from yokedock.errors import YokedockError
from yokedock.messages import Sampling
from yokedock_emulator.engine_hold import (
    HOLD_PREFILLED,
    HOLD_PREFILLING,
    HOLD_RELEASING,
    HOLD_TRANSFERRING,
    StepHold,
)
from yokedock_emulator.engine_state import (
    EngineProfile,
    Gone,
    KeptCache,
    OrderRefused,
    PrefillJob,
    RunningStream,
)
from yokedock_emulator.ledgers import EngineLedger
from yokedock_emulator.link import SharedLink
from yokedock_emulator.prefix_cache import PrefixCache
from yokedock_emulator.tokens import count_tokens

PREFILL_CHUNK_S = 0.02
FINISHED_KEPT_S = 5.0
STEP_QUEUE_LENGTH = 1000
IDLE_LINE_S = 0.5


class ModelEngine:
    """The engine's state and its loops."""

    def __init__(self, profile: EngineProfile) -> None:
        """Start both loops."""
        self.profile = profile
        self.role = profile.role
        self.url = ""
        self._lock = threading.RLock()
        self._cache = PrefixCache(
            profile.cache_tokens,
            profile.cache_event_lag_ms / 1000,
            profile.cache_event_gap_share,
        )
        self.link = SharedLink(profile.link_bytes_per_s)
        self._highest_token = 0
        self._order_numbers = itertools.count()
        self._prefill_queue: list[tuple[int, int, PrefillJob]] = []
        self._prefill_ready = threading.Condition(self._lock)
        self._prefills: dict[str, PrefillJob] = {}
        self._exports: dict[str, KeptCache] = {}
        self._imports: dict[str, PullResult] = {}
        self._importing: dict[str, threading.Event] = {}
        self._waiting: list[RunningStream] = []
        self._streams: dict[str, RunningStream] = {}
        self._subscribers: list[queue.Queue[bytes]] = []
        self._hold = StepHold()
        self._load_history: list[tuple[float, Load]] = []
        self._prefill_tokens = 0
        self._wasted_tokens = 0
        self._tokens_out = 0
        self._started: list[str] = []
        self._orders_refused = 0
        self._dropped: list[str] = []
        self._samplings: list[Sampling] = []
        self._last_order_s = boot_time_s()
        for loop in (self._prefill_loop, self._decode_loop):
            threading.Thread(target=loop, name=loop.__name__, daemon=True).start()

    # --- Orders ---

    def check_order(self, fencing_token: int) -> None:
        """Refuse an order whose fencing token is below the highest seen, if the engine checks."""
        with self._lock:
            self._last_order_s = boot_time_s()
            if self.profile.checks_fencing and fencing_token < self._highest_token:
                self._orders_refused += 1
                raise OrderRefused("the fencing token is old; a newer agent is in charge")
            self._highest_token = max(self._highest_token, fencing_token)

    def prefill(self, order: PrefillOrder) -> PrefillResult:
        """Compute a KV cache; wait until it is ready."""
        self._require_role("prefill")
        job = PrefillJob(order)
        with self._lock:
            self._started.append(order.request)
            self._prefills[order.request] = job
            entry = (-order.priority, next(self._order_numbers), job)
            heapq.heappush(self._prefill_queue, entry)
            self._prefill_ready.notify()
        result = job.finished.get()
        if isinstance(result, YokedockError):
            raise result
        return result

    def pull(self, handle: str) -> PullResult:
        """Let another engine pull a kept cache; wait until it has crossed the link."""
        with self._lock:
            export = self._exports.get(handle)
            if export is None or export.is_pulling:
                raise Gone("the KV cache is not kept here any more; prefill again")
            export.is_pulling = True
        self._hold.wait(HOLD_TRANSFERRING, export.wanted)
        size = export.tokens * self.profile.kv_bytes_per_token
        arrived = self.link.transfer(size, export.wanted)
        with self._lock:
            if self._exports.pop(handle, None) is None or not arrived:
                raise Gone("the transfer was cancelled; prefill again")
        return PullResult(size, export.tokens, export.computed_tokens)

    def begin_import(self, request: str) -> None:
        """Note that a cache is on its way for ``request``."""
        self._require_role("decode")
        with self._lock:
            wanted = threading.Event()
            wanted.set()
            self._importing[request] = wanted

    def end_import(self, request: str, pulled: PullResult | None) -> None:
        """Hold the imported cache; ``None`` says that the import failed."""
        with self._lock:
            wanted = self._importing.pop(request, None)
            if pulled is None:
                return
            if wanted is None or not wanted.is_set():
                self._wasted_tokens += pulled.computed_tokens
                raise Gone("the request was cancelled while its cache was on the way")
            self._imports[request] = pulled

    def decode(self, order: DecodeOrder) -> None:
        """Start to generate from an imported cache."""
        self._require_role("decode")
        with self._lock:
            held = self._imports.pop(order.request, None)
            if held is None:
                raise Gone("no KV cache was imported for this request; import it first")
            self._started.append(order.request)
            stream = RunningStream(order, held)
            self._streams[order.request] = stream
            if order.sampling != Sampling():
                self._samplings.append(order.sampling)
            self._waiting.append(stream)
            self._waiting.sort(key=lambda waiting: -waiting.order.priority)

    def resume(self, request: str, from_sequence: int) -> ResumeResult:
        """Return a stream's tokens from a sequence number on."""
        with self._lock:
            stream = self._streams.get(request)
            if stream is None:
                raise Gone("the stream is not here any more")
            skip = max(0, from_sequence - stream.order.first_sequence)
            return ResumeResult(tuple(stream.tokens[skip:]), stream.finish)

    def cancel(self, request: str) -> None:
        """End everything that runs or is held for a request."""
        stream = self._streams.get(request)
        if stream is not None and stream.finish:
            self._hold.wait(HOLD_RELEASING)
        with self._lock:
            job = self._prefills.pop(request, None)
            if job is not None:
                job.wanted.clear()
            for export in [e for e in self._exports.values() if e.request == request]:
                self._drop_export(export)
            wanted = self._importing.get(request)
            if wanted is not None:
                wanted.clear()
            imported = self._imports.pop(request, None)
            if imported is not None:
                self._wasted_tokens += imported.computed_tokens
            stream = self._streams.pop(request, None)
            if stream is not None and not stream.tokens:
                self._wasted_tokens += stream.imported.computed_tokens
            self._waiting = [s for s in self._waiting if s.order.request != request]

    def change_role(self, role: str) -> None:
        """Change the role; whatever is held is dropped, so the agent must drain first."""
        with self._lock:
            held = {item.request for item in self._held_items()}
            self.role = role
        self._dropped += held
        for request in held:
            self.cancel(request)

    # --- Reports ---

    def held(self) -> Held:
        """Return everything that holds memory."""
        with self._lock:
            return Held(tuple(self._held_items()))

    def load(self) -> Load:
        """Return the load as it was ``load_lag_ms`` ago."""
        now = boot_time_s()
        with self._lock:
            running = sum(1 for stream in self._streams.values() if not stream.finish)
            queued = sum(count_tokens(job.order.prompt) for _, _, job in self._prefill_queue)
            load = Load(self.role, self.profile.slots, running, queued)
            self._load_history.append((now, load))
            horizon = now - self.profile.load_lag_ms / 1000
            while len(self._load_history) > 1 and self._load_history[1][0] <= horizon:
                self._load_history.pop(0)
            return self._load_history[0][1]

    def cache_events(self, after: int) -> CacheEvents:
        """Return prefix-cache events after a number."""
        return self._cache.events_after(after)

    def steps(self) -> Iterator[bytes]:
        """Yield one line for each decode step, and an empty step while idle."""
        lines: queue.Queue[bytes] = queue.Queue(STEP_QUEUE_LENGTH)
        idle = msgspec.json.encode(Step(())) + b"\n"
        with self._lock:
            self._subscribers.append(lines)
        try:
            yield idle
            while True:
                try:
                    yield lines.get(timeout=IDLE_LINE_S)
                except queue.Empty:
                    yield idle
        finally:
            with self._lock:
                self._subscribers.remove(lines)

    def ledger(self) -> EngineLedger:
        """Return what really happened."""
        with self._lock:
            return EngineLedger(
                tuple(self._held_items()),
                self._prefill_tokens,
                self._wasted_tokens,
                self._tokens_out,
                tuple(self._started),
                self._orders_refused,
                boot_time_s() - self._last_order_s,
                tuple(self._dropped),
                tuple(self._samplings),
            )

    def hold_at(self, step: str) -> None:
        """Hold every request at ``step``; the empty step lets all go on."""
        self._hold.hold_at(step)

    # --- Loops ---

    def _prefill_loop(self) -> None:
        while True:
            with self._lock:
                while not self._prefill_queue:
                    self._prefill_ready.wait(0.2)
                    self._drop_expired()
                _, _, job = heapq.heappop(self._prefill_queue)
            self._run_prefill(job)

    def _run_prefill(self, job: PrefillJob) -> None:
        prompt = job.order.prompt
        total = count_tokens(prompt)
        cached = min(self._cache.cached_tokens(prompt), total - 1)
        self._hold.wait(HOLD_PREFILLING, job.wanted)
        done = 0
        chunk = max(1, int(self.profile.prefill_tokens_per_s * PREFILL_CHUNK_S))
        while done < total - cached and job.wanted.is_set():
            part = min(chunk, total - cached - done)
            time.sleep(part / self.profile.prefill_tokens_per_s)
            done += part
            self._drop_expired()
        with self._lock:
            self._prefill_tokens += done
            self._prefills.pop(job.order.request, None)
            if not job.wanted.is_set():
                self._wasted_tokens += done
                job.finished.put(Gone("the prefill was cancelled"))
                return
            self._cache.insert(prompt)
            handle = uuid.uuid4().hex
            expires = boot_time_s() + self.profile.kept_ms / 1000
            self._exports[handle] = KeptCache(
                job.order.request, handle, total, done, expires, job.wanted
            )
        self._hold.wait(HOLD_PREFILLED, job.wanted)
        size = total * self.profile.kv_bytes_per_token
        job.finished.put(PrefillResult(handle, total, cached, size, self.profile.kept_ms))

    def _decode_loop(self) -> None:
        while True:
            with self._lock:
                running = [s for s in self._streams.values() if not s.finish]
                running = [s for s in running if s not in self._waiting]
                while self._waiting and len(running) < self.profile.slots:
                    running.append(self._waiting.pop(0))
            if not running:
                time.sleep(0.002)
                self._drop_expired()
                continue
            step_ms = self.profile.step_base_ms + self.profile.step_per_stream_ms * len(running)
            time.sleep(step_ms / 1000)
            self._hold.wait_streams(running, self._streams)
            self._emit_step(running)

    def _emit_step(self, running: list[RunningStream]) -> None:
        tokens = []
        with self._lock:
            for stream in running:
                order = stream.order
                if order.request not in self._streams:
                    continue
                sequence = order.first_sequence + len(stream.tokens)
                token = stream.next_token()
                if self.profile.clock_tokens:
                    token = f"@{time.monotonic_ns() // 1000}"
                if token:
                    stream.tokens.append(token)
                if not stream.finish and len(stream.tokens) >= order.max_tokens:
                    stream.finish = "length"
                if stream.finish:
                    stream.finished_s = boot_time_s()
                tokens.append(StepToken(order.request, sequence, token, stream.finish))
            self._tokens_out += len(tokens)
            self._drop_expired()
            subscribers = list(self._subscribers)
        line = msgspec.json.encode(Step(tuple(tokens))) + b"\n"
        for lines in subscribers:
            if lines.qsize() < STEP_QUEUE_LENGTH:
                lines.put(line)

    def _drop_expired(self) -> None:
        """Throw away caches kept too long, and the texts of streams finished long ago."""
        now = boot_time_s()
        with self._lock:
            for export in list(self._exports.values()):
                if not export.is_pulling and export.expires_s <= now:
                    self._drop_export(export)
            for request, stream in list(self._streams.items()):
                if stream.finish and stream.finished_s + FINISHED_KEPT_S <= now:
                    del self._streams[request]

    def _drop_export(self, export: KeptCache) -> None:
        export.wanted.clear()
        self._wasted_tokens += export.computed_tokens
        self._exports.pop(export.handle, None)

    def _held_items(self) -> list[HeldItem]:
        items = [
            HeldItem(request, "", "prefill", count_tokens(job.order.prompt))
            for request, job in self._prefills.items()
        ]
        items += [HeldItem(e.request, e.handle, "export", e.tokens) for e in self._exports.values()]
        items += [HeldItem(request, "", "import", 0) for request in self._importing]
        items += [HeldItem(request, "", "import", p.tokens) for request, p in self._imports.items()]
        items += [
            HeldItem(request, "", "decode", stream.imported.tokens + len(stream.tokens))
            for request, stream in self._streams.items()
            if not stream.finish
        ]
        return items

    def _require_role(self, role: str) -> None:
        if self.role != role:
            with self._lock:
                self._orders_refused += 1
            raise OrderRefused(f"the engine's role is {self.role}, not {role}")
