import subprocess

from behave import then, when
from support.deployment import DECODE
from support.faults import busy

from yokedock_emulator.process_group import program

RECONNECT_LIMIT_S = 10.0
TOKENS_AFTER_CUT = 30
"""So many arrive at least before the next cut: more than may have been on their way."""


@when("every link between gateways and agents is cut and healed {count:d} times")
def cut_and_heal(context, count):
    deployment = context.deployment
    for _ in range(count):
        for relay in deployment.agent_relays.values():
            relay.cut()
            relay.heal()
        wait_connected(deployment)


def wait_connected(deployment):
    def connected():
        return all(
            not deployment.nodes[gateway].is_alive()
            or all(peer.connected for peer in deployment.status(gateway).peers)
            for gateway in ("gateway-1", "gateway-2")
        )

    deployment.wait_for(connected, RECONNECT_LIMIT_S, "connected again")


@then("{rounds:d} rounds of connecting to {peers:d} agents and leaving them end well")
def churn(context, rounds, peers):
    arguments = ["link-churn", "--peers", str(peers), "--rounds", str(rounds)]
    done = subprocess.run(
        [program("yokedock-emulator"), *arguments], capture_output=True, text=True, timeout=120
    )
    assert done.returncode == 0, f"status {done.returncode}: {done.stderr[-800:]}"
    assert f"round {rounds} of {rounds}" in done.stdout, done.stdout


@then("{count:d} hollow gateways connected to a hollow agent end with 0, and so does the agent")
def hollow_end(context, count):
    agent = hollow("hollow-agents", "--count", "1")
    address = agent.stdout.readline().strip()
    gateways = hollow("hollow-gateways", address, "--count", str(count), "--heartbeat-ms", "100")
    assert gateways.stdout.readline().strip() == "connected"
    for process in (gateways, agent):
        process.stdin.close()
        assert process.wait(30) == 0, process.returncode


def hollow(*arguments):
    command_line = [program("yokedock-emulator"), *arguments]
    return subprocess.Popen(command_line, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)


@then("no process has died")
def none_died(context):
    died = [node.name for node in context.deployment.nodes.values() if node.has_died()]
    assert not died, died


@when("the stream's link is cut and healed {count:d} times")
def cut_stream(context, count):
    deployment = context.deployment
    relay = deployment.agent_relays[busy(deployment, DECODE)]
    for _ in range(count):
        before = context.caller.data.count(b"\n\n")
        relay.cut()
        relay.heal()
        context.caller.wait_events(before + 5)


@when("each way over the stream's link takes {delay_ms:d} ms")
def slow_link(context, delay_ms):
    relay = context.deployment.agent_relays[busy(context.deployment, DECODE)]
    relay.delay_s = delay_ms / 1000


@when("that link is cut in mid-stream {count:d} times, and the stream goes on each time")
def cut_in_mid_stream(context, count):
    """Tokens are counted, not events: those that were made while the link was away come joined."""
    deployment, caller = context.deployment, context.caller
    relay = deployment.agent_relays[busy(deployment, DECODE)]
    delay_s = relay.delay_s
    for _ in range(count):
        before = caller.tokens()
        relay.cut()
        relay.heal()
        relay.delay_s = delay_s
        caller.wait_tokens(before + TOKENS_AFTER_CUT)
        assert not caller.ends(), "nothing came until the end of the stream"


@then("the stream was never placed anew")
def never_anew(context):
    started = [
        request
        for name in context.deployment.engine_names()
        for request in context.deployment.ledger(name).requests_started
        if "decode" in name
    ]
    assert not [request for request in started if request.endswith(".2")], started
