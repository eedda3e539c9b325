"""The platform's metadata store: its reading calls, as a source of routes and backends."""

from __future__ import annotations

import base64
import functools
from collections.abc import Callable
from typing import TypeVar
from urllib.parse import quote

import msgspec

from yokedock.base.logs import logger
from yokedock.connection.http_get import HttpGetter
from yokedock.connection.short_call import ShortAnswer
from yokedock.connection.source_position import NO_ERA, SourcePosition
from yokedock.connection.state_source import (
    BackendEntry,
    StateChanges,
    StateSnapshot,
    StateSource,
)
from yokedock.errors import PlatformUnavailable
from yokedock.platform.documents import backend_entry, route_table
from yokedock.router_errors import AnswerTooLong, HistoryGone
from yokedock.version.route_table import RouteTable

_log = logger("store")

CONFIGURATION_KEY = "op/config"
SERVERS_PREFIX = "servers/"
RANGE_PATH = "/kv-range"
WATCH_PATH = "/kv-watch"
WAIT_FIELD = "waitMs"
ERA_HEADER = b"store-era"
Document = TypeVar("Document")
EVERYTHING = ""
OK = 200
MS_A_SECOND = 1000
HISTORY_GONE = 410
CONNECT_TIMEOUT_S = 0.5
READ_TIMEOUT_S = 1.0
WATCH_SLACK_S = 0.4
"""An answer may come so much later than the watch was to end."""
MOST_CHANGES = 1.5
"""Changes may have this many times the bytes of everything read at once: a watch from far behind
brings every version since, each whole, and all but the newest are of no use."""
MOST_DIGITS = 18
"""Decimal digits of the longest era that is accepted: it fits 64 bits."""
MOST_LOGGED = 1_000
"""Items that are remembered as logged, 150 kB; more are a flood."""
MOST_REASON = 200
"""Characters of a reason in the log."""
ALWAYS_READ_BYTES = 65_536
"""Changes up to this size are always read: 0.1 s on a link of 5 Mbit/s."""


class StoredItem(msgspec.Struct, frozen=True):
    """One item, or that it is gone."""

    key: str = msgspec.field(name="privateKey")
    value: str = ""
    revision: int = 0
    gone: bool = False


class RangePage(msgspec.Struct, frozen=True):
    """One page of items."""

    items: tuple[StoredItem, ...] = ()
    more: bool = False
    at: int = 0


class WatchAnswer(msgspec.Struct, frozen=True):
    """What has changed."""

    events: tuple[StoredItem, ...] = ()
    at: int = 0


