"""Positions in the history of a state source: a revision, qualified by the era that assigned it.

A source that is restored from a backup begins a new era and continues from the backup's revision:
revisions go back, and some of them are assigned a second time.
"""

from __future__ import annotations

import msgspec

from yokedock.errors import PlatformUnavailable
from yokedock.router_errors import HistoryUnavailable

NO_ERA = -1
"""Era of a response that does not name one."""


class SourcePosition(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A point in the history of a source, ordered by era and then by revision."""

    era: int = 0
    revision: int = 0

    def position_of_read(self, reported: SourcePosition) -> SourcePosition:
        """Return the position of a full read, with the era inferred if the source reports none.

        ``self`` is the position that was known when the read was sent: a lower revision means that
        the source has been restored since.
        """
        if reported.era != NO_ERA:
            return reported
        is_restored = reported.revision < self.revision
        return SourcePosition(self.era + int(is_restored), reported.revision)

    def position_of_changes(self, reported: SourcePosition) -> SourcePosition:
        """Return the end position of the changes that were requested from this position.

        Raises ``HistoryUnavailable`` if the source has been restored since: changes after a
        revision of the earlier era may omit some that the router lacks. Raises
        ``PlatformUnavailable`` if the response is from an earlier era.
        """
        if reported.era == NO_ERA:
            if reported.revision < self.revision:
                raise HistoryUnavailable(
                    f"the revision went back from {self.revision} to {reported.revision}"
                )
            return SourcePosition(self.era, reported.revision)
        if reported.era > self.era:
            raise HistoryUnavailable(
                f"the source was restored: era {reported.era}, expected {self.era}"
            )
        if reported.era < self.era:
            raise PlatformUnavailable(
                f"the response is from era {reported.era}, earlier than {self.era}"
            )
        return max(reported, self)
