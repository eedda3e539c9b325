"""Settings section [machine]: what one process may use of its machine."""

from __future__ import annotations

import dataclasses
import resource

from yokedock.base.options import between, option
from yokedock.base.resource_budget import MIB, ResourceBudget

DEFAULT_MEMORY_MB = 256.0
MIN_MEMORY_MB = 64.0
MIN_DESCRIPTORS = 128
UNLIMITED_DESCRIPTORS = 1_048_576
"""Used where the system sets no limit, or a higher one."""


@dataclasses.dataclass(frozen=True)
class MachineSettings:
    """What the process may use; more than that may end it."""

    memory_mb: float = option(
        "memory that the process may use, MiB", DEFAULT_MEMORY_MB, between(MIN_MEMORY_MB, 1e7)
    )
    max_descriptors: int = option(
        "maximum number of open file descriptors; 0: the system's limit for the process",
        0,
        lambda value: None if value == 0 else between(MIN_DESCRIPTORS, 1e7)(value),
    )

    def budget(self, own_bytes: float) -> ResourceBudget:
        """Return what a process may hold for its clients that uses ``own_bytes`` without any."""
        return ResourceBudget.of_process(self.memory_mb * MIB, own_bytes)

    def limit_descriptors(self) -> None:
        """Have the system deny the process more descriptors than ``max_descriptors``.

        For what accepts connections in a library, which cannot be told to accept fewer.
        """
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        if self.max_descriptors and (soft == resource.RLIM_INFINITY or soft > self.max_descriptors):
            resource.setrlimit(resource.RLIMIT_NOFILE, (self.max_descriptors, hard))

    @property
    def descriptors(self) -> int:
        """Return the maximum number of open file descriptors."""
        return self.max_descriptors or _system_descriptor_limit()


@dataclasses.dataclass(frozen=True)
class RouterMachineSettings(MachineSettings):
    """What a router may use of its machine."""

    link_mbps: float = option(
        "rate of the network link, Mbit/s; 0: not known",
        0.0,
        between(0, 1e6),
    )


def _system_descriptor_limit() -> int:
    """Return the process's own limit (RLIMIT_NOFILE), a large one where the system sets none."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return soft if 0 < soft < UNLIMITED_DESCRIPTORS else UNLIMITED_DESCRIPTORS
