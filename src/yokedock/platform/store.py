"""Client of the platform's metadata store: reads routes and backends and watches for changes."""

from __future__ import annotations

import base64
import functools
from collections.abc import Callable
from typing import Annotated, TypeVar
from urllib.parse import quote

import msgspec

from yokedock.base.json_repair import repair
from yokedock.base.link_meter import LinkMeter
from yokedock.base.logs import logger
from yokedock.connection.entry_validation import MAX_INTEGER
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
from yokedock.platform.stored_items import InvalidItem, StoredItem, decode_items
from yokedock.router_errors import HistoryUnavailable, ResponseTooLarge
from yokedock.version.route_table import RouteTable

_log = logger("store")

CONFIGURATION_KEY = "op/config"
SERVERS_PREFIX = "servers/"
RANGE_PATH = "/kv-range"
WATCH_PATH = "/kv-watch"
PREFIX_FIELD = "pathPrefix"
WAIT_FIELD = "waitMs"
ERA_HEADER = b"store-era"
Document = TypeVar("Document")
ALL_KEYS = ""
NO_KEYS = f"{CONFIGURATION_KEY}/"
"""Prefix of no key: a range read of it returns the revision alone."""
OK = 200
MS_PER_SECOND = 1000
HISTORY_GONE = 410
CONNECT_TIMEOUT_S = 0.5
READ_TIMEOUT_S = 1.0
WATCH_SLACK_S = 0.4
"""Allowed delay of a response after the time at which the watch ends."""
MAX_ANSWER_DEPTH = 8
"""Nesting down to which a response is decoded that could not be decoded whole; items are at 3."""
MAX_CHANGES_RATIO = 1.5
"""Maximum size of a watch response, as a multiple of the last full read. A watch that starts far
behind returns every later version in full, and only the newest of each item is of use."""
MAX_DIGITS = 18
"""Maximum number of decimal digits of an era, so that it fits into 64 bits."""
MAX_LOGGED_ITEMS = 1_000
"""Maximum number of items remembered as already logged (150 kB). More invalid items than this are a
flood, of which only the latest are remembered."""
MAX_LOGGED_CHARS = 200
"""Maximum number of characters of a reason or era in the log."""
MIN_CHANGES_LIMIT_BYTES = 65_536
"""Lower bound of the size limit for watch responses; takes 0.1 s on a link of 5 Mbit/s."""


Revision = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]


class RangePage(msgspec.Struct, frozen=True):
    """One page of a range read; each item is decoded by itself."""

    items: tuple[msgspec.Raw, ...] = ()
    more: bool = False
    at: Revision = 0


class WatchAnswer(msgspec.Struct, frozen=True):
    """The changes returned by a watch; each is decoded by itself."""

    events: tuple[msgspec.Raw, ...] = ()
    at: Revision = 0


class PlatformStore(StateSource):
    """Reads the configuration ``op/config`` and the backends under ``servers/`` from the store."""

    is_shared = True

    def __init__(self, address: str) -> None:
        """Create a client of the store at ``address`` (IP:port)."""
        self._getter = HttpGetter(address, CONNECT_TIMEOUT_S)
        self._position_getter = HttpGetter(address, CONNECT_TIMEOUT_S)
        self._logged: dict[str, int] = {}
        """Revisions of items that could not be decoded, by key, so that each is logged once."""
        self._full_read_bytes = 0
        """Size of the latest full read."""
        self._last_era = ""
        """Value of the Store-Era header in the latest response, empty if it was absent."""

    def use_link(self, link: LinkMeter) -> None:
        """Have ``link`` count the bytes that are exchanged with the store."""
        self._getter.use_link(link)
        self._position_getter.use_link(link)

    async def read(self) -> StateSnapshot:
        """Read and return the current configuration and all servers."""
        items: dict[str, StoredItem] = {}
        position: SourcePosition | None = None
        size = 0
        after = ""
        while True:
            target = f"{RANGE_PATH}?{PREFIX_FIELD}={ALL_KEYS}"
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
                raise HistoryUnavailable("the store was restored from a backup during a read")
            position = page_position if position is None else position
            page_items = decode_items(page.items)
            items |= {item.key: item for item in page_items}
            if not page.more or not page.items:
                break
            after = _next_page_key(page_items, after)
        self._full_read_bytes = size
        changes = items_to_changes(tuple(items.values()), position, self.is_unreported)
        backends = {entry.instance: entry for entry in changes.changed}
        return StateSnapshot(position, changes.table, backends, changes.undecoded)

    async def wait(self, position: SourcePosition, max_duration_s: float) -> StateChanges:
        """Return the changes after ``position``, or none if there are none within
        ``max_duration_s``."""
        wait_ms = round(max_duration_s * MS_PER_SECOND)
        target = f"{WATCH_PATH}?{PREFIX_FIELD}={ALL_KEYS}&after={position.revision}"
        target += f"&{WAIT_FIELD}={wait_ms}"
        max_bytes = max(MIN_CHANGES_LIMIT_BYTES, round(MAX_CHANGES_RATIO * self._full_read_bytes))
        try:
            answer = await self._getter.get(target, max_duration_s + WATCH_SLACK_S, max_bytes)
        except ResponseTooLarge as error:
            raise HistoryUnavailable(
                f"the changes are over the size limit; a full read is smaller: {error}"
            ) from None
        era = self._reported_era(answer)
        if answer.status == HISTORY_GONE:
            raise HistoryUnavailable(f"the store has no changes after revision {position.revision}")
        watched = _decode(answer, WatchAnswer)
        events = decode_items(watched.events)
        return items_to_changes(events, SourcePosition(era, watched.at), self.is_unreported)

    async def current_position(self) -> SourcePosition:
        """Return the store's revision; its reads are linearizable."""
        target = f"{RANGE_PATH}?{PREFIX_FIELD}={quote(NO_KEYS, safe='')}"
        try:
            answer = await self._position_getter.get(target, READ_TIMEOUT_S)
        except ResponseTooLarge as error:
            raise PlatformUnavailable(error.message) from None
        era = self._reported_era(answer)
        return SourcePosition(era, _decode(answer, RangePage).at)

    def _reported_era(self, answer: ShortAnswer) -> int:
        """Return the era of a response, ``NO_ERA`` if absent or malformed; log any change."""
        era = answer.head.get(ERA_HEADER) or ""
        if era != self._last_era:
            _log.info(
                "store era changed",
                era=era[:MAX_LOGGED_CHARS],
                before=self._last_era[:MAX_LOGGED_CHARS],
            )
            self._last_era = era
        return int(era) if era.isascii() and era.isdecimal() and len(era) <= MAX_DIGITS else NO_ERA

    def is_unreported(self, item: StoredItem) -> bool:
        """Return whether this revision of an undecodable item is new, and remember it as logged."""
        is_new = self._logged.pop(item.key, None) != item.revision
        self._logged[item.key] = item.revision
        if len(self._logged) > MAX_LOGGED_ITEMS:
            del self._logged[next(iter(self._logged))]
        return is_new

    def size(self) -> int:
        """Return the number of undecodable items that are remembered."""
        return len(self._logged)

    def received_fraction(self) -> float:
        """Return the received fraction of the current response."""
        return self._getter.received_fraction()


