"""Determines which origin stores keep the record of a stream.

A store runs beside each engine, at the engine's IP address. A record is kept beside engines of the
stream's own version: while one of these is listed, the stream may be resumed.
"""

from __future__ import annotations

from collections.abc import Iterable

from yokedock.connection.state_source import BackendEntry
from yokedock.request.software_version import UNKNOWN_VERSION, version_number
from yokedock.version.homes import rendezvous_order

STORES_PER_RECORD = 2
STORES_ASKED_PER_VERSION = 8
"""More than the stores of a record: engines that were listed since then may come before them, and a
version that is being rolled out grows from one engine to many."""


class OriginStorePlacement:
    """The hosts of the origin stores for one list of backends, by the engines' software version."""

    def __init__(self, entries: Iterable[BackendEntry] = ()) -> None:
        """Use a list of backends; those without a role have no store beside them."""
        self._hosts: dict[int, set[str]] = {}
        self._staying: dict[int, set[str]] = {}
        """Hosts with an engine that is not leaving."""
        for entry in entries:
            version = version_number(entry.service, entry.version)
            if not entry.role or version == UNKNOWN_VERSION:
                continue
            host = entry.address.rpartition(":")[0]
            self._hosts.setdefault(version, set()).add(host)
            if not entry.is_leaving:
                self._staying.setdefault(version, set()).add(host)

    def for_record(self, stream: int, version: int) -> list[str]:
        """Return the hosts of the stores that keep a record, in order of preference."""
        hosts = self._staying.get(version) or self._hosts.get(version, set())
        return rendezvous_order(str(stream), hosts)[:STORES_PER_RECORD]

    def changed_versions(self, previous: OriginStorePlacement) -> set[int]:
        """Return the versions for which ``for_record`` may differ from that of ``previous``."""
        return {
            version
            for version in self._hosts
            if self._hosts[version] != previous._hosts.get(version)
            or self._staying.get(version) != previous._staying.get(version)
        }

    def for_lookup(self, stream: int) -> set[str]:
        """Return the hosts of the stores that may have a stream's record, whatever its version."""
        asked: set[str] = set()
        for version, hosts in self._hosts.items():
            order = rendezvous_order(str(stream), hosts)
            staying = self._staying.get(version, set())
            asked.update(order[:STORES_ASKED_PER_VERSION])
            asked.update([host for host in order if host in staying][:STORES_PER_RECORD])
        return asked
