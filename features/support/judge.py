"""Assertions on the emulators' ledgers, which are independent of the system's own reports."""

import time

from support.caller import StreamCaller
from support.deployment import LEASE_S

NO_NEW_WORK_AFTER_S = 3.0

RELEASE_TIMEOUT_S = 3 * LEASE_S + 8
"""Longest time for which resources may stay held: leases plus slack for a busy machine."""


def held_items(deployment):
    """Return every item that any engine holds for a request."""
    return [
        (name, item)
        for name in deployment.engine_names()
        if deployment.nodes[name].is_alive()
        for item in deployment.ledger(name).held
    ]


def assert_nothing_held(deployment):
    """Fail if any engine still holds memory after ``RELEASE_TIMEOUT_S``."""
    deployment.wait_for(
        lambda: not held_items(deployment), RELEASE_TIMEOUT_S, "released by every engine"
    )


def assert_nothing_dropped(deployment):
    """Fail if a role change made an engine drop requests in progress."""
    for name in deployment.engine_names():
        dropped = deployment.ledger(name).dropped_by_role_change
        assert not dropped, f"{name} dropped {dropped} in a role change"


def assert_answer_or_refusal(caller):
    """Fail unless the caller got its complete response, or a refusal with ``Retry-After``."""
    if caller.status == 200:
        assert caller.is_whole(), f"{caller.data[-300:]!r} {caller.error}"
        return
    assert caller.status in (429, 503), f"{caller.status} {caller.data[-300:]!r} {caller.error}"
    assert caller.outcome() == "not_run", caller.data
    assert int(caller.headers["Retry-After"]) >= 1, caller.headers


def assert_answered_once(caller):
    """Fail unless the response ended exactly once, with the end of its text or one typed error."""
    detail = f"{caller.status} {caller.data[-400:]!r} {caller.error}"
    if caller.status == 200:
        assert caller.ends() == 1 and caller.is_prefix(), detail
        return
    assert caller.status is not None and caller.json_error() is not None, detail


def assert_not_run_is_true(deployment, caller, request_id):
    """Fail if the caller got the outcome "not_run" although an engine started the request."""
    if not request_id or caller.outcome() != "not_run":
        return
    for name in deployment.engine_names():
        started = [s for s in deployment.ledger(name).requests_started if s.startswith(request_id)]
        assert not started, f"the outcome is not_run, but {name} started {started}"


def assert_version_everywhere(deployment):
    """Fail unless every live process has adopted the newest bundle within 9 s."""
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
    """Print the outcome that the caller got, for the summary at the end of a run."""
    if caller.json_error() is not None:
        print(f"told: {caller.outcome()}")
    elif caller.error is not None or caller.status is None:
        print("told: nothing")
    else:
        print("told: answer")


def executions_of(deployment, key):
    """Return the executions of a key that the services recorded."""
    names = [name for name in deployment.urls if name.startswith("service ")]
    return [e for name in names for e in deployment.ledger(name).executions if e.key == key]


def assert_no_new_work(context, leaving):
    """Fail if a leaving backend starts any request after 3 s."""
    time.sleep(NO_NEW_WORK_AFTER_S)
    deployment = context.deployment
    started = work_started_count(deployment, leaving)
    for number in range(6):
        caller = StreamCaller(deployment.urls["gateway-2"], f"after leaving {number}", 3).wait()
        assert caller.status in (200, 429, 503), caller.data
    assert work_started_count(deployment, leaving) == started, (
        f"leaving backend {leaving} started a new request"
    )


def work_started_count(deployment, name):
    if f"engine {name}" in deployment.urls:
        return len(deployment.ledger(f"engine {name}").requests_started)
    return len(deployment.ledger(f"service {name}").executions)
