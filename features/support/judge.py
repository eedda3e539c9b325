"""The judge: reads the stand-ins' ledgers, never the system's own word."""

import time

from support.caller import StreamCaller
from support.deployment import LEASE_S

NO_NEW_WORK_AFTER_S = 3.0

RELEASE_LIMIT_S = 3 * LEASE_S + 8
"""Longest time after which something may still be held: leases, plus slack for a busy machine."""


def held_items(deployment):
    """Return everything any engine holds for a request."""
    return [
        (name, item)
        for name in deployment.engine_names()
        if deployment.nodes[name].is_alive()
        for item in deployment.ledger(name).held
    ]


def assert_nothing_held(deployment):
    """Fail if memory stays held at any engine beyond the lease time."""
    deployment.wait_for(
        lambda: not held_items(deployment), RELEASE_LIMIT_S, "released by every engine"
    )


def assert_nothing_dropped(deployment):
    """Fail if an engine was told to change its role while it still worked."""
    for name in deployment.engine_names():
        dropped = deployment.ledger(name).dropped_by_role_change
        assert not dropped, f"{name} dropped {dropped} at a change of its role"


def assert_answer_or_refusal(caller):
    """Fail unless the caller got its whole answer, or a refusal with a time to come back."""
    if caller.status == 200:
        assert caller.is_whole(), f"{caller.data[-300:]!r} {caller.error}"
        return
    assert caller.status in (429, 503), f"{caller.status} {caller.data[-300:]!r} {caller.error}"
    assert caller.outcome() == "not_run", caller.data
    assert int(caller.headers["Retry-After"]) >= 1, caller.headers


def assert_answered_once(caller):
    """Fail unless exactly one final answer came: the whole text or one typed error."""
    detail = f"{caller.status} {caller.data[-400:]!r} {caller.error}"
    if caller.status == 200:
        assert caller.ends() == 1 and caller.is_prefix(), detail
        return
    assert caller.status is not None and caller.json_error() is not None, detail


def assert_not_run_is_true(deployment, caller, request_id):
    """Fail if the caller was told "not run" although an engine worked for the request."""
    if not request_id or caller.outcome() != "not_run":
        return
    for name in deployment.engine_names():
        started = [s for s in deployment.ledger(name).requests_started if s.startswith(request_id)]
        assert not started, f"told not_run, but {name} ran {started}"


def assert_version_everywhere(deployment):
    """Fail unless the newest bundle is in force on every process within 9 s."""
    deployment.wait_for(
        lambda: all(
            deployment.status(name).version == deployment.version
            for name in deployment.daemons()
            if deployment.nodes[name].is_alive()
        ),
        9.0,
        "at the newest version",
    )


def note_told(caller):
    """Print what the caller was told, for the count of outcomes at the end of a run."""
    if caller.json_error() is not None:
        print(f"told: {caller.outcome()}")
    elif caller.error is not None or caller.status is None:
        print("told: nothing")
    else:
        print("told: answer")


def executions_of(deployment, key):
    """Return what the services really ran for a key."""
    names = [name for name in deployment.urls if name.startswith("service ")]
    return [e for name in names for e in deployment.ledger(name).executions if e.key == key]


def assert_no_new_work(context, leaving):
    """Fail if a leaving back end starts anything after 3 s."""
    time.sleep(NO_NEW_WORK_AFTER_S)
    deployment = context.deployment
    started = work_started(deployment, leaving)
    for number in range(6):
        caller = StreamCaller(deployment.urls["gateway-2"], f"after leaving {number}", 3).wait()
        assert caller.status in (200, 429, 503), caller.data
    assert work_started(deployment, leaving) == started, f"{leaving} got new work"


def work_started(deployment, name):
    if f"engine {name}" in deployment.urls:
        return len(deployment.ledger(f"engine {name}").requests_started)
    return len(deployment.ledger(f"service {name}").executions)
