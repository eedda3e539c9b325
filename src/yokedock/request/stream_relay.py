"""Relays a stream of events to the caller across the engines that produce it in turn."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.base.work_turns import WorkTurns
from yokedock.connection.event_stream import MAX_EVENT_BYTES, EventSplitter, StreamEvent
from yokedock.connection.http_heads import ResponseHead
from yokedock.connection.response_writer import ResponseWriter
from yokedock.router_errors import BackendConnectionClosed, BackendResponseError, ResponseTooLarge


class RelayedRun(msgspec.Struct, eq=False):
    """What was read of the stream of one engine."""

    splitter: EventSplitter = msgspec.field(default_factory=EventSplitter)
    is_first: bool = True
    """Whether its first event has not come yet."""
    bytes_since_progress: int = 0


class StreamRelay:
    """One caller's stream: the response head, then complete events in order, each exactly once."""

    def __init__(self, answer: ResponseWriter, last_event_id: int | None) -> None:
        """Continue after ``last_event_id`` if the caller has already received events."""
        self._answer = answer
        self._first_id = last_event_id
        self.last_id = last_event_id
        self.events = 0
        """Number of events with content that were relayed."""
        self.first_s: float | None = None
        """When the first event was relayed (boot time, s)."""
        self.longest_gap_s = 0.0
        self.on_first_event: Callable[[], None] = lambda: None
        """Called when the first event of a run arrives."""
        self.on_begin: Callable[[], None] = lambda: None
        """Called before the first event of the stream is relayed."""
        self.on_continued: Callable[[], None] = lambda: None
        """Called before anything that the first event of a run causes, and before the end."""
        self.run = RelayedRun()
        """The engine's stream that is being read."""
        self.pause_s: float | None = None
        """Pause before the latest event of the run, None for its first."""
        self.last_s = 0.0
        """When the latest event was relayed (boot time, s), 0 if none was."""
        self._held = bytearray()
        """Events without content that came before the first one with content. As long as nothing
        was sent, another engine can begin the stream."""
        self._turns = WorkTurns()

    @property
    def buffered_bytes(self) -> int:
        """Return the number of bytes that were received and not passed on."""
        return self.run.splitter.buffered_bytes + len(self._held)

    def begin_run(self) -> None:
        """Start reading from another engine; a partial event from the previous one is discarded."""
        self.resume_run(RelayedRun())

    def resume_run(self, run: RelayedRun) -> None:
        """Go on reading from an engine whose stream was left in between."""
        self.run = run
        self._held.clear()
        self.pause_s = None

    async def feed(self, head: ResponseHead, data: bytes) -> None:
        """Relay complete events; the head is sent with the first one that has content.

        Raises ``BackendResponseError`` if an event is missing.
        """
        self._turns.begin()
        for event in self.run.splitter.feed(data):
            await self._turns.step()
            events = self.events
            if event.has_content:
                await self._relay_content(head, event)
            elif self._answer.has_started:
                await self._answer.write(event.data)
            else:
                self._held += event.data
            self._require_progress(len(event.data), self.events > events)

    async def _relay_content(self, head: ResponseHead, event: StreamEvent) -> None:
        is_first = self.run.is_first
        if is_first:
            self.run.is_first = False
            self.on_continued()
            self.on_first_event()
        if not self._is_next(event):
            return
        if not self.events:
            self.on_begin()
        if not self._answer.has_started:
            self._answer.start(head)
        await self._answer.write(self._take_held() + event.data)
        self._note_time(is_first)
        if event.event_id is not None:
            self.last_id = event.event_id

    def _require_progress(self, size: int, is_progress: bool) -> None:
        """Raise if the stream has brought nothing new for too many bytes."""
        run = self.run
        run.bytes_since_progress = 0 if is_progress else run.bytes_since_progress + size
        if run.bytes_since_progress > MAX_EVENT_BYTES:
            raise ResponseTooLarge(f"{MAX_EVENT_BYTES} bytes of the stream brought nothing new")

    def _take_held(self) -> bytes:
        held = bytes(self._held)
        self._held.clear()
        return held

    def _note_time(self, is_first_of_run: bool) -> None:
        now_s = boot_time_s()
        self.events += 1
        if self.first_s is None:
            self.first_s = now_s
        else:
            self.longest_gap_s = max(self.longest_gap_s, now_s - self.last_s)
        self.pause_s = None if is_first_of_run else now_s - self.last_s
        self.last_s = now_s

    async def end(self, head: ResponseHead) -> None:
        """End the stream; raises ``BackendResponseError`` if it was broken off.

        That is so if its last event is incomplete. Where only the end of the connection ends a
        stream, one without any event was broken off as well: its engine may have crashed.
        """
        is_cut = bool(self.run.splitter.rest.strip())
        if not head.is_framed and (is_cut or self.run.is_first):
            raise BackendConnectionClosed("the connection ended in the middle of the stream")
        if is_cut:
            raise BackendResponseError("the stream ended in the middle of an event")
        self.on_continued()
        if not self._answer.has_started:
            self._answer.start(head)
        if held := self._take_held():
            await self._answer.write(held)
        await self._answer.end()

    def _is_next(self, event: StreamEvent) -> bool:
        """Return False for a duplicate; raises ``BackendResponseError`` if an earlier event is
        missing."""
        if event.event_id is None or self.last_id is None:
            return True
        if event.event_id <= self.last_id:
            return False
        if event.event_id > self.last_id + 1:
            raise BackendResponseError(f"event {self.last_id + 1} is missing from the stream")
        return True
