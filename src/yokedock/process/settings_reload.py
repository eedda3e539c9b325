"""Reads the settings file of a running router again when it has changed.

SIGHUP requests a read immediately. As the file may also change without a signal, its status is
checked periodically. Then it is read once its status was the same in two checks, because it may be
incomplete while it is being written.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

from yokedock.base.logs import logger
from yokedock.errors import SettingsInvalid
from yokedock.process.router_settings import (
    RouterSettings,
    changed_options,
    read_router_settings,
    with_reloaded_options,
)

_log = logger("settings")

CHECK_S = 1.0
MIN_READ_INTERVAL_S = 0.1
"""Signals within this interval cause one read."""

FileStatus = tuple[int, int, int, int]
"""Inode, size, and the times (ns) of the last change of the content and of the inode."""


class SettingsReload:
    """Applies changed settings; invalid ones are logged with all errors and change nothing."""

    def __init__(
        self, path: Path, running: RouterSettings, apply: Callable[[RouterSettings], None]
    ) -> None:
        """``running`` are the settings in use; ``apply`` puts changed ones into use."""
        self._path = path
        self._running = running
        self._apply = apply
        self._requested = asyncio.Event()
        self._is_read = False
        """Whether the file was read since the start. It may have changed before the first check."""
        self._read_status: FileStatus | None = None
        self._seen_status: FileStatus | None = None

    def request(self) -> None:
        """Have the file read as soon as possible."""
        self._requested.set()

    async def run(self) -> None:
        """Check the file periodically and on request, until cancelled."""
        while True:
            is_requested = await self._wait_for_request()
            try:
                self.check(is_requested)
            except Exception:
                _log.exception("settings not reloaded", path=str(self._path))
            await asyncio.sleep(MIN_READ_INTERVAL_S)

    def check(self, is_requested: bool) -> None:
        """Read the file if that is requested, or if it has changed and is not being written."""
        status = _file_status(self._path)
        is_settled = status == self._seen_status
        self._seen_status = status
        has_changed = not self._is_read or status != self._read_status
        if is_requested or (is_settled and has_changed):
            self._is_read = True
            self._read_status = status
            self._reload()

    async def _wait_for_request(self) -> bool:
        """Return whether a read was requested within ``CHECK_S``."""
        try:
            async with asyncio.timeout(CHECK_S):
                await self._requested.wait()
        except TimeoutError:
            return False
        self._requested.clear()
        return True

    def _reload(self) -> None:
        try:
            written = read_router_settings(self._path)
        except SettingsInvalid as error:
            _log.error(
                "settings are invalid; the previous ones remain in use",
                path=str(self._path),
                problems=error.message,
            )
            return
        reloaded = with_reloaded_options(self._running, written)
        applied = changed_options(self._running, reloaded)
        if applied:
            self._running = reloaded
            self._apply(reloaded)
        _log.info("settings read", path=str(self._path), applied=applied)
        pending = changed_options(reloaded, written)
        if pending:
            _log.warning(
                "changed options are not in use yet", options=pending, remedy="restart the router"
            )


def _file_status(path: Path) -> FileStatus | None:
    """Return the status of a file, None if there is none."""
    try:
        status = path.stat()
    except OSError:
        return None
    return (status.st_ino, status.st_size, status.st_mtime_ns, status.st_ctime_ns)
