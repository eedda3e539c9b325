"""Sends metrics to StatsD over UDP; disabled if no address is set."""

from __future__ import annotations

import dataclasses

import statsd

from yokedock.base.options import option


@dataclasses.dataclass(frozen=True)
class MetricsSettings:
    """The destination of metrics and the prefix of their names."""

    statsd: str = option("address of the StatsD server (UDP), IP:port; empty: metrics are off", "")
    prefix: str = option("prefix of all metric names", "yokedock")


class Metrics:
    """Sends metrics without blocking; sending errors are ignored."""

    def __init__(self, settings: MetricsSettings) -> None:
        """Open the UDP socket if an address is set."""
        self._client: statsd.StatsClient | None = None
        if settings.statsd:
            host, _, port = settings.statsd.rpartition(":")
            self._client = statsd.StatsClient(host, int(port), prefix=settings.prefix)

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        if self._client is not None:
            self._client.incr(name, value)

    def timing_ms(self, name: str, value: float) -> None:
        """Report a duration in milliseconds."""
        if self._client is not None:
            self._client.timing(name, value)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)
