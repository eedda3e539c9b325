import itertools
import re
import signal
import subprocess
import tempfile
import time
import urllib.request
from pathlib import Path

from behave import given, then, when
from support.router_world import free_address

from yokedock_emulator.process_group import program

SETTINGS = """
[process]
name = {name}
zone = {zone}
[callers]
listen = {listen}
ready_listen = {ready}
[fleet]
address = {address}
seeds = {seeds}
is_first_start = true
[state]
source = {routes}
[stop]
grace_s = {grace_s}
"""
ROUTES = "[table]\nversion = 1\n"
SIGNALS = {"with SIGHUP": True, "without any signal": False}
_hosts = itertools.count(31)


class RouterProcess:
    """A router process on a loopback address of its own."""

    def __init__(self, folder, port):
        host = f"127.0.0.{next(_hosts)}"
        self.address = f"{host}:{port}"
        self._listen, self._ready = free_address(), free_address()
        self._settings = folder / f"{host}.ini"
        self._log = folder / f"{host}.log"
        self._routes = folder / "routes.ini"
        self._routes.write_text(ROUTES)

    def write_settings(self, seeds="", zone="hall", grace_s="8", more=""):
        text = SETTINGS.format(
            name=self.address,
            zone=zone,
            listen=self._listen,
            ready=self._ready,
            address=self.address,
            seeds=seeds,
            routes=self._routes,
            grace_s=grace_s,
        )
        self._settings.write_text(text + more)

    def start(self):
        command = [program("yokedock"), "router", "--settings", str(self._settings)]
        with open(self._log, "ab") as log:
            self.process = subprocess.Popen(command, stdout=log, stderr=log)

    def log_lines(self):
        return self._log.read_text().splitlines()

    def is_started(self):
        return any('"started"' in line for line in self.log_lines())

    def hang_up(self):
        self.process.send_signal(signal.SIGHUP)

    def routers_heard(self):
        """Return the number of routers that it hears, itself included."""
        with urllib.request.urlopen(f"http://{self.address}/metrics", timeout=5) as answer:
            text = answer.read().decode()
        return int(float(re.search(r"^router_routers_heard (\S+)$", text, re.MULTILINE)[1]))


def wait_until(check, limit_s, what):
    until_s = time.monotonic() + limit_s
    while not check():
        assert time.monotonic() < until_s, f"not within {limit_s} s: {what}"
        time.sleep(0.02)


@given("two router processes whose settings name no seeds")
def two_processes(context):
    folder = Path(tempfile.mkdtemp())
    port = free_address().rpartition(":")[2]
    context.processes = [RouterProcess(folder, port) for _ in range(2)]
    for router in context.processes:
        router.write_settings()
        router.start()
        context.add_cleanup(router.process.kill)
    for router in context.processes:
        wait_until(router.is_started, 20, "start")
    context.one, context.other = context.processes


@when("the settings of one name the other as a seed, {how}")
def name_other(context, how):
    context.one.write_settings(context.other.address)
    if SIGNALS[how]:
        context.one.hang_up()


@when("one is started anew, and its settings name the other as it has read them")
def name_other_early(context):
    context.one.process.kill()
    context.one.process.wait()
    before = sum('"started"' in line for line in context.one.log_lines())
    context.one.start()
    context.add_cleanup(context.one.process.kill)
    wait_until(
        lambda: sum('"started"' in line for line in context.one.log_lines()) > before, 20, "start"
    )
    context.one.write_settings(context.other.address)


@when("the settings of one name the other as a seed and hold two errors, with SIGHUP")
def write_errors(context):
    context.one.write_settings(context.other.address, grace_s="long", more="[luck]\n")
    context.one.hang_up()


@when("the zone changes and the settings name the other as a seed, with SIGHUP")
def change_zone(context):
    context.one.write_settings(context.other.address, zone="another")
    context.one.hang_up()


@when("one gets SIGHUP {count:d} times, and its settings name the other before the last")
def hang_up_often(context, count):
    for number in range(count):
        if number == count - 1:
            context.one.write_settings(context.other.address)
        context.one.hang_up()
        time.sleep(0.002)


@then("both routers hear each other within {limit_s:g} s")
def hear_each_other(context, limit_s):
    def do_hear():
        return all(router.routers_heard() == 2 for router in context.processes)

    wait_until(do_hear, limit_s, "both hear each other")


@then('its log tells "{first}" and "{second}" in one line within {limit_s:g} s')
def log_tells(context, first, second, limit_s):
    def does_tell():
        return any(first in line and second in line for line in context.one.log_lines())

    wait_until(does_tell, limit_s, f"{first} and {second} in a line of the log")


@then("it hears no other router")
def hears_none(context):
    time.sleep(1.0)
    assert context.one.routers_heard() == 1


@then("both end with 0 on SIGTERM")
def both_end(context):
    for router in context.processes:
        router.process.send_signal(signal.SIGTERM)
    assert [router.process.wait(20) for router in context.processes] == [0, 0]
