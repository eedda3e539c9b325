"""A deployment of real processes for benches: engines, services, an agent beside each, gateways."""

from __future__ import annotations

import dataclasses
import hashlib
import time
from pathlib import Path

import msgspec
import urllib3
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from yokedock.base.clock import boot_time_s, wall_clock_ms
from yokedock.process.bundle_files import format_public_key
from yokedock.version.bundle_codec import sign_bundle
from yokedock.version.bundle_source import read_bundle_source
from yokedock_emulator.platform import PublishedValue
from yokedock_emulator.process_group import Node, Ports, program, write_ini

TOKEN = "bench-token"
READY_LIMIT_S = 30.0
READY_POLL_S = 0.05
IniSections = dict[str, dict[str, str]]


@dataclasses.dataclass(frozen=True)
class BenchEngine:
    """One engine: its name, zone and role, and the options of its emulator.

    ``role`` is what it plays first; where ``is_flexible``, the bundle lets it change.
    """

    name: str
    zone: str
    role: str
    options: tuple[str, ...]
    backend: dict[str, str]
    is_flexible: bool = False


@dataclasses.dataclass(frozen=True)
class BenchPlan:
    """What to start and what the bundle says beside engines and the one tenant."""

    model: str
    model_options: dict[str, str]
    engines: tuple[BenchEngine, ...]
    bundle: IniSections
    gateways: tuple[str, ...] = ("zone-1",)
    gateway_options: IniSections = dataclasses.field(default_factory=dict)


class BenchDeployment:
    """The processes of one measurement."""

    def __init__(self, plan: BenchPlan, directory: Path, first_port: int) -> None:
        """Start everything and wait until every gateway sees every engine ready."""
        self._plan = plan
        self._directory = directory
        self._ports = Ports(first_port)
        self._key = Ed25519PrivateKey.generate()
        self.nodes: dict[str, Node] = {}
        self.engine_urls: dict[str, str] = {}
        self.admin: dict[str, str] = {}
        self._version = 0
        self._agents: dict[str, str] = {}
        self._platform = self._stand_in("platform", ["platform"])
        for engine in plan.engines:
            self._add_engine(engine)
        self.gateways = [self._add_gateway(n, zone) for n, zone in enumerate(plan.gateways, 1)]
        for node in self.nodes.values():
            node.start()
        for node in self.nodes.values():
            node.wait_up()
        self.publish({})
        self._wait_ready()

    def close(self) -> None:
        """End everything."""
        for node in self.nodes.values():
            node.kill()

    def gateway_node(self, number: int = 1) -> Node:
        """Return the process of a gateway."""
        return self.nodes[f"gateway-{number}"]

    def _stand_in(self, name: str, arguments: list[str]) -> str:
        address = self._ports.address()
        command = [program("yokedock-emulator"), *arguments, "--listen", address]
        self.nodes[name] = Node(name, command, f"http://{address}/ledger", self._directory)
        return f"http://{address}"

    def _add_engine(self, engine: BenchEngine) -> None:
        arguments = ["engine", "--role", engine.role, *engine.options]
        url = self._stand_in(f"engine-{engine.name}", arguments)
        self.engine_urls[engine.name] = url
        self._agents[engine.name] = self._ports.address()
        backend = {**engine.backend, "kind": "engine", "url": url}
        peers = {"listen": self._agents[engine.name]}
        self._daemon(engine.name, engine.zone, "agent", {"backend": backend, "peers": peers})

    def _add_gateway(self, number: int, zone: str) -> str:
        address = self._ports.address()
        caller = {"listen": address, "max_in_flight": "600"}
        sections = {"caller": caller, "peers": {}, **self._plan.gateway_options}
        self._daemon(f"gateway-{number}", zone, "gateway", sections)
        return address

    def _daemon(self, name: str, zone: str, kind: str, sections: IniSections) -> None:
        admin = self._ports.address()
        self.admin[name] = admin
        settings = {
            **sections,
            "process": {"name": name, "zone": zone},
            "admin": {"listen": admin},
            "platform": {
                "configuration_url": self._platform,
                "bundle_public_key": format_public_key(self._key.public_key()),
            },
        }
        path = write_ini(self._directory / f"{name}.ini", settings)
        command = [program("yokedock"), kind, "--settings", str(path)]
        self.nodes[name] = Node(name, command, f"http://{admin}/health", self._directory)

    def publish(self, roles: dict[str, str]) -> None:
        """Publish the next version; ``roles`` gives engines another fixed role."""
        self._version += 1
        sections: IniSections = {
            **self._plan.bundle,
            "tenant bench": {
                "token_sha256": hashlib.sha256(TOKEN.encode()).hexdigest(),
                "max_in_flight": "100000",
            },
            f"model {self._plan.model}": self._plan.model_options,
        }
        for engine in self._plan.engines:
            sections[f"engine {engine.name}"] = {
                "pool": "main",
                "zone": engine.zone,
                "agent": self._agents[engine.name],
                "role": roles.get(engine.name, "flexible" if engine.is_flexible else engine.role),
                "model": self._plan.model,
            }
        source = write_ini(self._directory / "bundle.ini", sections)
        bundle = read_bundle_source(source)
        signed = sign_bundle(bundle, self._version, wall_clock_ms(), self._key)
        for item in signed.published():
            self._publish_value(item.key, item.content)

    def _publish_value(self, key: str, content: bytes) -> None:
        body = msgspec.json.encode(PublishedValue(key, content))
        urllib3.request("POST", f"{self._platform}/test/publish", body=body)

    def _wait_ready(self) -> None:
        give_up_s = boot_time_s() + READY_LIMIT_S
        for address in self.gateways:
            while urllib3.request("GET", f"http://{address}/ready").status != 200:
                if boot_time_s() > give_up_s:
                    return
                time.sleep(READY_POLL_S)
        time.sleep(2 * READY_POLL_S)
