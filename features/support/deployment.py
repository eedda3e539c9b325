"""A complete deployment of real processes, with a relay in front of every agent and backend."""

import hashlib
import shutil
import tempfile
import time
from pathlib import Path

from support.processes import (
    command,
    new_deployment_key,
    post_json,
    read_json,
    worker_ports,
)
from support.relay import Relay
from yokedock.base.clock import boot_time_s, wall_clock_ms
from yokedock.connection.engine_protocol import Load
from yokedock.connection.machine_list import MachineList
from yokedock.process.admin_http import ProcessStatus
from yokedock.process.bundle_files import (
    open_signed,
    read_private_key,
    read_signed,
    write_signed,
)
from yokedock.request.idempotency import new_key
from yokedock.version.bundle_codec import sign_bundle, with_previous_pools
from yokedock.version.bundle_source import read_bundle_source
from yokedock_emulator.ledgers import EngineLedger, HoldOrder, LinkState, ServiceLedger
from yokedock_emulator.platform import Outage, PublishedValue
from yokedock_emulator.process_group import Node, program, write_ini

MODEL = "hut-7b"
SERVICE = "stay-confirmation"
REPEATABLE = "price-list"
TOKEN = "test-token"
LEASE_S = 1.5
CLOCK_SKEW_MS = 200
READY_LIMIT_S = 30.0
PREFILL = ("prefill-1", "prefill-2")
DECODE = ("decode-1", "decode-2")
HOMES = ("booking-1", "booking-2")
PRICE_LIST_AGENTS = ("prices-1",)
GATEWAYS = ("gateway-1", "gateway-2")


