"""Queries the engines for prompts that are still in their prefix cache.

A caller that resumes a broken stream may reach a router that has no record of it. To avoid another
prefill of its prompt, all engines are queried at once; an engine that does not answer in time is
taken not to have the prompt.
"""

from __future__ import annotations

import asyncio

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.connection.backend_pool import BackendPool
from yokedock.connection.dialect import Dialect, PromptPart
from yokedock.connection.short_call import CallLimits
from yokedock.errors import EngineRejected
from yokedock.request.backend_call import call_backend
from yokedock.request.backend_incarnation import Backend
from yokedock.request.backend_registry import BackendRegistry
from yokedock.request.routed_call import RoutedCall
from yokedock.router_errors import BackendResponseError, BackendUnreachable

_log = logger("cache")

ANSWER_LIMITS = CallLimits(connect_s=0.05, response_s=0.06)
LISTING_TTL_S = 0.4
"""A listing is shared by all requests within this time: the callers of a router that crashed
reconnect all at once."""
MIN_CACHED_SHARE = 0.5
"""An engine that has cached a smaller share of a prompt is not preferred over others."""
BLOCK_SLACK = 64
"""Tokens at the end of a part that a listing may omit, since engines cache whole blocks only."""
OK = 200


def cached_prompt_tokens(listed: dict[str, int], parts: tuple[PromptPart, ...]) -> int:
    """Return the number of leading prompt tokens that need no prefill; tokens after a gap do.

    ``listed`` maps the id of each part to the number of its tokens that the engine has cached.
    """
    tokens = 0
    for part in parts:
        kept = min(part.tokens, listed.get(part.part_id, 0))
        tokens += kept
        if kept < part.tokens - BLOCK_SLACK:
            break
    return tokens


class CacheLookup:
    """Finds engines that have a prompt in their prefix cache."""

    def __init__(self, registry: BackendRegistry, pool: BackendPool, dialect: Dialect) -> None:
        """Use the process-wide backend registry and connection pool."""
        self._registry = registry
        self._pool = pool
        self._dialect = dialect
        self._lists: dict[str, tuple[float, asyncio.Future[dict[str, int]]]] = {}

    async def engines_with_prompt(self, call: RoutedCall) -> set[str]:
        """Return the names of engines with at least ``MIN_CACHED_SHARE`` of the call's prompt
        cached."""
        terms = call.terms.generation
        if terms is None or not terms.parts:
            return set()
        least = MIN_CACHED_SHARE * terms.prompt_tokens
        found = {
            engine.name
            for engine, listed in await self._listings(call.service.name)
            if cached_prompt_tokens(listed, terms.parts) >= least
        }
        _log.info("prompt sought", request=call.request_id, kept_at=sorted(found))
        return found

    async def engines_with_last_part(self, call: RoutedCall) -> list[Backend]:
        """Return the engines that have cached the last part of the call's prompt completely.

        The last part belongs to one request or session, so these engines have processed it.
        """
        terms = call.terms.generation
        if terms is None or not terms.parts:
            return []
        last = terms.parts[-1]
        return [
            engine
            for engine, listed in await self._listings(call.service.name)
            if 0 < last.tokens - BLOCK_SLACK <= listed.get(last.part_id, 0)
        ]

    async def _listings(self, service: str) -> list[tuple[Backend, dict[str, int]]]:
        """Return the engines of a service with their listings."""
        # Permits of a rate-limited engine are kept for requests; a listing is only a hint.
        usable = self._registry.usable(service)
        engines = [engine for engine in usable if engine.limit.per_s is None]
        # Other requests await the same listings, so a cancelled request must not cancel them.
        lists = await asyncio.gather(
            *(asyncio.shield(self._listing_of(engine)) for engine in engines)
        )
        return list(zip(engines, lists, strict=True))

    def evict_expired(self) -> None:
        """Remove listings that have expired."""
        oldest_s = boot_time_s() - LISTING_TTL_S
        for name, (asked_s, listed) in list(self._lists.items()):
            if asked_s < oldest_s and listed.done():
                del self._lists[name]

    def size(self) -> int:
        """Return the number of cached listings."""
        return len(self._lists)

    def _listing_of(self, engine: Backend) -> asyncio.Future[dict[str, int]]:
        """Return the engine's listing, reusing a recent one since each query costs engine time."""
        now_s = boot_time_s()
        asked_s, listed = self._lists.get(engine.name, (0.0, None))
        if listed is None or now_s - asked_s > LISTING_TTL_S:
            listed = asyncio.ensure_future(self._ask(engine))
            self._lists[engine.name] = (now_s, listed)
        return listed

    async def _ask(self, engine: Backend) -> dict[str, int]:
        """Return the cached tokens of ``engine`` by part; empty if the query fails."""
        question = self._dialect.cache_list_request()
        try:
            answer = await call_backend(self._pool, self._dialect, engine, question, ANSWER_LIMITS)
            if answer.status == OK:
                return self._dialect.cached_parts(answer.body)
        except (BackendUnreachable, BackendResponseError, EngineRejected) as error:
            _log.info("cache listing failed", engine=engine.name, reason=error.message)
        return {}
