"""Whether a replica may run an idempotency key for the first time.

Homes are chosen over the pool as the bundle lists it. When a bundle changes the pool, some keys get
another home while a process that is cut off may still use the old one. Two rules together keep a
key from running at both:

- a home that could not confirm its version with the configuration service for the service's
  ``confirm_version_s`` refuses first runs;
- a new home runs a key made before the change plus that time only after the old home has set a
  tombstone for it. If the old home cannot be asked, the outcome is unknown and nothing is run.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from yokedock.base.clock import boot_time_s
from yokedock.errors import NotRun, OutcomeUnknown, Refused, YokedockError
from yokedock.messages import AnyMessage, ServiceAnswer, Tombstone
from yokedock.request.idempotency import key_time_ms
from yokedock.version.bundle import Bundle, PreviousHome, PreviousPool
from yokedock.version.homes import home_of

ASK_TIMEOUT_S = 2.0
DEFAULT_CONFIRM_S = 60
"""Stands in for ``confirm_version_s`` where it is 0 (never refuse)."""


class VersionNotConfirmed(Refused):
    """The home cannot tell whether its version is still in force, so nothing was run."""

    code = "version_not_confirmed"


class AskAgent(Protocol):
    """Calls another agent."""

    def __call__(
        self, name: str, address: str, message: AnyMessage, timeout_s: float
    ) -> AnyMessage:
        """Return the reply; raises typed errors."""


class BundleHomeCheck:
    """Applies both rules for one replica."""

    def __init__(self, name: str, confirmed_s: Callable[[], float], ask: AskAgent) -> None:
        """``confirmed_s`` is the boot time at which the version was last confirmed."""
        self._name = name
        self._confirmed_s = confirmed_s
        self._ask = ask

    def confirm(self, service: str, key: str, bundle: Bundle) -> None:
        """Return if this replica may run the key for the first time; else raise."""
        home = home_of(key, bundle.replicas_of(service))
        if home != self._name:
            raise NotRun(f"the key's home is {home}; nothing was run here, send it again")
        limit_s = bundle.services[service].confirm_version_s
        if limit_s and boot_time_s() - self._confirmed_s() > limit_s:
            message = "the home cannot confirm its bundle; nothing was run, restore its connection"
            raise VersionNotConfirmed(message, 5.0)
        pool = bundle.previous_pools.get(service)
        if pool is not None:
            self._ask_previous_home(service, key, pool, bundle)

    def _ask_previous_home(
        self, service: str, key: str, pool: PreviousPool, bundle: Bundle
    ) -> None:
        confirm_s = bundle.services[service].confirm_version_s or DEFAULT_CONFIRM_S
        skew_ms = int(bundle.limits.clock_skew_s * 1000)
        if key_time_ms(key) > pool.changed_at_ms + confirm_s * 1000 + skew_ms:
            return
        previous = home_of(key, [home.name for home in pool.homes])
        if previous == self._name:
            return
        home = next(home for home in pool.homes if home.name == previous)
        self._ask_for_tombstone(service, key, home)

    def _ask_for_tombstone(self, service: str, key: str, home: PreviousHome) -> None:
        try:
            reply = self._ask(home.name, home.agent, Tombstone(service, key), ASK_TIMEOUT_S)
        except YokedockError as error:
            message = (
                f"the key's previous home {home.name} cannot rule out a run ({error.code}); "
                "look up the result before sending it with a fresh key"
            )
            raise OutcomeUnknown(message) from None
        if isinstance(reply, ServiceAnswer):
            message = f"the call ran at {home.name} before the pool changed; look up its result"
            raise OutcomeUnknown(message)
