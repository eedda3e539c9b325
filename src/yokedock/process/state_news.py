"""Recent changes reported by the source, for the datagrams to the other routers."""

from __future__ import annotations

from yokedock.base.clock import boot_time_s
from yokedock.connection.router_state import StateNews
from yokedock.connection.source_position import SourcePosition
from yokedock.connection.state_source import StateChanges

NEWS_LIFETIME_S = 0.1
"""How long changes are reported: in the datagram that they cause and in those of the next changes.
A router that misses all of these fetches the state."""
MAX_CHANGES_PER_NEWS = 6
"""Maximum number of backends in one ``StateNews``: they take 110 bytes each, and the datagram must
stay below 1,400 bytes."""


class RecentNews:
    """Changes reported by the source within the last ``NEWS_LIFETIME_S``."""

    def __init__(self) -> None:
        """Start empty."""
        self._news: list[tuple[float, StateNews]] = []
        """With the time of addition of each (boot time, s)."""

    def add(
        self, start: SourcePosition, end: SourcePosition, version: int, changes: StateChanges
    ) -> None:
        """Add the changes between two positions unless they are too many for one datagram.

        ``version`` is that of the route table in force at ``end``.
        """
        if len(changes.changed) + len(changes.gone) > MAX_CHANGES_PER_NEWS:
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
        """Drop the changes older than ``NEWS_LIFETIME_S`` and return the others, oldest first."""
        oldest_s = boot_time_s() - NEWS_LIFETIME_S
        self._news = [(added_s, news) for added_s, news in self._news if added_s >= oldest_s]
        return tuple(news for _, news in self._news)