class Deployment:
    """Emulators, agents and gateways of one test worker."""

    def __init__(
        self,
        checks_fencing=True,
        decode_slots=8,
        lease_s=LEASE_S,
        idle_heartbeat_s=0,
        machine=None,
        limits=None,
    ):
        """``machine`` are options of the section [machine], ``limits`` those of the bundle."""
        self.directory = Path(tempfile.mkdtemp(prefix="yokedock-test-"))
        self.ports = worker_ports()
        self.checks_fencing = checks_fencing
        self.decode_slots = decode_slots
        self.lease_s = lease_s
        self.idle_heartbeat_s = idle_heartbeat_s
        self.machine = machine or {}
        self.limits = limits or {}
        self.deployment_key = new_deployment_key()
        self.nodes = {}
        self.urls = {}
        self.admin = {}
        self.peer_addresses = {}
        self.agent_relays = {}
        self.transfer_relays = {}
        self.engine_relays = {}
        self.version = 0
        self.signed = None
        self.key_file = self.directory / "key"
        self.public_key = command("bundle", "keygen", self.key_file).strip()
        try:
            self._start_all()
        except BaseException:
            self.close()
            raise

    # --- Start ---

    def _start_all(self):
        self._add_emulator("platform", ["platform"])
        for name in (*PREFILL, *DECODE):
            self._add_emulator(f"engine {name}", ["engine", *self._engine_options(name)])
        for name in (*HOMES, *PRICE_LIST_AGENTS):
            self._add_emulator(f"service {name}", ["service"])
        for name in (*PREFILL, *DECODE, *HOMES, *PRICE_LIST_AGENTS):
            self._add_agent(name)
        for name in GATEWAYS:
            self._add_gateway(name)
        for node in self.nodes.values():
            node.start()
        for node in self.nodes.values():
            node.wait_up()
        self.publish()
        self.wait_ready()

    def _engine_options(self, name):
        return [
            "--role",
            name.split("-")[0],
            "--slots",
            str(self.decode_slots),
            "--step-base-ms",
            "8",
            "--prefill-tokens-per-s",
            "20000",
            "--checks-fencing" if self.checks_fencing else "--no-checks-fencing",
        ]

    def _add_emulator(self, name, arguments):
        address = self.ports.address()
        self.urls[name] = f"http://{address}"
        command_line = [program("yokedock-emulator"), *arguments, "--listen", address]
        file_name = name.replace(" ", "-")
        self.nodes[name] = Node(file_name, command_line, f"http://{address}/ledger", self.directory)

    def _add_agent(self, name):
        kind = "engine" if name in PREFILL + DECODE else "service"
        listen, admin = self.ports.address(), self.ports.address()
        backend = Relay(self.ports.address(), self.urls[f"{kind} {name}"].removeprefix("http://"))
        self.engine_relays[name] = backend
        self.peer_addresses[name] = listen
        self.agent_relays[name] = Relay(self.ports.address(), listen)
        self.transfer_relays[name] = Relay(self.ports.address(), listen)
        advertised_address = self.transfer_relays[name].address
        sections = {
            "process": {"name": name, "zone": f"zone-{name[-1]}"},
            "backend": {
                "kind": kind,
                "url": f"http://{backend.address}",
                "slots": str(self.decode_slots),
            },
            "peers": {**self._peer_options(), "listen": listen, "advertise": advertised_address},
        }
        self._add_daemon(name, "agent", sections, admin)

    def _add_gateway(self, name):
        listen, admin = self.ports.address(), self.ports.address()
        self.urls[name] = f"http://{listen}"
        sections = {
            "process": {"name": name, "zone": f"zone-{name[-1]}"},
            "caller": {"listen": listen, "max_in_flight": "64"},
            "peers": self._peer_options(),
        }
        self._add_daemon(name, "gateway", sections, admin)

    def _add_daemon(self, name, kind, sections, admin):
        sections["admin"] = {"listen": admin}
        sections["machine"] = self.machine
        sections["platform"] = {
            "configuration_url": self.urls["platform"],
            "machine_list_url": self.urls["platform"],
            "bundle_public_key": self.public_key,
            "machine_poll_ms": "200",
        }
        settings = write_ini(self.directory / f"{name}.ini", sections)
        command_line = [program("yokedock"), kind, "--settings", str(settings)]
        self.admin[name] = admin
        self.nodes[name] = Node(name, command_line, f"http://{admin}/health", self.directory)

    def _peer_options(self):
        return {
            "deployment_key": self.deployment_key,
            "heartbeat_ms": "100",
            "lease_ms": str(int(self.lease_s * 1000)),
            "idle_heartbeat_ms": str(self.idle_heartbeat_s * 1000),
        }

    # --- Bundles ---

    def bundle_sections(self, homes=HOMES, roles=None):
        """Return the bundle's source; ``roles`` overrides roles implied by engine names."""
        roles = roles or {}
        sections = {
            "limits": {
                "clock_skew_s": str(CLOCK_SKEW_MS / 1000),
                "max_attempts": "6",
                "retry_share": "1",
                **self.limits,
            },
            "class default": {"first_token_ms": "5000"},
            "tenant tester": {"token_sha256": hashlib.sha256(TOKEN.encode()).hexdigest()},
            f"model {MODEL}": {"prefill_tokens_per_s": "20000", "step_ms": "10"},
            f"service {SERVICE}": {"repeatable": "no"},
            f"service {REPEATABLE}": {"repeatable": "yes"},
        }
        for name in (*PREFILL, *DECODE):
            sections[f"engine {name}"] = {
                "pool": "main",
                "zone": f"zone-{name[-1]}",
                "agent": self.agent_relays[name].address,
                "role": roles.get(name, name.split("-")[0]),
                "model": MODEL,
            }
        for name in (*homes, *PRICE_LIST_AGENTS):
            sections[f"replica {name}"] = {
                "service": SERVICE if name in HOMES else REPEATABLE,
                "zone": f"zone-{name[-1]}",
                "agent": self.agent_relays[name].address,
            }
        return sections

    def sign(self, version, sections=None):
        """Sign a version with the command line; return the directory of its signed files."""
        source = write_ini(self.directory / f"{version}.ini", sections or self.bundle_sections())
        out = self.directory / f"signed-{version}"
        shutil.rmtree(out, ignore_errors=True)
        arguments = ["bundle", "sign", source, "--version", version, "--key", self.key_file]
        if self.signed is not None and self.version < version:
            arguments += ["--previous", self.signed]
        command(*arguments, "--out", out)
        return out

    def sign_in_process(self, version, sections):
        """Sign a version in this process, which is faster than a step can be held."""
        source = write_ini(self.directory / f"{version}.ini", sections or self.bundle_sections())
        bundle, key = read_bundle_source(source), self.private_key()
        if self.signed is not None:
            previous = open_signed(read_signed(self.signed), key.public_key())
            bundle = with_previous_pools(bundle, previous, wall_clock_ms())
        out = self.directory / f"signed-{version}"
        write_signed(sign_bundle(bundle, version, wall_clock_ms(), key), out)
        return out

    def publish(self, sections=None):
        """Sign and publish the next version."""
        out = self.sign_in_process(self.version + 1, sections)
        self.version += 1
        self.signed = out
        self.publish_directory(out)

    def publish_directory(self, directory):
        for item in read_signed(directory).published():
            self.publish_value(item.key, item.content)

    def publish_value(self, key, content):
        post_json(f"{self.urls['platform']}/test/publish", PublishedValue(key, content))

    def private_key(self):
        return read_private_key(self.key_file)

    # --- State ---

    def status(self, name):
        return read_json(f"http://{self.admin[name]}/status", ProcessStatus)

    def ledger(self, name):
        """Return an emulator's own record of what it executed and holds."""
        kind = EngineLedger if name.startswith("engine ") else ServiceLedger
        return read_json(f"{self.urls[name]}/ledger", kind)

    def engine_role(self, name):
        """Return the role that the engine itself reports."""
        return read_json(f"{self.urls[f'engine {name}']}/v1/load", Load).role

    def engine_names(self):
        return [f"engine {name}" for name in (*PREFILL, *DECODE)]

    def hold(self, step, kind="engine "):
        """Pause all emulators of a kind at a step; an empty step resumes them."""
        for name, url in self.urls.items():
            if name.startswith(kind) and self.nodes[name].is_alive():
                post_json(f"{url}/test/hold", HoldOrder(step))

    def stall(self, is_stalled):
        """Stall the transfer links between engines, or resume them."""
        for name in self.engine_names():
            if self.nodes[name].is_alive():
                post_json(f"{self.urls[name]}/test/link", LinkState(is_stalled))

    def set_outage(self, **what):
        post_json(f"{self.urls['platform']}/test/outage", Outage(**what))

    def fresh_key(self):
        """Return a key created after the start of every home agent plus the allowed clock skew.

        A restarted home agent refuses older keys by design, so this waits until none would.
        """
        started = max(self.status(name).incarnation for name in HOMES)
        while wall_clock_ms() <= started + CLOCK_SKEW_MS + 1:
            time.sleep(0.01)
        return new_key(wall_clock_ms())

    def daemons(self):
        return [*PREFILL, *DECODE, *HOMES, *PRICE_LIST_AGENTS, *GATEWAYS]

    def wait_ready(self, names=None):
        """Wait until the gateways see every agent connected and ready at the current version."""
        self.wait_for(
            lambda: all(map(self._sees_all_ready, names or GATEWAYS)), READY_LIMIT_S, "ready"
        )

    def _sees_all_ready(self, gateway):
        status = self.status(gateway)
        peers = [p for p in status.peers if p.connected and p.ready and p.version == self.version]
        return status.ready and status.version == self.version and len(peers) == len(status.peers)

    def wait_for(self, condition, limit_s, what):
        """Poll ``condition`` until it is true; fail with the recent logs after ``limit_s``."""
        deadline_s = boot_time_s() + limit_s
        while boot_time_s() < deadline_s:
            if condition():
                return
            time.sleep(0.02)
        raise AssertionError(f"not {what} after {limit_s} s\n{self.recent_logs()}")

    def recent_logs(self):
        """Return the last lines of every log for the report of a failed scenario."""
        tails = []
        for node in self.nodes.values():
            lines = [line[:400] for line in node.log_text().splitlines()[-6:]]
            tails.append(f"--- {node.name}\n" + "\n".join(lines))
        return "\n".join(tails)

    def exit_report(self, name):
        """Return the exit status and last log output of a process that exited unexpectedly."""
        node = next(node for node in self.nodes.values() if node.name == name)
        return f"{name}: status {node.process.returncode}\n{node.log_text()[-2000:]}"

    # --- Recovery and shutdown ---

    def heal(self):
        """Undo all faults, start stopped processes, and wait until everything is ready."""
        for relays in (self.agent_relays, self.transfer_relays, self.engine_relays):
            for relay in relays.values():
                relay.heal()
        down = [node for node in self.nodes.values() if not node.is_alive()]
        for node in self.nodes.values():
            if node.is_alive():
                node.thaw()
        for node in down:
            node.start()
        for node in down:
            node.wait_up()
        if any(node.name == "platform" for node in down):
            self.publish_directory(self.signed)
        self.set_outage()
        self.hold("")
        self.hold("", "service ")
        self.stall(False)
        post_json(f"{self.urls['platform']}/test/machines", MachineList(()))
        self.wait_for(lambda: not self.leaving(), READY_LIMIT_S, "live again")
        self.wait_ready()

    def leaving(self):
        """Return the names of the peers that any gateway sees as leaving."""
        peers = [peer for gateway in GATEWAYS for peer in self.status(gateway).peers]
        return {peer.name for peer in peers if peer.leaving}

    def close(self):
        for node in self.nodes.values():
            node.kill()
        for relays in (self.agent_relays, self.transfer_relays, self.engine_relays):
            for relay in relays.values():
                relay.close()
        shutil.rmtree(self.directory, ignore_errors=True)
