"""Commands that query the admin addresses of daemons."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import msgspec
import urllib3

from yokedock.base.decoding import DECODING_ERRORS
from yokedock.base.histograms import EncodedHistogram, Histograms
from yokedock.connection.bounded_http import bounded_pool_manager, read_whole
from yokedock.errors import PlatformUnavailable
from yokedock.process.admin_http import ProcessStatus
from yokedock.process.tables import format_table

QUERY_TIMEOUT_S = 3.0


def print_status(admin: Sequence[str], json: bool) -> None:
    """Print the status of the daemons at the ``admin`` addresses, as tables or as JSON."""
    found = [_query(address, "/status", ProcessStatus) for address in admin]
    if json:
        print(msgspec.json.format(msgspec.json.encode(found)).decode())
        return
    header = ("name", "kind", "zone", "version", "role", "ready", "stopping", "in flight")
    rows = [
        (s.name, s.kind, s.zone, s.version, s.role, s.ready, s.stopping, s.in_flight) for s in found
    ]
    print(format_table(header, rows))
    for process in found:
        if process.peers:
            print(f"\npeers of {process.name}")
            peer_header = ("name", "connected", "role", "ready", "leaving", "slots", "version")
            peer_rows = [
                (
                    p.name,
                    p.connected,
                    p.role,
                    p.ready,
                    p.leaving,
                    f"{p.slots_taken}/{p.slots}",
                    p.version,
                )
                for p in process.peers
            ]
            print(format_table(peer_header, peer_rows))


def print_histograms(admin: Sequence[str], json: bool) -> None:
    """Print the merged histograms of the gateways at the ``admin`` addresses."""
    merged = Histograms()
    for address in admin:
        merged.merge(_query(address, "/histograms", list[EncodedHistogram]))
    rows = merged.rows()
    if json:
        print(msgspec.json.format(msgspec.json.encode(rows)).decode())
        return
    header = ("tenant", "class", "measure", "count", "p50", "p95", "p99", "max", "total")
    table = [
        (
            r.tenant,
            r.request_class,
            r.measure,
            r.count,
            r.p50,
            r.p95,
            r.p99,
            r.highest,
            round(r.total),
        )
        for r in rows
    ]
    print(format_table(header, table))


def _query(address: str, path: str, kind: Any) -> Any:
    """Fetch and decode one JSON document from a daemon's admin address."""
    url = f"http://{address}{path}"
    try:
        response = bounded_pool_manager(1).request(
            "GET", url, timeout=QUERY_TIMEOUT_S, preload_content=False
        )
        return msgspec.json.decode(read_whole(response).data, type=kind)
    except (urllib3.exceptions.HTTPError, *DECODING_ERRORS):
        message = f"no daemon responds at {address}; give the [admin] listen address of a daemon"
        raise PlatformUnavailable(message) from None
