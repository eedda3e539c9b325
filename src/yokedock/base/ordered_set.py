"""A set that is iterated in insertion order.

Built-in sets of objects are iterated by memory address, in an order that differs between runs.
"""

from __future__ import annotations

import collections.abc
from collections.abc import Iterator
from typing import TypeVar

Member = TypeVar("Member")


class OrderedSet(collections.abc.MutableSet[Member]):
    """A mutable set that keeps its members in insertion order."""

    def __init__(self) -> None:
        """Create an empty set."""
        self._members: dict[Member, None] = {}

    def __contains__(self, member: object) -> bool:
        """Return whether ``member`` is in the set."""
        return member in self._members

    def __iter__(self) -> Iterator[Member]:
        """Iterate over the members in insertion order."""
        return iter(self._members)

    def __len__(self) -> int:
        """Return the number of members."""
        return len(self._members)

    def add(self, member: Member) -> None:
        """Append ``member``; a member already present keeps its position."""
        self._members[member] = None

    def discard(self, member: Member) -> None:
        """Remove ``member`` if it is present."""
        self._members.pop(member, None)
