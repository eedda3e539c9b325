"""The faults of the matrix: each strikes the processes that serve one request, then is undone."""

import time

from support.deployment import DECODE, HOMES, LEASE_S, PREFILL
from support.processes import post_json
from yokedock.connection.machine_list import STATE_LEAVING, STATE_LIVE, Machine, MachineList

PAST_LEASE_S = LEASE_S + 0.7
"""A freeze or a cut lasts longer than every lease."""
ROLE_LIMIT_S = 20.0
LEAVING_LIMIT_S = 9.0


class Cell:
    """One request under one fault: who serves it, and how the fault works."""

    def __init__(self, deployment, gateway, caller):
        self.deployment = deployment
        self.gateway = gateway
        self.caller = caller
        self.prefill = busy(deployment, PREFILL)
        self.decode = busy(deployment, DECODE)
        self.home = busy(deployment, HOMES)

    def node(self, role):
        """Return the process that plays ``role`` for this request."""
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
        """Return the relay that stands in a link of this request."""
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
    """Return the agent that holds a request, else the first."""
    for name in names:
        if deployment.status(name).in_flight:
            return name
    return names[0]


def strike(cell, fault, go_on):
    """Apply a fault, let the held step go on, and undo what lasts. ``fault`` is "verb: object"."""
    verb, _, target = fault.partition(": ")
    _FAULTS[verb](cell, target, go_on)


def _kill(cell, target, go_on):
    """Kill a process; the platform replaces it a moment later."""
    node = cell.node(target)
    node.kill()
    go_on()
    node.start()
    node.wait_up()


def _freeze(cell, target, go_on):
    node = cell.node(target)
    node.freeze()
    go_on()
    time.sleep(PAST_LEASE_S)
    node.thaw()


def _cut(cell, target, go_on):
    cell.relay(target).cut()
    go_on()
    time.sleep(PAST_LEASE_S)
    cell.relay(target).heal()


def _hold(*directions):
    def hold(cell, target, go_on):
        cell.relay(target).hold(*directions)
        go_on()
        time.sleep(PAST_LEASE_S)
        cell.relay(target).heal()

    return hold


def _cancel(cell, target, go_on):
    cell.caller.leave()
    go_on()


def _outage(cell, target, go_on):
    cell.deployment.set_outage(**{target: True})
    go_on()
    time.sleep(PAST_LEASE_S)


def _old_version(cell, target, go_on):
    """The configuration service serves the version before the one in force."""
    deployment = cell.deployment
    old = deployment.signed
    deployment.publish()
    deployment.wait_for(
        lambda: any(deployment.status(n).version == deployment.version for n in all_daemons(cell)),
        9.0,
        "adopted by one process",
    )
    deployment.publish_directory(old)
    go_on()
    deployment.wait_for(
        lambda: all(deployment.status(n).version == deployment.version for n in all_daemons(cell)),
        9.0,
        "at the newest version",
    )
    deployment.publish_directory(deployment.signed)


def _roll(cell, target, go_on):
    """Roll a new bundle; with homes moved, the service's pool shrinks to one replica."""
    deployment = cell.deployment
    homes = HOMES[:1] if target == "homes moved" else HOMES
    deployment.publish(deployment.bundle_sections(homes))
    go_on()
    deployment.wait_for(
        lambda: all(deployment.status(n).version == deployment.version for n in all_daemons(cell)),
        9.0,
        "at the new version within 9 s",
    )


def all_daemons(cell):
    """Return the names of all reachable processes of the system."""
    return cell.deployment.daemons()


def _leaving(cell, target, go_on):
    """Put a back end on the leaving list; it gets no new work after 3 s."""
    name = {"prefill": cell.prefill, "decode": cell.decode, "service": cell.home}[target]
    machines = [
        Machine(other, STATE_LEAVING if other == name else STATE_LIVE)
        for other in cell.deployment.daemons()
    ]
    post_json(f"{cell.deployment.urls['platform']}/test/machines", MachineList(tuple(machines)))
    go_on()
    cell.leaving = name
    # The list lags: without this wait the fault would strike after its cell has ended.
    cell.deployment.wait_for(
        lambda: name in cell.deployment.leaving(), LEAVING_LIMIT_S, f"{name} seen leaving"
    )


def _stop(cell, target, go_on):
    """Planned stop: the process must let the request end first, then exit by itself."""
    node = cell.node(target)
    node.terminate()
    go_on()
    cell.caller.wait()
    assert node.wait_exit() == 0, f"{node.name} exited with an error"
    node.start()
    node.wait_up()


def _role_change(cell, target, go_on):
    """Give the request's engine the other role while it works: it must drain first."""
    deployment = cell.deployment
    name = {"prefill": cell.prefill, "decode": cell.decode}[target]
    other = {"prefill": "decode", "decode": "prefill"}[target]
    deployment.publish(deployment.bundle_sections(roles={name: other}))
    deployment.wait_for(
        lambda: deployment.status(name).version == deployment.version, 9.0, "adopted"
    )
    go_on()
    cell.caller.wait()
    wait_role(deployment, name, other)
    deployment.publish()
    wait_role(deployment, name, target)


def wait_role(deployment, name, role):
    """Wait until the engine itself says that it has the role."""
    deployment.wait_for(
        lambda: deployment.engine_role(name) == role, ROLE_LIMIT_S, f"{name} a {role} engine"
    )


def _stall(cell, target, go_on):
    """The engines' link stands still for longer than a lease."""
    cell.deployment.stall(True)
    go_on()
    time.sleep(PAST_LEASE_S)
    cell.deployment.stall(False)


_FAULTS = {
    "kill": _kill,
    "freeze": _freeze,
    "cut": _cut,
    "hold both": _hold("forth", "back"),
    "hold forth": _hold("forth"),
    "hold back": _hold("back"),
    "caller": _cancel,
    "configuration": _outage,
    "older version": _old_version,
    "roll": _roll,
    "leaving": _leaving,
    "planned stop": _stop,
    "stall": _stall,
    "role change": _role_change,
}
