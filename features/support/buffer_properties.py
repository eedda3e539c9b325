"""Properties of the memory for responses that are buffered."""

import asyncio

from yokedock.request.body_progress import BodyLimits, BodyProgress
from yokedock.request.response_buffers import MAX_BUFFERED_BYTES, ResponseBuffers
from yokedock_emulator.simulation.simulation import run_simulated

PART_BYTES = 65_536
LARGE_BYTES = 13_000_000
PARTS_PER_S = 32.0


async def _receive(buffers, size):
    """Receive a response in parts; return the largest total meanwhile."""
    largest = received = 0
    with buffers.open() as buffer:
        while received < size:
            await asyncio.sleep(1 / PARTS_PER_S)
            received += PART_BYTES
            await buffer.grow(received)
            largest = max(largest, buffers.total_bytes)
    return largest


# Guards against answers that have run and are thrown away because others are large too.
def large_responses_wait_for_each_other():
    """Of several large responses at once all are received whole, within the memory for them."""

    async def play(count):
        buffers = ResponseBuffers()
        async with asyncio.timeout(60.0):
            totals = await asyncio.gather(*(_receive(buffers, LARGE_BYTES) for _ in range(count)))
        assert buffers.total_bytes == 0
        return max(totals)

    for count in (1, 3, 8):
        largest = run_simulated(play(count))
        assert largest <= MAX_BUFFERED_BYTES + count * PART_BYTES, (count, largest)


def a_pause_of_this_process_is_no_stall():
    """A body that this process does not read for a while has not stalled."""
    progress = BodyProgress(BodyLimits(stall_s=0.3, deadline_s=8.0), None, 0.0)
    progress.record(PART_BYTES, 0.1)
    progress.pause()
    assert progress.due_s() == 8.0 and not progress.may_expire(5.0)
    progress.resume(5.0)
    assert progress.due_s() == 5.3
    assert not progress.may_expire(5.2) and progress.may_expire(5.3)


BUFFER_PROPERTIES = {
    "large responses wait for each other": large_responses_wait_for_each_other,
    "a pause of this process is no stall": a_pause_of_this_process_is_no_stall,
}
