"""The store's stand-in with its faults: silence, silent connections and restored backups."""

from __future__ import annotations

import asyncio

from yokedock.base.clock import boot_time_s
from yokedock.platform.stored_items import StoredItem
from yokedock_emulator.state_store import StateStore


class SoakStore(StateStore):
    """What a silence has hit stays silent: only connections opened after it are answered."""

    def __init__(self) -> None:
        """Start empty and answering."""
        super().__init__()
        self._is_silent = False
        self._silent: set[asyncio.StreamWriter] = set()
        self._open: list[asyncio.StreamWriter] = []
        self._written_s: list[float] = []
        """Write time of each revision (boot time), oldest first."""

    def fall_silent(self) -> None:
        """Answer nobody until ``speak_again``; connections are still taken."""
        self._is_silent = True
        self._silent.update(self._open)

    def speak_again(self) -> None:
        """Answer whoever connects from now on."""
        self._is_silent = False

    def silence_connection(self, number: int) -> bool:
        """Let one connection say nothing more; return whether there is any."""
        speaking = [writer for writer in self._open if writer not in self._silent]
        if speaking:
            self._silent.add(speaking[number % len(speaking)])
        return bool(speaking)

    def restore_backup_taken_at(self, taken_s: float) -> None:
        """Restore a backup that lacks every revision written after ``taken_s`` (boot time)."""
        lost = sum(written_s > taken_s for written_s in self._written_s)
        del self._written_s[len(self._written_s) - lost :]
        self.restore_backup(lost)

    def _note(self, event: StoredItem) -> None:
        self._written_s.append(boot_time_s())
        super()._note(event)

    def _is_silenced(self, writer: asyncio.StreamWriter) -> bool:
        return writer in self._silent

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.append(writer)
        if self._is_silent:
            self._silent.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self._open.remove(writer)
            self._silent.discard(writer)