def _decode(answer: ShortAnswer, kind: type[Document]) -> Document:
    if answer.status != OK:
        raise PlatformUnavailable(f"the store responded with status {answer.status}")
    try:
        try:
            return msgspec.json.decode(answer.body, type=kind)
        except (msgspec.DecodeError, RecursionError):
            return msgspec.json.decode(repair(answer.body, MAX_ANSWER_DEPTH), type=kind)
    except msgspec.MsgspecError as error:
        raise PlatformUnavailable(f"the store's response cannot be decoded: {error}") from None


def _next_page_key(items: tuple[StoredItem, ...], previous: str) -> str:
    """Return the key after which the next page begins; raises ``PlatformUnavailable``."""
    keys = [item.key for item in items if not isinstance(item, InvalidItem) or item.is_named]
    if not keys or keys[-1] == previous:
        raise PlatformUnavailable("a page of the store names no key after which the next begins")
    return keys[-1]


def items_to_changes(
    items: tuple[StoredItem, ...],
    position: SourcePosition,
    is_unreported: Callable[[StoredItem], bool] = lambda item: True,
) -> StateChanges:
    """Convert items to changes; undecodable items are listed, and logged if ``is_unreported`` is
    true.

    An undecodable server entry removes the backend of that name; an undecodable configuration
    leaves the route table unchanged.
    """
    table: RouteTable | None = None
    undecoded: list[str] = []
    last: dict[str, BackendEntry | None] = {}
    versions: dict[str, set[tuple[str, str]]] = {}
    for item in items:
        if item.key == CONFIGURATION_KEY and not item.gone:
            decoded = _decode_item(route_table, item, is_unreported)
            if decoded is None:
                undecoded.append(CONFIGURATION_KEY)
            table = decoded or table
        elif item.key.startswith(SERVERS_PREFIX):
            instance = item.key[len(SERVERS_PREFIX) :]
            read = functools.partial(backend_entry, instance, revision=item.revision)
            entry = None if item.gone else _decode_item(read, item, is_unreported)
            last[instance] = entry
            if entry is not None:
                versions.setdefault(instance, set()).add((entry.service, entry.version))
            if entry is None and not item.gone:
                undecoded.append(instance)
        elif isinstance(item, InvalidItem) and not item.is_named:
            _log_undecoded(item, item.reason, is_unreported)
            undecoded.append(item.key)
    changed = tuple(entry for entry in last.values() if entry is not None)
    gone = tuple(instance for instance, entry in last.items() if entry is None)
    for entry in changed:
        versions[entry.instance].discard((entry.service, entry.version))
    omitted = tuple(sorted(set().union(*versions.values())))
    return StateChanges(position, table, changed, gone, tuple(undecoded), omitted)


def _decode_item(
    read: Callable[[bytes], Document], item: StoredItem, is_unreported: Callable[[StoredItem], bool]
) -> Document | None:
    """Return the decoded value of an item, None if it cannot be decoded."""
    try:
        if isinstance(item, InvalidItem):
            raise ValueError(item.reason)
        return read(base64.b64decode(item.value, validate=True))
    except (ValueError, RecursionError) as error:
        _log_undecoded(item, str(error), is_unreported)
        return None


def _log_undecoded(
    item: StoredItem, reason: str, is_unreported: Callable[[StoredItem], bool]
) -> None:
    if is_unreported(item):
        reason = reason[:MAX_LOGGED_CHARS]
        _log.warning("not understood", key=item.key, revision=item.revision, reason=reason)
