"""Recent changes reported by the source, for the datagrams to the other routers."""

from __future__ import annotations

from yokedock.base.clock import boot_time_s
from yokedock.connection.router_state import StateNews
from yokedock.connection.source_position import SourcePosition
from yokedock.connection.state_source import StateChanges

NEWS_S = 0.1
"""News are told for this time: in the datagram that they cause and in those of the next changes.
Whoever misses them all fetches the state."""
MOST_IN_NEWS = 6
"""Backends in one news: 110 bytes each, the datagram must stay below 1,400."""


class RecentNews:
    """Changes reported by the source within the last ``NEWS_S``."""

    def __init__(self) -> None:
        """Start empty."""
        self._news: list[tuple[float, StateNews]] = []
        """Each with the time at which it was added (boot time, s)."""

    def add(
        self, start: SourcePosition, end: SourcePosition, version: int, changes: StateChanges
    ) -> None:
        """Add the changes between two positions unless they are too many for one datagram.

        ``version`` is that of the route table in force at ``end``.
        """
        if len(changes.changed) + len(changes.gone) > MOST_IN_NEWS:
            return
        news = StateNews(
            start.revision,
            end.revision,
            version,
            changes.changed,
            changes.gone,
            end.era,
        )
        self._news.append((boot_time_s(), news))

    def unexpired(self) -> tuple[StateNews, ...]:
        """Drop the news older than ``NEWS_S`` and return the others, oldest first."""
        oldest_s = boot_time_s() - NEWS_S
        self._news = [(added_s, news) for added_s, news in self._news if added_s >= oldest_s]
        return tuple(news for _, news in self._news)
