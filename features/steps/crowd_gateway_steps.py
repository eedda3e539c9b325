from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from support.crowd import BODY, BODY_IN_CHUNKS, READS_NOTHING, Crowd
from support.deployment import GATEWAYS, REPEATABLE, TOKEN
from support.ordinary_caller import OK, attempt, until_answered
from support.process_meter import MIB, ProcessMeter

from yokedock.connection.secure_session import Hello, encode_packet, new_nonce

CALL_PATH = f"/v1/services/{REPEATABLE}"
AUTHORIZATION = {"Authorization": f"Bearer {TOKEN}"}
LARGE_CALL = bytes(900_000)
SP_GREETING = bytes([0, ord("S"), ord("P"), 0, 0, 0x11, 0, 0])
"""The first bytes of a connection of the peers' sockets (Scalability Protocols, pair 1)."""
PACKET_BYTES = 15_000_000


@given('"{name}" has started anew on a small machine')
def start_anew(context, name):
    deployment = context.deployment
    context.name = name
    deployment.nodes[name].restart()
    deployment.wait_ready()
    machine = deployment.machine
    context.max_bytes = int(machine["memory_mb"]) * MIB
    context.max_descriptors = int(machine["max_descriptors"])
    context.gateway = name if name in GATEWAYS else GATEWAYS[0]
    addresses = [deployment.admin[name]]
    if name in GATEWAYS:
        addresses.append(deployment.urls[name].removeprefix("http://"))
    else:
        addresses.append(deployment.peer_addresses[name])
    ports = [int(address.rpartition(":")[2]) for address in addresses]
    context.meter = ProcessMeter(deployment.nodes[name].running.pid, ports)


def call_head(length, *lines):
    framing = f"Content-Length: {length}" if length is not None else "Transfer-Encoding: chunked"
    lines = (
        f"POST {CALL_PATH} HTTP/1.1",
        "Host: gateway",
        f"Authorization: Bearer {TOKEN}",
        framing,
        *lines,
    )
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def crowds(address):
    """Return, by name, a function that lets the crowd come to a HTTP address."""
    filler = ["X-Filler: " + "x" * 1000] * 245
    almost_whole = [call_head(len(BODY)), memoryview(BODY)[:-1]]
    unfinished_head = call_head(0, *filler)[:-2]
    return {
        "60 bodies of 4 MB, whole but for one byte": lambda: Crowd(
            address, 60, lambda n: almost_whole
        ),
        "60 bodies of 4 MB in chunks, without their end": lambda: Crowd(
            address, 60, lambda n: [call_head(None), BODY_IN_CHUNKS]
        ),
        "60 bodies of 4 MB, left and sent again 5 times": lambda: Crowd(
            address, 60, lambda n: almost_whole, returns=5, leaves_when_sent=True
        ),
        "250 heads of 250 KB without their end": lambda: Crowd(
            address, 250, lambda n: [unfinished_head]
        ),
        "250 answers of 900 KB that nobody reads": lambda: Crowd(
            address, 250, lambda n: [call_head(len(LARGE_CALL)), LARGE_CALL], READS_NOTHING
        ),
        "400 connections that bring nothing": lambda: Crowd(address, 400, lambda n: []),
    }


def peer_crowds(address):
    """Return, by name, a function that lets the crowd come to an agent's peers' address."""
    length = PACKET_BYTES.to_bytes(8, "big")
    packet = bytes(PACKET_BYTES - 1)

    def greeting(number):
        hello = encode_packet(Hello(new_nonce(), f"crowd-{number}", 1))
        # A message of pair 1 begins with a header of four bytes.
        message = bytes([0, 0, 0, 1]) + hello
        return [SP_GREETING, len(message).to_bytes(8, "big"), message]

    return {
        "60 packets of 15 MB, whole but for one byte": lambda: Crowd(
            address, 60, lambda n: [SP_GREETING, length, packet]
        ),
        "400 connections that bring nothing": lambda: Crowd(address, 400, lambda n: []),
        "400 connections, each with a greeting": lambda: Crowd(address, 400, greeting),
    }


def come(context, crowd):
    context.crowd = crowd
    context.add_cleanup(crowd.close)
    crowd.settle()
    context.meter.wait_at_rest()


@when("a crowd comes to its callers' address: {crowd}")
def crowd_of_callers(context, crowd):
    address = context.deployment.urls[context.name].removeprefix("http://")
    come(context, crowds(address)[crowd]())


@when("a crowd comes to its admin address: {crowd}")
def crowd_of_operators(context, crowd):
    come(context, crowds(context.deployment.admin[context.name])[crowd]())


@when("a crowd comes to its peers' address: {crowd}")
def crowd_of_peers(context, crowd):
    come(context, peer_crowds(context.deployment.peer_addresses[context.name])[crowd]())


@then('"{name}" has stayed within its memory and descriptors')
def within_limits(context, name):
    assert context.deployment.nodes[name].is_alive(), "it has ended"
    context.meter.stop()
    context.meter.assert_within(context.max_bytes, context.max_descriptors)


@then("an ordinary call through it is answered")
def ordinary_call(context):
    address = context.deployment.urls[context.gateway].removeprefix("http://")
    until_answered(address, "POST", CALL_PATH, b"hello", AUTHORIZATION)


@then("its admin address answers")
def admin_answers(context):
    until_answered(context.deployment.admin[context.name], "GET", "/status", None, {})


@when("{count:d} calls of 900 KB are sent through it one after another")
def calls_in_turn(context, count):
    context.statuses = [large_call(context) for _ in range(count)]


@when("{count:d} calls of 900 KB are sent through it at once")
def calls_at_once(context, count):
    with ThreadPoolExecutor(count) as workers:
        context.statuses += workers.map(lambda _: large_call(context), range(count))


@then("all those calls were answered")
def all_answered(context):
    assert all(status == OK for status in context.statuses), context.statuses


def large_call(context):
    address = context.deployment.urls[context.gateway].removeprefix("http://")
    return attempt(address, "POST", CALL_PATH, LARGE_CALL, AUTHORIZATION)[0]
