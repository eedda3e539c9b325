"""The machine sleeps: the clock that counts it runs ahead of the one that stands still."""

import time
from unittest import mock

from behave import given, then, when
from router_steps import caller
from support.router_world import request_bytes

from yokedock.base import clock
from yokedock.process.leadership import Leadership, Vote


class SleepingTime:
    """Stands for the time module: ``suspended_for_s`` is added to the clock that counts a
    suspension."""

    def __init__(self):
        self.suspended_for_s = 0.0

    def __getattr__(self, name):
        return getattr(time, name)

    def clock_gettime(self, which):
        ahead_s = self.suspended_for_s if which == clock._CLOCK else 0.0
        return time.clock_gettime(which) + ahead_s


def sleeping_time(context):
    if not hasattr(context, "sleeping"):
        context.sleeping = SleepingTime()
        patch = mock.patch.object(clock, "time", context.sleeping)
        patch.start()
        context.add_cleanup(patch.stop)
    return context.sleeping


@when('a client with {limit_s:f} s sends a call on "{name}" and does not wait')
def send_call(context, limit_s, name):
    sleeping_time(context)
    context.caller = caller(context)
    headers = [("X-Deadline-Ms", str(round(limit_s * 1000)))]
    context.caller.send(request_bytes(name, headers=headers))
    backend = context.world.backends["a"]
    context.world.wait_for(lambda: backend.arrivals, "it has reached the backend")


@when("the machine is suspended for {suspended_for_s:f} s")
def suspend(context, suspended_for_s):
    sleeping_time(context).suspended_for_s += suspended_for_s
    context.told_s = time.monotonic()


@when(
    "the backends' open connections fall silent and the machine is suspended for "
    "{suspended_for_s:f} s"
)
def suspend_and_silence(context, suspended_for_s):
    sleeping_time(context)
    for backend in context.world.backends.values():
        backend.stop_responding()
    suspend(context, suspended_for_s)
    context.world.wait_for(lambda: not context.router._pool.size(), "what rested is dropped")


@then("the router tells of {count:d} suspension of {suspended_for_s:f} s")
def suspension_told(context, count, suspended_for_s):
    levels = context.router._suspension_monitor.levels()
    assert levels["suspensions"] == count and abs(levels["suspended_s"] - suspended_for_s) < 0.1, (
        levels
    )


@given("{count:d} repeats were made in this window")
def repeats_made(context, count):
    sleeping_time(context)
    for _ in range(count):
        context.router._allowance.record_extra("plain")
    assert len(context.router._allowance.counts("plain").extras) == count


@then("no repeat counts any more")
def none_counts(context):
    assert not context.router._allowance.counts("plain").extras


@given("a router that leads by the votes it has heard")
def leader(context):
    sleeping_time(context)
    context.leadership = Leadership("127.0.0.1", 1.0, True)
    hear_votes(context)
    context.world.wait_for(lambda: leads(context), "it leads")


def hear_votes(context):
    for other in ("127.0.0.2", "127.0.0.3"):
        now_s = clock.boot_time_s()
        context.leadership.heard(Vote(other, "127.0.0.1", now_s, False))


def leads(context):
    hear_votes(context)
    context.leadership.vote()
    return context.leadership.leads(3)


@then("it does not lead until it is voted for again")
def leads_no_more(context):
    assert not context.leadership.leads(3)
    context.world.wait_for(lambda: leads(context), "it leads again")
