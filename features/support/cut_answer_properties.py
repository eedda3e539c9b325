"""Clients of agents, gateways and operators' commands whose server cuts its answers off."""

import contextlib
import io

import msgspec

from support.cut_answers import CutAnswer, CuttingServer, Framing, cut_answers, taken_for_whole
from yokedock.connection.configuration_watch import REVISION_HEADER, ConfigurationClient
from yokedock.connection.engine_client import HttpEngineClient
from yokedock.connection.engine_protocol import Load, PrefillOrder, PrefillResult
from yokedock.connection.machine_list import Machine, MachineList, MachineWatch
from yokedock.connection.service_client import ServiceClient
from yokedock.errors import YokedockError
from yokedock.process.admin_commands import print_histograms, print_status
from yokedock.process.admin_http import ProcessStatus

TIMEOUT_S = 2.0


def engine(address):
    return HttpEngineClient(f"http://{address}", 1, TIMEOUT_S, TIMEOUT_S)


def call_service(address):
    return ServiceClient(f"http://{address}", TIMEOUT_S).call(
        "s", b"x", "text/plain", "key", TIMEOUT_S
    )


def read_machines(address):
    """Read the machine list once; raises ``YokedockError`` if it was not read."""
    lists = []
    watch = MachineWatch(f"http://{address}", 0.0, lists.append)
    rounds = iter((False, True))
    watch._stopping.is_set = lambda: next(rounds)
    watch.run()
    if not lists:
        raise YokedockError("the machine list was not read")
    return lists


def prefill(address):
    return engine(address).prefill(PrefillOrder("r", "m", "", "abc"), TIMEOUT_S)


STATUS = ProcessStatus("a", "gateway", "z", 1, 1, "d", True, False, 0)
BEHIND = ("", "100")
"""Interim heads ahead of the answers; one of another status is an error to all of these clients."""
REQUESTS = {
    "order to an engine": (
        prefill,
        {"body": msgspec.json.encode(PrefillResult("h", 1, 2, 3, 4))},
    ),
    "order without a result": (
        lambda address: engine(address).cancel("r"),
        {"body": b"null"},
    ),
    "report of an engine": (
        lambda address: engine(address).load(),
        {"body": msgspec.json.encode(Load("decode", 4, 1, 0))},
    ),
    "call of a service": (
        call_service,
        {"body": b"answer", "headers": [("Content-Type", "text/plain")]},
    ),
    "read of the configuration": (
        lambda address: ConfigurationClient(f"http://{address}").read("key"),
        {"body": b"value", "headers": [(REVISION_HEADER, "123")]},
    ),
    "read of an unset key": (
        lambda address: ConfigurationClient(f"http://{address}").read("key"),
        {"body": b"unset", "status": 404},
    ),
    "machine list": (
        read_machines,
        {"body": msgspec.json.encode(MachineList((Machine("a", "live"),)))},
    ),
    "status of a daemon": (
        lambda address: print_status([address], json=False),
        {"body": msgspec.json.encode(STATUS)},
    ),
    "histograms of a gateway": (
        lambda address: print_histograms([address], json=False),
        {"body": msgspec.json.encode([])},
    ),
}


def cut_answers_taken(name):
    """Return (number of cut answers, texts of those that a client took for whole)."""
    request, answer = REQUESTS[name]
    return taken_for_whole(
        cut_answers(**answer, interim=BEHIND), lambda address: _is_taken(request, address)
    )


def is_service_answer_taken(line):
    """Return whether an agent takes an answer with this line ahead of its header lines."""
    head = b"HTTP/1.1 200 OK\r\n" + line + b"\r\nContent-Type: text/plain\r\n\r\n"
    server = CuttingServer()
    server.answer = CutAnswer(Framing("unframed"), "", head, b"part", len(head + b"part"), False)
    try:
        return _is_taken(call_service, server.address)
    finally:
        server.close()


def read_revision(revision):
    """Return what is read of the configuration with this revision; raises ``YokedockError``."""
    framing, body = Framing("length"), b"value"
    head = framing.head(200, [(REVISION_HEADER, revision)], body)
    server = CuttingServer()
    server.answer = CutAnswer(framing, "", head, body, len(head + body), False)
    try:
        return ConfigurationClient(f"http://{server.address}").read("key")
    finally:
        server.close()


def _is_taken(request, address):
    try:
        with contextlib.redirect_stdout(io.StringIO()):
            request(address)
    except YokedockError:
        return False
    except ValueError:
        return True  # No caller expects it: it would end the reader's thread.
    return True
