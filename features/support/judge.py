"""The judge: reads the stand-ins' ledgers, never the system's own word."""

from support.deployment import LEASE_S

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


def assert_answer_or_refusal(caller):
    """Fail unless the caller got its whole answer, or a refusal with a time to come back."""
    if caller.status == 200:
        assert caller.is_whole(), f"{caller.data[-300:]!r} {caller.error}"
        return
    assert caller.status in (429, 503), f"{caller.status} {caller.data[-300:]!r} {caller.error}"
    assert caller.outcome() == "not_run", caller.data
    assert int(caller.headers["Retry-After"]) >= 1, caller.headers
