"""Holds: room that an engine itself sets aside before a prompt is read elsewhere for it.

The ledger tells where room should be; only the engine knows, and only it decides between two
routers that ask at the same moment. A refused hold costs a question, a refused answer the reading.
"""

from __future__ import annotations

import asyncio
import time

import msgspec

from yokedock.base.logs import logger
from yokedock.connection.backend_pool import BackendPool
from yokedock.connection.dialect import Dialect, HoldOrder
from yokedock.connection.short_call import CallLimits, ShortAnswer, ShortCall, short_call
from yokedock.errors import EngineRejected
from yokedock.request.backend_registry import Backend
from yokedock.router_errors import BackendBroken, BackendSilent, BackendUnreachable, RoomRefused

_log = logger("hold")

LIMITS = CallLimits(connect_s=0.15, answer_s=0.15)
"""As long as an engine has to accept a connection: who is slower is asked for no answer either."""
DROP_LIMITS = CallLimits(connect_s=1.0, answer_s=1.0)
OK = 200
FULL = 503
ELSEWHERE = 421


class Hold(msgspec.Struct, frozen=True):
    """Room that an engine has set aside."""

    address: str
    hold_id: str


class RoomHolds:
    """Takes holds and drops those that served nobody."""

    def __init__(self, pool: BackendPool, dialect: Dialect) -> None:
        """Share the process's connections."""
        self._pool = pool
        self._dialect = dialect
        self._drops: set[asyncio.Task[None]] = set()

    async def take(self, engine: Backend, tokens: int, hold_s: float) -> Hold | None:
        """Return a hold of a slot and ``tokens``; None from an engine that does not say.

        Raises ``RoomRefused`` where there is no room, or no answer, ``BackendUnreachable``.
        """
        address = engine.entry.address
        call = self._dialect.hold_call(HoldOrder(engine.name, tokens, max(1, round(hold_s * 1000))))
        try:
            answer = await self._ask(address, call)
            if answer.status == OK:
                return Hold(address, self._dialect.hold_id(answer.body))
        except BackendBroken as error:
            raise RoomRefused(error.message) from None
        except EngineRejected as error:
            _log.info("no hold", engine=engine.name, reason=error.message)
            return None
        if answer.status in (FULL, ELSEWHERE):
            raise RoomRefused(f"{engine.name} holds no room: {answer.status}")
        _log.info("no hold", engine=engine.name, reason=f"status {answer.status}")
        return None

    async def _ask(self, address: str, call: ShortCall) -> ShortAnswer:
        """Ask; once more on a new connection where an open one, and maybe all, fell silent."""
        asked_s = time.monotonic()
        try:
            return await short_call(self._pool, address, call, LIMITS)
        except BackendSilent:
            self._pool.drop_quiet(address, asked_s)
            return await short_call(self._pool, address, call, LIMITS)

    def drop(self, hold: Hold) -> None:
        """Give a hold back in the background; it lapses in any case."""
        task = asyncio.create_task(self._send_drop(hold))
        self._drops.add(task)
        task.add_done_callback(self._drops.discard)

    async def _send_drop(self, hold: Hold) -> None:
        call = ShortCall(b"DELETE", self._dialect.hold_target(hold.hold_id))
        try:
            await short_call(self._pool, hold.address, call, DROP_LIMITS)
        except (BackendUnreachable, BackendBroken) as error:
            _log.info("drop lost, the hold lapses", address=hold.address, reason=error.message)
