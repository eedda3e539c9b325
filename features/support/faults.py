"""Faults of the fault matrix: each is injected into the processes of one request, then undone."""

import time

from support.deployment import DECODE, HOMES, LEASE_S, PREFILL
from support.processes import post_json
from yokedock.connection.machine_list import STATE_LEAVING, STATE_LIVE, Machine, MachineList

FAULT_DURATION_S = LEASE_S + 0.7
"""Duration of freezes, cuts, holds, stalls and outages; longer than every lease."""
ROLE_CHANGE_TIMEOUT_S = 20.0
LEAVING_TIMEOUT_S = 9.0


class MatrixCell:
    """One cell of the fault matrix: a request and the processes that serve it."""

    def __init__(self, deployment, gateway, caller):
        self.deployment = deployment
        self.gateway = gateway
        self.caller = caller
        self.prefill = busy(deployment, PREFILL)
        self.decode = busy(deployment, DECODE)
        self.home = busy(deployment, HOMES)

    def node(self, role):
        """Return the process that has ``role`` for this request."""
        names = {
            "gateway": self.gateway,
            "prefill agent": self.prefill,
            "decode agent": self.decode,
            "prefill engine": f"engine {self.prefill}",
            "decode engine": f"engine {self.decode}",
            "service agent": self.home,
            "service": f"service {self.home}",
        }
        return self.deployment.nodes[names[role]]

    def relay(self, link):
        """Return the relay on a link that this request uses."""
        deployment = self.deployment
        relays = {
            "gateway to prefill agent": deployment.agent_relays[self.prefill],
            "gateway to decode agent": deployment.agent_relays[self.decode],
            "gateway to service agent": deployment.agent_relays[self.home],
            "agent to agent": deployment.transfer_relays[self.prefill],
            "prefill agent to engine": deployment.engine_relays[self.prefill],
            "decode agent to engine": deployment.engine_relays[self.decode],
            "agent to service": deployment.engine_relays[self.home],
        }
        return relays[link]


def busy(deployment, names):
    """Return the first agent with a request in flight, or the first one if all are idle."""
    for name in names:
        if deployment.status(name).in_flight:
            return name
    return names[0]


def strike(cell, fault, go_on):
    """Inject a fault, release the held step, and undo the fault. ``fault`` is "verb: target"."""
    verb, _, target = fault.partition(": ")
    _FAULTS[verb](cell, target, go_on)


def _kill(cell, target, go_on):
    """Kill a process and start its replacement after the held step is released."""
    node = cell.node(target)
    node.kill()
    go_on()
    node.start()
    node.wait_up()


def _freeze(cell, target, go_on):
    node = cell.node(target)
    node.freeze()
    go_on()
    time.sleep(FAULT_DURATION_S)
    node.thaw()


def _cut(cell, target, go_on):
    cell.relay(target).cut()
    go_on()
    time.sleep(FAULT_DURATION_S)
    cell.relay(target).heal()


def _hold(*directions):
    def hold(cell, target, go_on):
        cell.relay(target).hold(*directions)
        go_on()
        time.sleep(FAULT_DURATION_S)
        cell.relay(target).heal()

    return hold


def _disconnect_caller(cell, target, go_on):
    cell.caller.leave()
    go_on()


def _outage(cell, target, go_on):
    cell.deployment.set_outage(**{target: True})
    go_on()
    time.sleep(FAULT_DURATION_S)


def _serve_old_version(cell, target, go_on):
    """Make the configuration service serve the version before the current one."""
    deployment = cell.deployment
    old_directory = deployment.signed
    deployment.publish()
    deployment.wait_for(
        lambda: any(deployment.status(n).version == deployment.version for n in all_daemons(cell)),
        9.0,
        "adopted by one process",
    )
    deployment.publish_directory(old_directory)
    go_on()
    deployment.wait_for(
        lambda: all(deployment.status(n).version == deployment.version for n in all_daemons(cell)),
        9.0,
        "at the newest version",
    )
    deployment.publish_directory(deployment.signed)


def _roll_out(cell, target, go_on):
    """Roll out a new bundle; "homes moved" shrinks the service's pool to one replica."""
    deployment = cell.deployment
    home_agents = HOMES[:1] if target == "homes moved" else HOMES
    deployment.publish(deployment.bundle_sections(home_agents))
    go_on()
    deployment.wait_for(
        lambda: all(deployment.status(n).version == deployment.version for n in all_daemons(cell)),
        9.0,
        "at the new version within 9 s",
    )


def all_daemons(cell):
    """Return the names of all agents and gateways."""
    return cell.deployment.daemons()


def _mark_leaving(cell, target, go_on):
    """Mark a backend as leaving in the machine list; it gets no new work after 3 s."""
    name = {"prefill": cell.prefill, "decode": cell.decode, "service": cell.home}[target]
    machines = [
        Machine(other, STATE_LEAVING if other == name else STATE_LIVE)
        for other in cell.deployment.daemons()
    ]
    post_json(f"{cell.deployment.urls['platform']}/test/machines", MachineList(tuple(machines)))
    go_on()
    cell.leaving = name
    # The list is polled: without this wait the fault could take effect after the cell has ended.
    cell.deployment.wait_for(
        lambda: name in cell.deployment.leaving(), LEAVING_TIMEOUT_S, f"{name} seen leaving"
    )


def _stop_gracefully(cell, target, go_on):
    """Stop gracefully: the process must complete the request before it exits."""
    node = cell.node(target)
    node.terminate()
    go_on()
    cell.caller.wait()
    assert node.wait_exit() == 0, f"{node.name} exited with an error"
    node.start()
    node.wait_up()


def _role_change(cell, target, go_on):
    """Change the role of the request's engine while it is busy: it must drain first."""
    deployment = cell.deployment
    name = {"prefill": cell.prefill, "decode": cell.decode}[target]
    other = {"prefill": "decode", "decode": "prefill"}[target]
    deployment.publish(deployment.bundle_sections(roles={name: other}))
    deployment.wait_for(
        lambda: deployment.status(name).version == deployment.version, 9.0, "adopted"
    )
    go_on()
    cell.caller.wait()
    wait_for_role(deployment, name, other)
    deployment.publish()
    wait_for_role(deployment, name, target)


def wait_for_role(deployment, name, role):
    """Wait until the engine itself reports the role."""
    deployment.wait_for(
        lambda: deployment.engine_role(name) == role,
        ROLE_CHANGE_TIMEOUT_S,
        f"{name} a {role} engine",
    )


def _stall(cell, target, go_on):
    """Stall the transfer links between engines for longer than a lease."""
    cell.deployment.stall(True)
    go_on()
    time.sleep(FAULT_DURATION_S)
    cell.deployment.stall(False)


_FAULTS = {
    "kill": _kill,
    "freeze": _freeze,
    "cut": _cut,
    "hold both": _hold("forth", "back"),
    "hold forth": _hold("forth"),
    "hold back": _hold("back"),
    "caller": _disconnect_caller,
    "configuration": _outage,
    "older version": _serve_old_version,
    "roll": _roll_out,
    "leaving": _mark_leaving,
    "planned stop": _stop_gracefully,
    "stall": _stall,
    "role change": _role_change,
}
