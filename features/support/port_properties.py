"""Properties of the port allocation of a test run."""

from hypothesis import strategies as st

from support.port_blocks import PORTS_PER_BLOCK, PortBlocks, first_ephemeral_port
from support.search import searched

MAX_WORKERS = 6


@searched(
    workers=st.lists(st.integers(min_value=0, max_value=MAX_WORKERS - 1), min_size=80, max_size=200)
)
def features_listen_below_the_ephemeral_ports(workers):
    """Guards against listen failures on ports that outgoing connections occupy."""
    end = first_ephemeral_port()
    blocks = PortBlocks(end)
    held = {}
    for worker in workers:
        if worker in held:
            blocks.release(held.pop(worker))
        first_port = blocks.acquire()
        assert first_port + PORTS_PER_BLOCK <= end, first_port
        assert all(abs(first_port - other) >= PORTS_PER_BLOCK for other in held.values()), (
            first_port,
            held,
        )
        held[worker] = first_port


PORT_PROPERTIES = {
    check.__name__.replace("_", " "): check
    for check in (features_listen_below_the_ephemeral_ports,)
}
