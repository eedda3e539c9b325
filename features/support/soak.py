"""A randomized run of requests and faults whose order is determined by a seed.

The seed determines the requests, the faults and their order, but not their exact timing, which
depends on the machine. Run a failing seed several times to reproduce a failure.
"""

import dataclasses
import random
import time
import uuid

from support.caller import ServiceCaller, StreamCaller
from support.deployment import DECODE, GATEWAYS, HOMES, LEASE_S, PREFILL, SERVICE
from support.faults import FAULT_DURATION_S
from yokedock.base.clock import boot_time_s, wall_clock_ms
from yokedock.request.idempotency import new_key

MAX_PAUSE_S = 0.12
REQUESTS_BETWEEN_FAULTS = 5
CALL_SHARE = 0.3
RETRY_SHARE = 0.5
DISCONNECT_SHARE = 0.15
RECENT_CALLS = 4
DISCONNECT_SLACK_S = 2 * LEASE_S
"""Time after the kill of a gateway in which its connections may still break."""


@dataclasses.dataclass
class SentStream:
    """One streamed request of the run."""

    caller: StreamCaller
    request_id: str
    gateway: str
    sent_s: float
    has_disconnected: bool = False


@dataclasses.dataclass
class SentCall:
    """One call that is not repeatable, and its retries with the same key."""

    callers: list
    key: str


class Soak:
    """One randomized run on one deployment."""

    def __init__(self, deployment, seed):
        self._deployment = deployment
        self._random = random.Random(seed)
        self.streams = []
        self.calls = []
        self.struck = []
        """Every injected fault: its start time and its description."""
        self._gateway_kills = []
        self._faults = [
            self._kill_agent,
            self._kill_home_agent,
            self._kill_engine,
            self._kill_gateway,
            self._freeze,
            self._cut,
            self._roll_out,
            self._change_role,
            self._outage,
            self._stop_agent_gracefully,
        ]

    def run(self, requests):
        """Send ``requests`` requests with a fault after every few; wait for all responses."""
        for number in range(requests):
            self._send(number)
            if number % REQUESTS_BETWEEN_FAULTS == REQUESTS_BETWEEN_FAULTS - 1:
                fault = self._random.choice(self._faults)
                fault()
            time.sleep(self._random.uniform(0, MAX_PAUSE_S))
        self._deployment.heal()
        for caller in self.all_callers():
            caller.wait()

    def all_callers(self):
        """Return every caller of the run."""
        calls = [caller for call in self.calls for caller in call.callers]
        return [stream.caller for stream in self.streams] + calls

    # --- Requests ---

    def _send(self, number):
        gateway = self._random.choice(GATEWAYS)
        url = self._deployment.urls[gateway]
        if self._random.random() < CALL_SHARE:
            self._send_call(url)
        else:
            self._send_stream(number, gateway, url)
        self._maybe_disconnect()

    def _send_call(self, url):
        if self.calls and self._random.random() < RETRY_SHARE:
            call = self._random.choice(self.calls[-RECENT_CALLS:])
        else:
            call = SentCall([], new_key(wall_clock_ms()))
            self.calls.append(call)
        call.callers.append(ServiceCaller(url, SERVICE, b"confirm", call.key))

    def _send_stream(self, number, gateway, url):
        request_id = f"soak-{number}-{uuid.uuid4().hex[:8]}"
        prompt = f"request {number} of the soak: " * self._random.randint(1, 60)
        tokens = self._random.randint(1, 80)
        caller = StreamCaller(url, prompt, tokens, {"X-Request-Id": request_id})
        self.streams.append(SentStream(caller, request_id, gateway, boot_time_s()))

    def _maybe_disconnect(self):
        waiting = [s for s in self.streams if s.caller.is_waiting() and not s.has_disconnected]
        if waiting and self._random.random() < DISCONNECT_SHARE:
            stream = self._random.choice(waiting)
            stream.has_disconnected = True
            stream.caller.close()

    # --- Faults ---

    def _record_fault(self, what):
        self.struck.append((round(boot_time_s(), 2), what))

    def _kill_and_restart(self, name):
        self._record_fault(f"kill {name}")
        self._deployment.nodes[name].restart()

    def _kill_agent(self):
        self._kill_and_restart(self._random.choice((*PREFILL, *DECODE)))

    def _kill_home_agent(self):
        """Kill an agent that stores the idempotency keys, and retry the latest calls at once."""
        self._kill_and_restart(self._random.choice(HOMES))
        url = self._deployment.urls[self._random.choice(GATEWAYS)]
        for call in self.calls[-RECENT_CALLS:]:
            call.callers.append(ServiceCaller(url, SERVICE, b"confirm", call.key))

    def _kill_engine(self):
        self._kill_and_restart(f"engine {self._random.choice((*PREFILL, *DECODE))}")

    def _kill_gateway(self):
        name = self._random.choice(GATEWAYS)
        self._gateway_kills.append((name, boot_time_s()))
        self._kill_and_restart(name)

    def _freeze(self):
        name = self._random.choice((*PREFILL, *DECODE, *HOMES, *GATEWAYS))
        self._record_fault(f"freeze {name}")
        node = self._deployment.nodes[name]
        node.freeze()
        time.sleep(FAULT_DURATION_S)
        node.thaw()

    def _cut(self):
        deployment = self._deployment
        kinds = (deployment.agent_relays, deployment.transfer_relays, deployment.engine_relays)
        relay = self._random.choice(kinds)[self._random.choice((*PREFILL, *DECODE, *HOMES))]
        direction = self._random.choice((("forth",), ("back",), ("forth", "back")))
        self._record_fault(f"hold {direction} of {relay.address}")
        relay.hold(*direction)
        time.sleep(FAULT_DURATION_S)
        relay.heal()

    def _roll_out(self):
        self._record_fault("roll")
        self._deployment.publish()

    def _change_role(self):
        name = self._random.choice((*PREFILL, *DECODE))
        other = "decode" if name in PREFILL else "prefill"
        self._record_fault(f"{name} becomes {other}")
        self._deployment.publish(self._deployment.bundle_sections(roles={name: other}))

    def _outage(self):
        what = self._random.choice(("down", "stale"))
        self._record_fault(f"configuration {what}")
        self._deployment.set_outage(**{what: True})
        time.sleep(self._random.uniform(0, 1))
        self._deployment.set_outage()

    def _stop_agent_gracefully(self):
        name = self._random.choice((*PREFILL, *DECODE))
        self._record_fault(f"planned stop {name}")
        node = self._deployment.nodes[name]
        node.terminate()
        assert node.wait_exit() == 0, f"{name} exited with an error"
        node.start()
        node.wait_up()

    # --- Checks ---

    def may_have_broken(self, gateway, sent_s):
        """Return whether a kill of ``gateway`` may have broken a request sent at ``sent_s``."""
        kills = [at_s for name, at_s in self._gateway_kills if name == gateway]
        return any(at_s + DISCONNECT_SLACK_S >= sent_s for at_s in kills)
