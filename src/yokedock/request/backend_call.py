"""Short calls of the router's own to a backend, such as role orders and cache listings."""

from __future__ import annotations

from yokedock.base.clock import boot_time_s
from yokedock.connection.backend_pool import BackendPool
from yokedock.connection.dialect import Dialect
from yokedock.connection.short_call import CallLimits, ShortAnswer, ShortCall, short_call
from yokedock.request.backend_incarnation import Backend


async def call_backend(
    pool: BackendPool, dialect: Dialect, backend: Backend, call: ShortCall, limits: CallLimits
) -> ShortAnswer:
    """Return the backend's response, whose notices are applied to the backend.

    Raises ``BackendUnreachable`` or ``BackendResponseError``.
    """
    sent_s = boot_time_s()
    answer = await short_call(pool, backend.entry.address, call, limits)
    notices = dialect.response_metadata(answer.head)
    backend.apply_notices(notices, boot_time_s(), answer.opened_ms, sent_s, answer.sent_ms)
    return answer
