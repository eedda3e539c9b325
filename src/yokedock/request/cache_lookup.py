"""Asks the engines which of them still keep a prompt in their prefix cache.

A caller that goes on with a broken stream may come to a router that never saw it. To read its
prompt again is waste, so all engines are asked at once; who does not answer soon keeps nothing.
"""

from __future__ import annotations

import asyncio

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.connection.backend_pool import BackendPool
from yokedock.connection.dialect import Dialect, PromptPart
from yokedock.connection.short_call import CallLimits, short_call
from yokedock.errors import EngineRejected
from yokedock.request.backend_life import Backend
from yokedock.request.backend_registry import BackendRegistry
from yokedock.request.routed_call import RoutedCall
from yokedock.router_errors import BackendBroken, BackendUnreachable

_log = logger("cache")

ANSWER_LIMITS = CallLimits(connect_s=0.05, answer_s=0.06)
LIST_LIFETIME_S = 0.4
"""A list serves all requests of this time: callers whose router died come back together."""
KEPT_SHARE = 0.5
"""An engine that keeps less of a prompt is no better than any other."""
BLOCK_SLACK = 64
"""Tokens at the end of a part that an engine may not count: memory goes by blocks."""
OK = 200


def kept_tokens(listed: dict[str, int], parts: tuple[PromptPart, ...]) -> int:
    """Return how many tokens of a prompt need not be read: behind a gap nothing counts.

    ``listed`` are the tokens that an engine keeps of each part.
    """
    tokens = 0
    for part in parts:
        kept = min(part.tokens, listed.get(part.part_id, 0))
        tokens += kept
        if kept < part.tokens - BLOCK_SLACK:
            break
    return tokens


class CacheLookup:
    """Finds engines that keep a prompt."""

    def __init__(self, registry: BackendRegistry, pool: BackendPool, dialect: Dialect) -> None:
        """Share the process's backends and connections."""
        self._registry = registry
        self._pool = pool
        self._dialect = dialect
        self._lists: dict[str, tuple[float, asyncio.Future[dict[str, int]]]] = {}

    async def engines_with_prompt(self, call: RoutedCall) -> set[str]:
        """Return the names of the engines that keep most of the call's prompt."""
        terms = call.terms.generation
        if terms is None or not terms.parts:
            return set()
        # A limited engine's permits are for requests: a list is only a hint.
        usable = self._registry.usable(call.service.name)
        engines = [engine for engine in usable if engine.limit.per_s is None]
        # Others wait for the same lists: a caller who leaves must not end them.
        lists = await asyncio.gather(*(asyncio.shield(self._list_of(engine)) for engine in engines))
        least = KEPT_SHARE * terms.prompt_tokens
        found = {
            engine.name
            for engine, listed in zip(engines, lists, strict=True)
            if kept_tokens(listed, terms.parts) >= least
        }
        _log.info("prompt sought", request=call.request_id, kept_at=sorted(found))
        return found

    def drop_stale(self) -> None:
        """Drop lists that are too old to be used."""
        oldest_s = boot_time_s() - LIST_LIFETIME_S
        for name, (asked_s, listed) in list(self._lists.items()):
            if asked_s < oldest_s and listed.done():
                del self._lists[name]

    def size(self) -> int:
        """Return how many lists are kept."""
        return len(self._lists)

    def _list_of(self, engine: Backend) -> asyncio.Future[dict[str, int]]:
        """Return an engine's list, asked for a moment ago or now: the question costs it time."""
        now_s = boot_time_s()
        asked_s, listed = self._lists.get(engine.name, (0.0, None))
        if listed is None or now_s - asked_s > LIST_LIFETIME_S:
            listed = asyncio.ensure_future(self._ask(engine))
            self._lists[engine.name] = (now_s, listed)
        return listed

    async def _ask(self, engine: Backend) -> dict[str, int]:
        """Return the tokens that ``engine`` keeps by part, nothing if it does not tell."""
        question = self._dialect.cache_list_call()
        try:
            sent_s = boot_time_s()
            answer = await short_call(self._pool, engine.entry.address, question, ANSWER_LIMITS)
            notes = self._dialect.answer_notes(answer.head)
            now_s = boot_time_s()
            engine.take_notices(notes, now_s, answer.opened_ms, sent_s, answer.sent_ms)
            if answer.status == OK:
                return self._dialect.cached_parts(answer.body)
        except (BackendUnreachable, BackendBroken, EngineRejected) as error:
            _log.info("no list", engine=engine.name, reason=error.message)
        return {}
