"""Allocation of port blocks to features, below the kernel's ephemeral port range."""

from pathlib import Path
from queue import SimpleQueue

EPHEMERAL_RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")
FIRST_PORT = 11000
PORTS_PER_BLOCK = 600
"""A feature may start several deployments; a stopped one keeps its ports in use for a while."""


class PortBlocks:
    """A thread-safe pool of port blocks that reuses the least recently released block first.

    Ephemeral ports are excluded because an outgoing connection may occupy one before a test
    process listens on it.
    """

    def __init__(self, end):
        """Fill the pool with the blocks from ``FIRST_PORT`` up to but excluding ``end``."""
        first_ports = range(FIRST_PORT, end - PORTS_PER_BLOCK + 1, PORTS_PER_BLOCK)
        if not first_ports:
            raise ValueError(
                f"fewer than {PORTS_PER_BLOCK} ports between {FIRST_PORT} and the first ephemeral "
                f"port {end}; raise the lower bound in {EPHEMERAL_RANGE_FILE}"
            )
        self._free = SimpleQueue()
        for first_port in first_ports:
            self._free.put(first_port)

    def acquire(self):
        """Return the first port of a free block, blocking until one is available."""
        return self._free.get()

    def release(self, first_port):
        """Return the block starting at ``first_port`` to the pool."""
        self._free.put(first_port)


def first_ephemeral_port():
    """Return the lowest port that the kernel assigns to outgoing connections."""
    return int(EPHEMERAL_RANGE_FILE.read_text().split()[0])
