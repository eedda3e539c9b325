"""Helpers of the tests for running the command line and for JSON over HTTP."""

import base64
import os
import subprocess

import msgspec
import urllib3

from support.port_blocks import FIRST_PORT
from yokedock_emulator.process_group import Ports, program

PORT_BASE_VARIABLE = "YOKEDOCK_TEST_PORT_BASE"


def worker_ports():
    """Return the port allocator of this test worker."""
    return Ports(int(os.environ.get(PORT_BASE_VARIABLE, FIRST_PORT)))


def command(*arguments, expect=0):
    """Run the command line and return its output; fails unless it exits with ``expect``."""
    completed = subprocess.run(
        [program("yokedock"), *map(str, arguments)], capture_output=True, text=True, timeout=60
    )
    output = completed.stdout + completed.stderr
    assert completed.returncode == expect, (
        f"exit {completed.returncode}, expected {expect}:\n{output}"
    )
    return output


def new_deployment_key():
    return base64.b64encode(os.urandom(32)).decode()


def read_json(url, kind):
    response = urllib3.request("GET", url, timeout=5.0, retries=False)
    assert response.status == 200, f"{url}: {response.status} {response.data!r}"
    return msgspec.json.decode(response.data, type=kind)


def post_json(url, body):
    response = urllib3.request("POST", url, body=msgspec.json.encode(body), timeout=5.0)
    assert response.status == 200, f"{url}: {response.status} {response.data!r}"
