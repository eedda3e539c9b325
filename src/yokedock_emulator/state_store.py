"""A stand-in of the users' metadata store: what operators and backends write, as routers read it.

It answers the two reading calls that the router makes. History is dropped only by a restore from a
backup, which loses the newest revisions and assigns them again.
"""

from __future__ import annotations

import asyncio
import base64
from urllib.parse import parse_qs, urlsplit

import msgspec

from yokedock.base.ordered_set import OrderedSet
from yokedock.platform.documents import StoredConfiguration, StoredServer
from yokedock.platform.store import (
    CONFIGURATION_KEY,
    HISTORY_GONE,
    OK,
    PREFIX_FIELD,
    RANGE_PATH,
    SERVERS_PREFIX,
    WAIT_FIELD,
    WATCH_PATH,
    RangePage,
    WatchAnswer,
)
from yokedock.platform.stored_items import StoredItem, encode_items
from yokedock_emulator.plain_http import PlainRequest, complete_response, listen, read_request

MS_PER_SECOND = 1000
ERA_HEADER = "Store-Era"


class StateStore:
    """Items by key, each with the revision of its last change. Used from one event loop."""

    def __init__(self) -> None:
        """Start empty."""
        self.reports_era = True
        """Whether answers name the era, which increases with each restore."""
        self.calls = 0
        """Calls that were answered."""
        self._era = 1
        self._is_offline = False
        self._writers: OrderedSet[asyncio.StreamWriter] = OrderedSet()
        self._items: dict[str, StoredItem] = {}
        self._events: list[StoredItem] = []
        self._revision = 0
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self, host: str = "127.0.0.1") -> None:
        """Listen on any free port of ``host``."""
        self._server, self.address = await listen(self._serve, host)

    def stop(self) -> None:
        """Accept no more connections."""
        if self._server is not None:
            self._server.close()

    def publish(self, configuration: StoredConfiguration) -> None:
        """Write the operator's configuration."""
        self._put(CONFIGURATION_KEY, msgspec.json.encode(configuration))

    def put_server(self, instance: str, server: StoredServer) -> None:
        """Write the entry of one backend."""
        self.put_entry(instance, msgspec.json.encode(server))

    def put_entry(self, instance: str, document: bytes) -> None:
        """Write any bytes in the place of an entry."""
        self._put(SERVERS_PREFIX + instance, document)

    def remove_server(self, instance: str) -> None:
        """Remove the entry of one backend; does nothing if a restored backup lacks it."""
        key = SERVERS_PREFIX + instance
        if self._items.pop(key, None) is None:
            return
        self._revision += 1
        self._note(StoredItem(key, revision=self._revision, gone=True))

    def contains_configuration(self, configuration: StoredConfiguration) -> bool:
        """Return whether the store holds exactly this configuration."""
        return self._contains(CONFIGURATION_KEY, msgspec.json.encode(configuration))

    def contains_server(self, instance: str, server: StoredServer) -> bool:
        """Return whether the store holds exactly this entry for a backend."""
        return self._contains(SERVERS_PREFIX + instance, msgspec.json.encode(server))

    def _contains(self, key: str, value: bytes) -> bool:
        item = self._items.get(key)
        return item is not None and item.value == base64.b64encode(value).decode()

    def go_offline(self) -> None:
        """Reset all connections, and new ones until ``go_online`` is called."""
        self._is_offline = True
        for writer in self._writers:
            writer.transport.abort()

    def go_online(self) -> None:
        """Resume answering."""
        self._is_offline = False

    def restore_backup(self, lost: int) -> None:
        """Restore a backup that lacks the newest ``lost`` revisions, which are assigned again."""
        self._revision = max(0, self._revision - lost)
        self._events = [event for event in self._events if event.revision <= self._revision]
        self._items = {}
        for event in self._events:
            if event.gone:
                del self._items[event.key]
            else:
                self._items[event.key] = event
        self._era += 1

    def _put(self, key: str, value: bytes) -> None:
        self._revision += 1
        item = StoredItem(key, base64.b64encode(value).decode(), self._revision)
        self._items[key] = item
        self._note(item)

    def _note(self, event: StoredItem) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while not self._is_offline and (request := await read_request(reader)) is not None:
                answer = await self._answer(request)
                if not self._is_offline and not self._is_silenced(writer):
                    writer.write(answer)
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            if self._is_offline:
                writer.transport.abort()
            else:
                writer.close()

    def _is_silenced(self, writer: asyncio.StreamWriter) -> bool:
        """Return whether answers on a connection are suppressed; subclasses override this."""
        return False

    async def _answer(self, request: PlainRequest) -> bytes:
        """Return the encoded answer to a request."""
        status, document = await self._handle(request)
        self.calls += 1
        headers = [(ERA_HEADER, str(self._era))] if self.reports_era else []
        return complete_response(status, headers, msgspec.json.encode(document))

    async def _handle(self, request: PlainRequest) -> tuple[int, RangePage | WatchAnswer | None]:
        """Return the status and the document of the answer to a request."""
        url = urlsplit(request.target)
        if url.path == RANGE_PATH:
            prefix = parse_qs(url.query).get(PREFIX_FIELD, [""])[0]
            found = [item for key, item in self._items.items() if key.startswith(prefix)]
            return OK, RangePage(encode_items(found), more=False, at=self._revision)
        if url.path == WATCH_PATH:
            query = parse_qs(url.query)
            wait_s = int(query[WAIT_FIELD][0]) / MS_PER_SECOND
            return await self._watch(int(query["after"][0]), wait_s)
        return OK, None

    async def _watch(self, after: int, wait_s: float) -> tuple[int, WatchAnswer]:
        """Return what changed after a revision, as soon as something has."""
        if after > self._revision:
            return HISTORY_GONE, WatchAnswer()
        if after == self._revision:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                return OK, WatchAnswer((), self._revision)
        newer = tuple(event for event in self._events if event.revision > after)
        return OK, WatchAnswer(encode_items(newer), self._revision)
