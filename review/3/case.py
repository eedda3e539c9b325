"""LOST: machines are stopped in turn, and streams that they took late are cut off at the end."""

import asyncio
import random
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
from stand_ins import (  # noqa: E402
    STRIDE,
    Engine,
    Routers,
    Store,
    chunks,
    configuration,
    free_ports,
    main,
    message,
    model_service,
    new_network,
    read_head,
    stream_route,
)

ZONE = "hall-one"
GRACE_S = 8.0
DEADLINE_S = 14.0
EXCUSED_SENT_S = 3.0
"""A request sent no later than this after SIGTERM may be cut in the last sixth of graceS."""
MARGIN_S = 0.1
PROMPT, MOST = 200, 300
STREAMS_PER_S = 25.0
CLIENTS = 30
STOP_AT_S = 10.0
GAP_S = 1.3
"""Time between the stops of two machines, as in the troubles of sites/jabalrest-om.toml."""
LOAD_END_S = 19.0


class Platform:
    """The platform's balancer: asks each node every second, and picks a node for a connection."""

    def __init__(self, routers):
        self._routers = routers
        self._misses = dict.fromkeys(routers.addresses, 0)

    async def run(self):
        while True:
            await asyncio.gather(*map(self._ask, self._routers.addresses))
            await asyncio.sleep(1.0)

    async def _ask(self, address):
        is_ready = await self._routers.is_ready(address)
        before, self._misses[address] = (
            self._misses[address],
            0 if is_ready else self._misses[address] + 1,
        )
        if (before < 2) != (self._misses[address] < 2):
            self._routers.record.write(f"platform: {address} is {'in' if is_ready else 'out'}")

    def node(self, client):
        """All nodes of the zone if fewer than half are in, else those that are in."""
        nodes = self._routers.addresses
        inside = [address for address in nodes if self._misses[address] < 2]
        usable = nodes if len(inside) < len(nodes) / 2 else inside
        return usable[client % len(usable)]


class Stream:
    """One client attempt."""

    def __init__(self, number, node):
        self.identity = f"{random.getrandbits(64):016x}"
        self.number, self.node = number, node
        self.sent_s = self.ended_s = 0.0
        self.status, self.events, self.end = None, 0, ""


async def play(record, port, stream, platform_host):
    """Send one request on a new connection and read its answer."""
    try:
        async with asyncio.timeout(DEADLINE_S):
            try:
                reader, writer = await asyncio.open_connection(stream.node, port)
            except OSError:
                stream.end = "no connection"
                return
            try:
                await exchange(record, reader, writer, stream, platform_host)
            finally:
                writer.close()
    except TimeoutError:
        stream.end = "deadline"
    except (OSError, asyncio.IncompleteReadError):
        stream.end = "cut in the answer" if stream.status else "cut, no answer"
    finally:
        stream.ended_s = record.now()
        record.write(
            f"answer: {stream.identity} from {stream.node}: status {stream.status}, "
            f"{stream.events} events, {stream.end}"
        )


async def exchange(record, reader, writer, stream, host):
    headers = [
        ("Host", host),
        ("X-Yokedock-Attempt-Id", stream.identity),
        ("X-Yokedock-Model", "m"),
        ("X-Yokedock-Token-Usage", f"{PROMPT},{MOST}"),
        ("X-Yokedock-Prompt-Prefix", f"{stream.number:08x}:{PROMPT}"),
        ("X-Yokedock-Deadline-Ms", str(round(DEADLINE_S * 1000))),
        ("Content-Length", "20"),
    ]
    writer.write(message("POST /label/1 HTTP/1.1", headers, b"x" * 20))
    stream.sent_s = record.now()
    record.write(f"sent: {stream.identity} to {stream.node}")
    head = await read_head(reader)
    if head is None:
        raise ConnectionResetError
    stream.status = int(head.first.split(" ")[1])
    if stream.status != 200:
        await reader.readexactly(int(head.get("content-length") or 0))
        stream.end = "whole"
        return
    text = b""
    async for part in chunks(reader):
        text += part
        stream.events = text.count(b"\n\n")
    stream.end = "whole"


