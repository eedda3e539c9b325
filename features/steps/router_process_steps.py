import asyncio
import http.client
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from behave import given, then, when
from support.router_world import HOST, RawCaller, free_address, request_bytes

from yokedock.base.early_sockets import listen_early
from yokedock.platform.settings_variable import SETTINGS_VARIABLE
from yokedock_emulator.process_group import program

ROOT = Path(__file__).resolve().parents[2]
SETTINGS = """
[process]
name = router-1
[callers]
listen = {listen}
ready_listen = {ready}
[fleet]
address = {fleet}
[state]
source = {routes}
"""
ROUTES = """
[table]
version = {version}
[service booking]
[backend a]
service = booking
address = {address}
[route booking]
host = {host}
prefix = {prefix}
kind = once
services = booking
timeout_s = 30
"""


def write_routes(context, version, prefix):
    address = context.world.backends["a"].address
    text = ROUTES.format(version=version, address=address, host=HOST, prefix=prefix)
    context.routes.write_text(text)


@given("a router process on a routes file that lists it as version {version:d}")
def process(context, version):
    folder = Path(tempfile.mkdtemp())
    context.routes = folder / "routes.ini"
    write_routes(context, version, "/booking/")
    context.listen, context.ready, context.fleet = (free_address() for _ in range(3))
    settings = folder / "router.ini"
    settings.write_text(
        SETTINGS.format(
            listen=context.listen,
            ready=context.ready,
            fleet=context.fleet,
            routes=context.routes,
        )
    )
    command = [program("yokedock"), "router", "--settings", str(settings)]
    context.process = subprocess.Popen(command, stdout=subprocess.DEVNULL)
    context.add_cleanup(context.process.kill)
    context.world.wait_for(lambda: listens(context.ready), "the process listens")
    context.world.wait_for(lambda: ask_ready(context) == 200, "the process is ready")


@given("a router started by the deployed entry point")
def deployed_entry(context):
    folder = Path(tempfile.mkdtemp())
    settings = folder / "router.ini"
    context.listen, context.ready, fleet = (free_address() for _ in range(3))
    settings.write_text(
        SETTINGS.format(
            listen=context.listen, ready=context.ready, fleet=fleet, routes=free_address()
        )
    )
    environment = {**os.environ, SETTINGS_VARIABLE: str(settings)}
    command = [sys.executable, str(ROOT / "deploy" / "main.py")]
    context.process = subprocess.Popen(command, env=environment, stdout=subprocess.DEVNULL)
    context.add_cleanup(context.process.kill)


@when("it gets SIGHUP as soon as it listens for callers")
def hang_up_early(context):
    until_s = time.monotonic() + 20.0
    while not listens(context.listen):
        assert time.monotonic() < until_s, "it does not listen"
    context.process.send_signal(signal.SIGHUP)


@then("it is loaded and answers whether it is ready")
def answers_ready(context):
    context.process.poll()
    assert context.process.returncode is None, "the signal has ended it"
    assert ask_ready(context) == 503


@when("it gets SIGTERM, and SIGHUP again and again until it has ended")
def hang_up_late(context):
    context.process.send_signal(signal.SIGTERM)
    until_s = time.monotonic() + 20.0
    while context.process.poll() is None and time.monotonic() < until_s:
        context.process.send_signal(signal.SIGHUP)
        time.sleep(0.002)


def listens(address):
    host, _, port = address.rpartition(":")
    with socket.socket() as probe:
        return probe.connect_ex((host, int(port))) == 0


def ask_ready(context):
    connection = http.client.HTTPConnection(context.ready, timeout=5)
    connection.request("GET", "/ready")
    return connection.getresponse().status


def send(context, name):
    caller = RawCaller(context.world, context.listen)
    caller.send(request_bytes(name, body=b"abc"))
    return caller.read_answer()


@when('a client sends POST on "{name}" to the process')
def send_to_process(context, name):
    context.answer = send(context, name)


@then('a client who sends POST on "{name}" to the process gets {status:d} after a while')
def gets_after_a_while(context, name, status):
    for _ in range(200):
        answer = send(context, name)
        if answer[0] == status:
            return
        context.world.run(pause())
    raise AssertionError(answer)


async def pause():
    await asyncio.sleep(0.1)


@then('its figures count {count:d} answered request of "{route}"')
def figures(context, count, route):
    caller = RawCaller(context.world, context.fleet)
    caller.send(f"GET /metrics HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
    text = caller.read_answer()[2].decode()
    assert f'router_requests{{route="{route}",outcome="answered"}} {count}\n' in text, text
    assert f'router_ms_count{{route="{route}",measure="held"}} {count}\n' in text, text


@when('the routes file becomes version {version:d} with the prefix "{prefix}"')
def change_routes(context, version, prefix):
    write_routes(context, version, prefix)


@when("the process gets SIGTERM")
def terminate(context):
    context.process.send_signal(signal.SIGTERM)


@then("it ends with 0")
def ends(context):
    assert context.process.wait(20) == 0


@then('checking this file fails and tells "{first}" and "{second}" and "{third}"')
def check_fails(context, first, second, third):
    file = Path(tempfile.mkdtemp()) / "checked.ini"
    file.write_text(context.text)
    command = [program("yokedock"), "settings", "check", str(file)]
    done = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert done.returncode == 1, done
    for told in (first, second, third):
        assert told in done.stderr, done.stderr


def early_settings(listen, ready):
    file = Path(tempfile.mkdtemp()) / "early.ini"
    addresses = f"listen = {listen}\nready_listen = {ready}\n"
    file.write_text(f"[process]\nname = listen\n[callers]\n{addresses}[fleet]\nlisten = x\n")
    return str(file)


@given("a settings file whose addresses for callers listen before the program is loaded")
def listen_before(context):
    context.listen, context.ready = free_address(), free_address()
    context.sockets = listen_early(early_settings(context.listen, context.ready))
    assert list(context.sockets) == [context.listen, context.ready]


@when('a client sends POST on "{name}" to the address for callers')
def send_early(context, name):
    context.caller = RawCaller(context.world, context.listen)
    context.caller.send(request_bytes(name, body=b"abc"))


@when("the router is started with these addresses")
def start_with(context):
    context.router = context.world.start_router(context.world.snapshot(), sockets=context.sockets)


@then("the waiting client gets {status:d}")
def waiting_gets(context, status):
    assert context.caller.read_answer()[0] == status


@then("the address for readiness answers 200")
def ready_answers(context):
    context.world.wait_for(lambda: context.router.is_ready, "ready")
    caller = RawCaller(context.world, context.ready)
    caller.send(f"GET /ready HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
    assert caller.read_answer()[0] == 200


@then("listening early for a file that does not exist gives no address")
def no_file(context):
    assert listen_early("/nowhere/router.ini") == {}


@then("listening early for addresses that are no addresses gives no address")
def no_addresses(context):
    assert listen_early(early_settings("nowhere", "127.0.0.1:port")) == {}
