"""Starts, stops, kills and freezes the real processes of one deployment."""

import base64
import configparser
import os
import signal
import socket
import subprocess
import time
from pathlib import Path

import msgspec
import urllib3

BIN = Path(__file__).resolve().parents[2] / ".venv" / "bin"
START_LIMIT_S = 30.0
STOP_LIMIT_S = 30.0
PORT_BASE_VARIABLE = "YOKEDOCK_TEST_PORT_BASE"
DEFAULT_PORT_BASE = 11000
PORTS_A_WORKER = 900


class Ports:
    """Hands out free ports below the ephemeral range, so that a restart finds its port free."""

    def __init__(self):
        self._next = int(os.environ.get(PORT_BASE_VARIABLE, DEFAULT_PORT_BASE))

    def take(self):
        while True:
            self._next += 1
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", self._next))
                    return self._next
                except OSError:
                    continue

    def address(self):
        return f"127.0.0.1:{self.take()}"


class Node:
    """One process that can be started again with the same arguments."""

    def __init__(self, name, arguments, health_url, directory):
        self.name = name
        self.health_url = health_url
        self._arguments = arguments
        self._log = directory / f"{name}.log"
        self.process = None

    def start(self):
        log = self._log.open("ab")
        self.process = subprocess.Popen(self._arguments, stdout=log, stderr=log)
        log.close()

    def wait_up(self):
        give_up = time.monotonic() + START_LIMIT_S
        while time.monotonic() < give_up:
            if self.process.poll() is not None:
                break
            if self.answers():
                return
            time.sleep(0.02)
        raise AssertionError(f"{self.name} did not start:\n{self.log_text()[-3000:]}")

    def answers(self):
        try:
            urllib3.request("GET", self.health_url, timeout=1.0, retries=False)
            return True
        except urllib3.exceptions.HTTPError:
            return False

    def is_alive(self):
        return self.process is not None and self.process.poll() is None

    def kill(self):
        if self.is_alive():
            self.process.kill()
            self.process.wait()

    def freeze(self):
        self.process.send_signal(signal.SIGSTOP)

    def thaw(self):
        self.process.send_signal(signal.SIGCONT)

    def terminate(self):
        self.process.send_signal(signal.SIGTERM)

    def wait_exit(self):
        return self.process.wait(STOP_LIMIT_S)

    def log_text(self):
        return self._log.read_text(errors="replace") if self._log.exists() else ""


def command(*arguments, expect=0):
    """Run the command line and return its output; fails unless it exits with ``expect``."""
    done = subprocess.run(
        [str(BIN / "yokedock"), *map(str, arguments)], capture_output=True, text=True, timeout=60
    )
    output = done.stdout + done.stderr
    assert done.returncode == expect, f"exit {done.returncode}, expected {expect}:\n{output}"
    return output


def write_ini(path, sections):
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_dict(sections)
    with path.open("w") as file:
        parser.write(file)
    return path


def new_deployment_key():
    return base64.b64encode(os.urandom(32)).decode()


def read_json(url, kind):
    response = urllib3.request("GET", url, timeout=5.0, retries=False)
    assert response.status == 200, f"{url}: {response.status} {response.data!r}"
    return msgspec.json.decode(response.data, type=kind)


def post_json(url, body):
    response = urllib3.request("POST", url, body=msgspec.json.encode(body), timeout=5.0)
    assert response.status == 200, f"{url}: {response.status} {response.data!r}"
