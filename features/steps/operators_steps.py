import base64
import threading

import msgspec
import pynng
from behave import given, then, when
from support.caller import Caller, StreamCaller
from support.deployment import DECODE, GATEWAYS, MODEL
from support.faults import busy
from support.processes import command

from yokedock.base.histograms import HistogramRow
from yokedock.connection.secure_session import (
    Hello,
    SecureSession,
    decode_packet,
    encode_packet,
    new_nonce,
)
from yokedock.messages import BundleStamp, Frame, Heartbeat, Reserve
from yokedock_emulator.process_group import Node, program, write_ini

SILENCE_MS = 700
WRONG_SETTINGS = {
    "process": {"zone": "zone-1"},
    "caller": {"listen": "nowhere", "max_in_flight": "many"},
    "platform": {"configuration_url": "http://127.0.0.1:1", "bundle_public_key": "short"},
}
SETTINGS_ERRORS = (
    "[process] name: missing",
    "[caller] listen: cannot be 'nowhere'",
    "[caller] max_in_flight: cannot be 'many'",
    "[platform] bundle_public_key: not a key",
)
WRONG_BUNDLE = {
    "limits": {"max_attempts": "0"},
    "class default": {"priority": "high"},
    "tenant a": {"classes": "default"},
    "model m": {"no_such_option": "1"},
    "place x": {},
}
BUNDLE_ERRORS = (
    "[limits] max_attempts: cannot be '0'",
    "[class default] priority: cannot be 'high'",
    "[tenant a] token_sha256: missing",
    "[model m] no_such_option: unknown option",
    "[place x]: unknown section",
)


@when("settings with four errors are checked")
def check_wrong_settings(context):
    path = write_ini(context.deployment.directory / "wrong.ini", WRONG_SETTINGS)
    context.output = command("settings", "check", path, expect=1)


@then("the command fails and names each error with its remedy")
def names_errors(context):
    assert_each_with_remedy(context.output, SETTINGS_ERRORS)


def assert_each_with_remedy(output, errors):
    for error in errors:
        line = next((line for line in output.splitlines() if line.startswith(error)), None)
        assert line, f"no line for {error!r} in:\n{output}"
        assert "; " in line, f"no remedy in {line!r}"


@when("settings that listen beyond loopback without a key are checked")
def check_without_key(context):
    sections = {
        "process": {"name": "g", "zone": "z"},
        "caller": {"listen": "10.0.0.1:8080"},
        "platform": {
            "configuration_url": "http://10.0.0.2",
            "bundle_public_key": context.deployment.public_key,
        },
    }
    path = write_ini(context.deployment.directory / "no-key.ini", sections)
    context.output = command("settings", "check", path, expect=1)


@then("the command fails and asks for a key")
def asks_for_key(context):
    assert "[peers] deployment_key: missing beyond loopback" in context.output, context.output


@when("a bundle's source with five errors is checked")
def check_wrong_bundle(context):
    path = write_ini(context.deployment.directory / "wrong-bundle.ini", WRONG_BUNDLE)
    context.output = command("bundle", "check", path, expect=1)


@then("the command fails and names each of the five")
def names_bundle_errors(context):
    assert_each_with_remedy(context.output, BUNDLE_ERRORS)


@when("a version with a changed class is signed")
def sign_changed(context):
    sections = context.deployment.bundle_sections()
    sections["class default"]["priority"] = "7"
    context.signed = context.deployment.sign(context.deployment.version + 1, sections)


@then("it can be shown, and the difference names the changed option")
def show_and_diff(context):
    deployment = context.deployment
    key = ["--public-key", deployment.public_key]
    shown = msgspec.json.decode(command("bundle", "show", context.signed, *key))
    assert shown["classes"]["default"]["priority"] == 7, shown
    difference = command("bundle", "diff", deployment.signed, context.signed, *key)
    assert "~ classes default priority: 5 -> 7" in difference, difference
    assert len(difference.splitlines()) == 2, difference


@when("a bundle is signed with the version in force again")
def sign_same(context):
    deployment = context.deployment
    source = write_ini(deployment.directory / "same.ini", deployment.bundle_sections())
    options = ["--version", deployment.version, "--key", deployment.key_file]
    options += ["--previous", deployment.signed, "--out", deployment.directory / "same"]
    context.output = command("bundle", "sign", source, *options, expect=1)


@then("the command fails and asks for a higher version")
def asks_higher(context):
    assert "use a higher one" in context.output, context.output


@given("{count:d} answers of {tokens:d} tokens through each gateway")
def answers(context, count, tokens):
    admin = [context.deployment.admin[name] for name in GATEWAYS]
    context.rows_before = read_rows(admin)
    for gateway in GATEWAYS:
        for number in range(count):
            url = context.deployment.urls[gateway]
            assert StreamCaller(url, f"histogram {number}", tokens).wait().is_whole()


