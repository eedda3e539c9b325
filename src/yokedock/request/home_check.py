"""Checks whether a replica may run an idempotency key for the first time.

Each key has a home: the one replica that may run it, chosen from the replica pool in the bundle.
When a new bundle changes the pool, some keys move to another home, while a process that is cut off
from the configuration service may still use the old one. Two rules together keep a key from running
at both homes:

- A home refuses first runs if it has not confirmed its bundle version with the configuration
  service within the service's ``confirm_version_s``.
- For a key created before the pool change plus that time, the new home first has the old home set a
  tombstone. If the old home does not reply, the outcome is unknown and nothing is run.
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

PREVIOUS_HOME_TIMEOUT_S = 2.0
DEFAULT_CONFIRM_VERSION_S = 60
"""Used for the second rule where ``confirm_version_s`` is 0, which turns the first rule off."""


class VersionNotConfirmed(Refused):
    """The home has not confirmed that its bundle version is current; nothing was run."""

    code = "version_not_confirmed"


class CallAgent(Protocol):
    """Sends a message to another agent and waits for the reply."""

    def __call__(
        self, name: str, address: str, message: AnyMessage, timeout_s: float
    ) -> AnyMessage:
        """Return the reply; raises ``YokedockError``."""


class BundleHomeCheck:
    """Applies both rules for one replica, by the bundle in use."""

    def __init__(self, name: str, confirmed_s: Callable[[], float], ask: CallAgent) -> None:
        """``confirmed_s`` returns the boot time at which the version was last confirmed."""
        self._name = name
        self._confirmed_s = confirmed_s
        self._ask = ask

    def confirm(self, service: str, key: str, bundle: Bundle) -> None:
        """Raise a typed error unless this replica may run the key for the first time."""
        home = home_of(key, bundle.replicas_of(service))
        if home != self._name:
            raise NotRun(f"the home of the key is {home}; nothing was run here, retry the request")
        limit_s = bundle.services[service].confirm_version_s
        if limit_s and boot_time_s() - self._confirmed_s() > limit_s:
            message = (
                "the home has not confirmed its bundle version; nothing was run, restore its "
                "connection to the configuration service"
            )
            raise VersionNotConfirmed(message, 5.0)
        pool = bundle.previous_pools.get(service)
        if pool is not None:
            self._check_previous_home(service, key, pool, bundle)

    def _check_previous_home(
        self, service: str, key: str, pool: PreviousPool, bundle: Bundle
    ) -> None:
        confirm_s = bundle.services[service].confirm_version_s or DEFAULT_CONFIRM_VERSION_S
        skew_ms = int(bundle.limits.clock_skew_s * 1000)
        if key_time_ms(key) > pool.changed_at_ms + confirm_s * 1000 + skew_ms:
            return
        previous = home_of(key, [home.name for home in pool.homes])
        if previous == self._name:
            return
        home = next(home for home in pool.homes if home.name == previous)
        self._request_tombstone(service, key, home)

    def _request_tombstone(self, service: str, key: str, home: PreviousHome) -> None:
        try:
            reply = self._ask(
                home.name, home.agent, Tombstone(service, key), PREVIOUS_HOME_TIMEOUT_S
            )
        except YokedockError as error:
            message = (
                f"the key's previous home {home.name} cannot rule out a run ({error.code}); "
                "check the result before a retry with a new key"
            )
            raise OutcomeUnknown(message) from None
        if isinstance(reply, ServiceAnswer):
            message = f"the call ran at {home.name} before the pool changed; check its result"
            raise OutcomeUnknown(message)
