from behave import given, when
from support.deployment import Deployment


@given("a deployment with leases of {lease_s:d} s")
def deployment_with_leases(context, lease_s):
    context.deployment = Deployment(lease_s=lease_s)


@when("{name} dies")
def process_dies(context, name):
    context.deployment.nodes[name].kill()