def read_rows(admin):
    rows = msgspec.json.decode(command("histograms", *admin, "--json"), type=list[HistogramRow])
    return {row.measure: row.count for row in rows}


@then("status shows both gateways ready and every agent connected")
def status_shows(context):
    admin = [context.deployment.admin[name] for name in GATEWAYS]
    table = command("status", *admin)
    assert all(name in table for name in (*GATEWAYS, *DECODE)), table
    found = msgspec.json.decode(command("status", *admin, "--json"))
    assert all(node["ready"] for node in found), found
    assert all(peer["connected"] for node in found for peer in node["peers"]), found


@then("the histograms count {first:d} first tokens and {gaps:d} gaps between tokens")
def histograms_count(context, first, gaps):
    admin = [context.deployment.admin[name] for name in GATEWAYS]
    after, before = read_rows(admin), context.rows_before
    assert after["first_token_us"] - before.get("first_token_us", 0) == first, after
    assert after["between_tokens_us"] - before.get("between_tokens_us", 0) == gaps, after


@given("a stream of {count:d} tokens through {gateway} that has begun")
def begun(context, count, gateway):
    context.caller = StreamCaller(context.deployment.urls[gateway], "a planned stop", count)
    context.caller.wait_events(2)


@when("{gateway} gets a planned stop")
def stop_gateway(context, gateway):
    context.stopped = context.deployment.nodes[gateway]
    context.stopped.terminate()
    deployment = context.deployment
    deployment.wait_for(lambda: deployment.status(gateway).stopping, 5.0, "stopping")


@then("a new request to {gateway} is refused with a time to come back")
def refused(context, gateway):
    body = msgspec.json.encode({"model": MODEL, "prompt": "late"})
    caller = Caller(context.deployment.urls[gateway], "/v1/completions", body).wait()
    assert caller.status == 503 and caller.outcome() == "not_run", caller.data
    assert caller.headers["Retry-After"], caller.headers


@when("a planned stop is asked of the agent that decodes")
def stop_decode_agent(context):
    name = busy(context.deployment, DECODE)
    context.stopped = context.deployment.nodes[name]
    context.stopped.terminate()


@then("the stream ends whole and {who} exits with 0")
def ends_whole(context, who):
    caller = context.caller.wait()
    assert caller.is_whole(), (caller.data[-300:], caller.error)
    assert context.stopped.wait_exit() == 0


@when("a second agent is started with the settings of {name}")
def second_agent(context, name):
    directory = context.deployment.directory
    arguments = [program("yokedock"), "agent", "--settings", str(directory / f"{name}.ini")]
    context.second = Node("second", arguments, "http://127.0.0.1:1", directory)
    context.second.start()


@then("it exits with an error that names the taken address")
def second_exits(context):
    assert context.second.wait_exit() == 1
    assert "cannot listen on" in context.second.log_text(), context.second.log_text()


# --- Peers ---


def reserve():
    order = Reserve(
        attempt="stranger.1",
        version=1,
        prefilled_in_ms=0,
        ready_by_ms=1000,
        expires_ms=5000,
        output_tokens=10,
        priority=5,
    )
    return Frame(1, order)


def heartbeat():
    return Frame(0, Heartbeat(BundleStamp(0, ""), (), 3000))


def dial(context, name, key):
    """Shake hands with an agent; return the socket and the session."""
    address = context.deployment.agent_relays[name].address
    socket = pynng.Pair1(polyamorous=True, recv_timeout=SILENCE_MS, send_timeout=SILENCE_MS)
    socket.dial(f"tcp://{address}", block=True)
    hello = Hello(new_nonce(), "stranger", 1)
    socket.send(encode_packet(hello))
    return socket, SecureSession(key, hello, decode_packet(socket.recv()), dialer=True)


@when("a stranger without the key asks {name} for a slot")
def stranger(context, name):
    socket, session = dial(context, name, bytes(32))
    context.answered = False
    try:
        socket.send(session.seal(heartbeat()))
        socket.send(session.seal(reserve()))
        socket.recv()
        context.answered = True
    except pynng.NNGException:
        pass
    finally:
        socket.close()


@then("the stranger gets no answer and {name} holds nothing")
def holds_nothing(context, name):
    assert not context.answered
    assert context.deployment.status(name).in_flight == 0


@when("a packet of a good connection is sent twice to {name}")
def send_twice(context, name):

    key = base64.b64decode(context.deployment.deployment_key)
    socket, session = dial(context, name, key)
    closed = threading.Event()
    socket.add_post_pipe_remove_cb(lambda pipe: closed.set())
    packet = session.seal(heartbeat())
    socket.send(packet)
    context.first_answer = socket.recv()
    closed.clear()
    socket.send(packet)
    context.was_closed = closed.wait(5.0)
    socket.close()


@then("the connection is closed after the first")
def closed_after_first(context):
    assert context.first_answer
    assert context.was_closed