async def case(record, has_trouble):
    network = new_network()
    addresses = [f"{network}{number}" for number in (1, 2, 3)]
    machine = f"{network}9"
    store_port, read_port, make_port = free_ports([machine], 3)
    store = Store(f"{machine}:{store_port}")
    await store.start()
    engines = [
        Engine(record, "label-llm", f"{machine}:{read_port}", "prefill", ZONE),
        Engine(record, "label-llm", f"{machine}:{make_port}", "decode", ZONE),
    ]
    host = "ficu95.example"
    routes = [stream_route("r-label", host, "/label/", "label-llm")]
    store.put("op/config", configuration(7, routes, [model_service("label-llm")]))
    for engine in engines:
        await engine.start()
        store.put(f"servers/{engine.instance}", engine.entry())
    routers = Routers(record, store.address, ZONE, addresses, GRACE_S)
    try:
        for address in addresses:
            routers.start(address)
        await routers.wait_ready()
        await asyncio.sleep(3.0)
        streams = await load(record, routers, host, has_trouble)
    finally:
        routers.end()
    runs = {identity: run for engine in engines for identity, run in engine.runs.items()}
    return judge(record, routers, streams, runs)


async def load(record, routers, host, has_trouble):
    platform = Platform(routers)
    asking = asyncio.create_task(platform.run())
    stopping = asyncio.create_task(roll(record, routers)) if has_trouble else None
    streams, tasks = [], []
    begin_s = record.now()
    while record.now() < begin_s + LOAD_END_S:
        stream = Stream(len(streams), platform.node(random.randrange(CLIENTS)))
        streams.append(stream)
        tasks.append(asyncio.create_task(play(record, routers.frontend, stream, host)))
        await asyncio.sleep(max(0.0, begin_s + len(streams) / STREAMS_PER_S - record.now()))
    await asyncio.wait(tasks)
    asking.cancel()
    if stopping is not None:
        await stopping
    return streams


async def roll(record, routers):
    """Stop two of the three machines of the zone, one after the other.

    Each is killed after graceS if it has not ended, and started again.
    """
    await asyncio.sleep(STOP_AT_S)
    starts = []
    for address in routers.addresses[:2]:
        routers.signal(address, signal.SIGTERM)
        starts.append(asyncio.create_task(start_again(record, routers, address)))
        await asyncio.sleep(GAP_S)
    await asyncio.wait(starts)


async def start_again(record, routers, address):
    until_s = routers.stopped_s[address] + GRACE_S
    process = routers.processes[address]
    while process.poll() is None and record.now() < until_s:
        await asyncio.sleep(0.02)
    record.write(
        f"router ended: {address}, {'by itself' if process.poll() is not None else 'killed'}"
    )
    if process.poll() is None:
        process.kill()
        process.wait()
    await asyncio.sleep(0.3)
    routers.start(address, is_first_start=False)


def judge(record, routers, streams, runs):
    """Return the requests that were lost around a SIGTERM, as LOST tells."""
    events = -(-MOST // STRIDE)
    counts, broken = {}, []
    for stream in streams:
        key = f"{stream.status} {stream.end}"
        counts[key] = counts.get(key, 0) + 1
        stopped_s = routers.stopped_s.get(stream.node)
        run = runs.get(stream.identity)
        is_complete = stream.end == "whole" and stream.events in (0, events)
        if stopped_s is None or run is None or is_complete:
            continue
        sent_s, ended_s = stream.sent_s - stopped_s, stream.ended_s - stopped_s
        if stream.ended_s > stream.sent_s + DEADLINE_S - 0.5 or not 0 <= ended_s <= GRACE_S + 1.0:
            continue
        is_excused = sent_s <= EXCUSED_SENT_S + MARGIN_S and ended_s >= GRACE_S * 5 / 6 - MARGIN_S
        text = (
            f"{stream.identity} sent {sent_s:.2f} s after SIGTERM, run at an engine, "
            f"cut {ended_s:.2f} s after SIGTERM with {stream.events} of {events} events, "
            f"the engine had made {run['made']}"
        )
        record.write(("excused: " if is_excused else "LOST: ") + text)
        if not is_excused:
            broken.append("LOST: " + text)
    record.write(f"ends: {counts}; lost: {len(broken)}")
    print(f"{len(streams)} streams; ends: {counts}; lost: {len(broken)}")
    return broken


main(case, FOLDER)
