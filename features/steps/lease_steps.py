import time

from behave import given, then, when
from support.deployment import GATEWAYS, LEASE_S, Deployment


@given("a deployment with leases of {lease_s:d} s")
def deployment_with_leases(context, lease_s):
    context.deployment = Deployment(lease_s=lease_s)


@when("{name} dies")
def process_dies(context, name):
    context.deployment.nodes[name].kill()


@given("a deployment with heartbeats to idle peers every {idle_s:d} s")
def deployment_with_idle_heartbeats(context, idle_s):
    context.deployment = Deployment(idle_heartbeat_s=idle_s)


@given("nothing was sent for longer than a lease")
def longer_than_lease(context):
    time.sleep(LEASE_S + 0.5)


@then("nothing was refused or lost at any gateway")
def nothing_refused(context):
    for name in GATEWAYS:
        log = context.deployment.nodes[name].log_text()
        assert "lease_expired" not in log and "attempt lost" not in log, log[-2000:]
