"""Starts one deployment for each feature that asks for it, and heals it after each scenario."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))

from support.deployment import Deployment

DEPLOYMENT_TAG = "deployment"
NO_FENCING_TAG = "no-fencing"
SMALL_MACHINES_TAG = "small-machines"
SMALL_MACHINE = {"memory_mb": "96", "max_descriptors": "300"}
LARGE_CALLS = {"max_service_body_bytes": "1000000"}


def before_feature(context, feature):
    context.deployment = None
    if DEPLOYMENT_TAG in feature.tags:
        context.deployment = new_deployment(feature)


def new_deployment(feature):
    if SMALL_MACHINES_TAG in feature.tags:
        return Deployment(machine=SMALL_MACHINE, limits=LARGE_CALLS)
    return Deployment(checks_fencing=NO_FENCING_TAG not in feature.tags)


def after_scenario(context, scenario):
    if context.deployment is None:
        return
    if scenario.status.name in ("failed", "error"):
        print(context.deployment.recent_logs())
    died = [node.name for node in context.deployment.nodes.values() if node.has_died()]
    reports = [context.deployment.exit_report(name) for name in died]
    context.deployment.heal()
    assert not died, f"processes died by themselves: {died}\n{reports}"

    if DEPLOYMENT_TAG not in context.feature.tags:
        close_deployment(context)


def after_feature(context, feature):
    close_deployment(context)


def close_deployment(context):
    if context.deployment is not None:
        context.deployment.close()
        context.deployment = None
