"""Admission control: in-flight limits of the gateway, of each class and of each tenant."""

from __future__ import annotations

import collections
import threading
from collections.abc import Iterator
from contextlib import contextmanager

from yokedock.errors import ClassLimitReached, GatewayFull, NotReady, TenantLimitReached
from yokedock.request.context import CallerIdentity
from yokedock.version.bundle import Bundle

RETRY_AFTER_S = 1.0


class Admission:
    """Counts requests in flight and enforces the limits. Thread-safe."""

    def __init__(self, max_in_flight: int) -> None:
        """``max_in_flight`` is the limit of the whole gateway."""
        self._max_in_flight = max_in_flight
        self._lock = threading.Lock()
        self._total = 0
        self._by_tenant: collections.Counter[str] = collections.Counter()
        self._by_class: collections.Counter[str] = collections.Counter()
        self._is_closed = False

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight."""
        return self._total

    def close(self) -> None:
        """Reject all further requests, since the gateway is stopping."""
        self._is_closed = True

    @contextmanager
    def admitted(self, caller: CallerIdentity, bundle: Bundle) -> Iterator[None]:
        """Count one request as in flight; raises ``Refused`` at once if a limit is reached."""
        self._enter(caller, bundle)
        try:
            yield
        finally:
            self._leave(caller)

    def _enter(self, caller: CallerIdentity, bundle: Bundle) -> None:
        tenant_limit = bundle.tenants[caller.tenant].max_in_flight
        class_limit = caller.request_class.max_in_flight
        with self._lock:
            if self._is_closed:
                raise NotReady("this gateway is stopping; retry the request", RETRY_AFTER_S)
            if self._total >= self._max_in_flight:
                raise GatewayFull(
                    "this gateway has reached its limit of requests in flight; retry later",
                    RETRY_AFTER_S,
                )
            if self._by_tenant[caller.tenant] >= tenant_limit:
                message = (
                    f"the tenant's limit of {tenant_limit} requests in flight is reached; "
                    "retry later"
                )
                raise TenantLimitReached(message, RETRY_AFTER_S)
            if self._by_class[caller.class_name] >= class_limit:
                message = (
                    f"the class's limit of {class_limit} requests in flight is reached; retry later"
                )
                raise ClassLimitReached(message, RETRY_AFTER_S)
            self._total += 1
            self._by_tenant[caller.tenant] += 1
            self._by_class[caller.class_name] += 1

    def _leave(self, caller: CallerIdentity) -> None:
        with self._lock:
            self._total -= 1
            self._by_tenant[caller.tenant] -= 1
            self._by_class[caller.class_name] -= 1


class RetryBudget:
    """Token bucket for retries.

    Limits retries to a share of the requests, so that a fault does not multiply the load.
    """

    def __init__(self, reserve: float = 10.0) -> None:
        """Start with ``reserve`` retries, which is also the capacity of the bucket."""
        self._capacity = reserve
        self._tokens = reserve
        self._lock = threading.Lock()

    def add_request(self, share: float) -> None:
        """Add the share of a retry that one request earns."""
        with self._lock:
            self._tokens = min(self._capacity, self._tokens + share)

    def take(self) -> bool:
        """Take one retry; return whether one was available."""
        with self._lock:
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True