class PlatformStore(StateSource):
    """Reads ``op/config`` and ``servers/`` from the store."""

    is_shared = True

    def __init__(self, address: str) -> None:
        """Read from ``address`` (IP:port)."""
        self._getter = HttpGetter(address, CONNECT_TIMEOUT_S)
        self._logged: dict[str, int] = {}
        """Revisions of items that were not understood, by key: each is logged once."""
        self._whole_bytes = 0
        """Size of the newest whole read."""
        self._last_era = ""
        """Value of the Store-Era header in the latest answer, empty if it was absent."""

    async def read(self) -> StateSnapshot:
        """Return the newest configuration and all servers."""
        items: dict[str, StoredItem] = {}
        position: SourcePosition | None = None
        size = 0
        after = ""
        while True:
            target = f"{RANGE_PATH}?pathPrefix={EVERYTHING}"
            if after:
                target += f"&after={quote(after, safe='')}"
            answer = await self._getter.get(target, READ_TIMEOUT_S)
            era = self._reported_era(answer)
            page = _decode(answer, RangePage)
            size += len(answer.body)
            page_position = SourcePosition(era, page.at)
            if position is not None and (
                page_position.era != position.era or page_position < position
            ):
                raise HistoryGone("the store was restored from a backup during a read")
            position = page_position if position is None else position
            items |= {item.key: item for item in page.items}
            if not page.more or not page.items:
                break
            after = page.items[-1].key
        self._whole_bytes = size
        changes = translate(tuple(items.values()), position, self.is_news)
        backends = {entry.instance: entry for entry in changes.changed}
        return StateSnapshot(position, changes.table, backends, changes.undecoded)

    async def wait(self, position: SourcePosition, longest_s: float) -> StateChanges:
        """Return what has changed after ``position``, or nothing after ``longest_s``."""
        wait_ms = round(longest_s * MS_A_SECOND)
        target = f"{WATCH_PATH}?pathPrefix={EVERYTHING}&after={position.revision}"
        target += f"&{WAIT_FIELD}={wait_ms}"
        most_bytes = max(ALWAYS_READ_BYTES, round(MOST_CHANGES * self._whole_bytes))
        try:
            answer = await self._getter.get(target, longest_s + WATCH_SLACK_S, most_bytes)
        except AnswerTooLong as error:
            raise HistoryGone(f"all at once is less than what has changed: {error}") from None
        era = self._reported_era(answer)
        if answer.status == HISTORY_GONE:
            raise HistoryGone(f"the store has no changes after revision {position.revision}")
        watched = _decode(answer, WatchAnswer)
        return translate(watched.events, SourcePosition(era, watched.at), self.is_news)

    def _reported_era(self, answer: ShortAnswer) -> int:
        """Return the era of an answer, ``NO_ERA`` if absent or malformed; log when it changes."""
        era = answer.head.get(ERA_HEADER) or ""
        if era != self._last_era:
            _log.info(
                "store era changed", era=era[:MOST_REASON], before=self._last_era[:MOST_REASON]
            )
            self._last_era = era
        return int(era) if era.isascii() and era.isdecimal() and len(era) <= MOST_DIGITS else NO_ERA

    def is_news(self, item: StoredItem) -> bool:
        """Return whether an item that is not understood was not told of yet."""
        is_new = self._logged.pop(item.key, None) != item.revision
        self._logged[item.key] = item.revision
        if len(self._logged) > MOST_LOGGED:
            del self._logged[next(iter(self._logged))]
        return is_new

    def size(self) -> int:
        """Return how many items are remembered as not understood."""
        return len(self._logged)

    def share_read(self) -> float:
        """Return how much of the answer under way has come."""
        return self._getter.share_read()


def _decode(answer: ShortAnswer, kind: type[Document]) -> Document:
    if answer.status != OK:
        raise PlatformUnavailable(f"the store answered {answer.status}")
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except msgspec.MsgspecError as error:
        raise PlatformUnavailable(f"the store's answer is not understood: {error}") from None


def translate(
    items: tuple[StoredItem, ...],
    position: SourcePosition,
    is_news: Callable[[StoredItem], bool] = lambda item: True,
) -> StateChanges:
    """Turn items into changes; an item that is not understood is counted, and logged if news.

    Such an entry names no backend: whoever stood there is gone. Such a table changes nothing.
    """
    table: RouteTable | None = None
    undecoded: list[str] = []
    last: dict[str, BackendEntry | None] = {}
    for item in items:
        if item.key == CONFIGURATION_KEY and not item.gone:
            decoded = _decoded(route_table, item, is_news)
            if decoded is None:
                undecoded.append(CONFIGURATION_KEY)
            table = decoded or table
        elif item.key.startswith(SERVERS_PREFIX):
            instance = item.key[len(SERVERS_PREFIX) :]
            read = functools.partial(backend_entry, instance, revision=item.revision)
            entry = None if item.gone else _decoded(read, item, is_news)
            last[instance] = entry
            if entry is None and not item.gone:
                undecoded.append(instance)
    changed = tuple(entry for entry in last.values() if entry is not None)
    gone = tuple(instance for instance, entry in last.items() if entry is None)
    return StateChanges(position, table, changed, gone, tuple(undecoded))


def _decoded(
    read: Callable[[bytes], Document], item: StoredItem, is_news: Callable[[StoredItem], bool]
) -> Document | None:
    """Return what an item says, None if that is not understood."""
    try:
        return read(base64.b64decode(item.value, validate=True))
    except (ValueError, RecursionError) as error:
        if is_news(item):
            reason = str(error)[:MOST_REASON]
            _log.warning("not understood", key=item.key, revision=item.revision, reason=reason)
        return None
