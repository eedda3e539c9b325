"""The store's stand-in with its faults: it falls silent, or one connection to it does."""

from __future__ import annotations

import asyncio

from yokedock_emulator.plain_http import read_request
from yokedock_emulator.state_store import StateStore


class SoakStore(StateStore):
    """What a silence has hit stays silent: only connections opened after it are answered."""

    def __init__(self) -> None:
        """Start empty and answering."""
        super().__init__()
        self._is_silent = False
        self._silent: set[asyncio.StreamWriter] = set()
        self._open: list[asyncio.StreamWriter] = []

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

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.append(writer)
        if self._is_silent:
            self._silent.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                answer = b"" if writer in self._silent else await self._answer(request)
                if writer not in self._silent:
                    writer.write(answer)
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            self._open.remove(writer)
            self._silent.discard(writer)
            writer.close()
