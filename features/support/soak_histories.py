"""Synthetic soak histories, each with one event that the checks must report or must accept."""

from yokedock_emulator.router_soak.soak_parts import CRASHING_PREFIX
from yokedock_emulator.router_soak.soak_records import (
    POISON_MARK,
    Arrival,
    ClientRecord,
    LimitSpan,
    ProcessorWait,
    RouterLife,
    SoakHistory,
    SoakRoute,
)

START_S = 1000.0


class HistoryBuilder:
    """Builds a history with one router and five configurations, the newest confirmed long ago."""

    def __init__(self):
        self.life = RouterLife(0, 1, START_S - 100.0, START_S - 99.0)
        self.history = SoakHistory(lives={(0, 1): self.life})
        self.history.published_s = {v: START_S - 60.0 + 10.0 * v for v in range(1, 6)}
        self.history.at_end = {0: {"router_active": 0.0, "router_table_promises": 0.0}}

    def request(self, kind="once", version=4, at_s=0.0, took_s=0.1, status=200, outcome="answered"):
        """Add a completed request."""
        name = f"r{len(self.history.records)}"
        record = ClientRecord(name, SoakRoute(kind, version, 0), 0, 1, b"abc", START_S + at_s)
        record.end_s, record.status, record.outcome = record.sent_s + took_s, status, outcome
        self.history.records[name] = record
        return record

    def arrival(self, record, instance="i-1", outcome="whole", late_s=0.01):
        """Add the arrival of a request at a backend."""
        target = f"/{record.route.name}/x?of={record.request_id}"
        arrival = Arrival(
            record.request_id,
            instance,
            record.route.service,
            "POST",
            target,
            record.body,
            record.sent_s + late_s,
            False,
            outcome,
        )
        self.history.arrivals.append(arrival)
        return arrival


def no_violation(builder):
    builder.arrival(builder.request())


def sent_after_leaving_notice(
    builder, later_s, announces_leaving=True, freezes=(), last_router_life=1
):
    """A router forwards a response and later sends another request to the same backend."""
    arrival = builder.arrival(builder.request())
    arrival.says_leaving = announces_leaving
    builder.life.freezes += freezes
    record = builder.request(at_s=later_s)
    if last_router_life != record.life:
        record.life = last_router_life
        builder.history.lives[0, last_router_life] = RouterLife(
            0, last_router_life, START_S, START_S
        )
    builder.arrival(record)


def add_processor_waits(builder, waited_s, from_s, to_s):
    """Add readings of a processor wait of ``waited_s`` in total, spread evenly over a span."""
    for share in (0.0, 0.25, 0.5, 0.75, 1.0):
        at_s = from_s + share * (to_s - from_s)
        builder.life.processor_waits.append(ProcessorWait(at_s, 1.0 + share * waited_s))


def sent_late_after_processor_wait(builder, waited_s):
    """A router that waited ``waited_s`` for a processor uses a backend that left 3.5 s ago."""
    add_processor_waits(builder, waited_s, START_S - 3.5, START_S)
    builder.history.leaving_s["i-1"] = START_S - 3.5
    builder.arrival(builder.request())


def sent_after_leaving_notice_and_processor_wait(builder, waited_s):
    """A router forwards a leaving notice, waits for a processor and sends a request after 2.2 s."""
    add_processor_waits(builder, waited_s, START_S + 0.1, START_S + 2.2)
    sent_after_leaving_notice(builder, 2.2)


def sent_in_rest_period_after_processor_wait(builder, waited_s):
    """A router waits ``waited_s`` for a processor and sends three requests in a rest period."""
    add_processor_waits(builder, waited_s, START_S, START_S + 1.0)
    sent_in_rest_period(builder, (0.75, 0.8, 0.85))


def sent_in_rest_period(builder, offsets_s, rest_s=2.0, backend_lives=1):
    """A backend asks for a rest period and gets requests at ``offsets_s``, in seconds from then."""
    refused = builder.arrival(builder.request(), outcome="refused")
    builder.arrival(builder.history.records[refused.request_id], "i-2")
    refused.rest_s = rest_s
    for offset_s in offsets_s:
        builder.arrival(builder.request(at_s=offset_s)).backend_incarnation = backend_lives - 1


def sent_over_limit(builder, count, names_limit=True, last_router_life=1):
    """A backend announces a limit of 1 request per second and gets ``count`` within 3 s."""
    builder.history.limits[0] = [LimitSpan(START_S - 0.1, 1.0)]
    builder.history.lives[0, last_router_life] = RouterLife(0, last_router_life, START_S, START_S)
    builder.arrival(builder.request()).names_limit = names_limit
    for number in range(count):
        record = builder.request(at_s=0.7 + 3.0 * number / count)
        record.life = last_router_life
        builder.arrival(record)


def resumed_at_versions(builder, first, then):
    """A stream begins at one version, and its caller gets an event of another request for it."""
    cut = builder.request("chat", status=200, outcome="answered")
    cut.events, cut.versions = 3, {first}
    rest = builder.request("chat", at_s=1.0)
    rest.first_request, rest.last_event_id, rest.events = cut.request_id, 3, 4
    rest.versions = {then}


def resumed_streams_refused(builder, engines, refused=8, count=12):
    """Callers resume ``count`` streams of a version with ``engines`` engines."""
    builder.history.engines = {"v1": [(START_S - 50.0, engines)]}
    for number in range(count):
        first = builder.request("chat", at_s=0.5 * number)
        first.events, first.versions = 3, {"v1"}
        is_refused = number < refused
        rest = builder.request("chat", at_s=0.5 * number + 0.3, status=503 if is_refused else 200)
        rest.first_request, rest.last_event_id = first.request_id, 3
        rest.events, rest.versions = (0, set()) if is_refused else (9, {"v1"})


def resumed_after_all_killed(builder, refused, count=20, engines=2, ready_s=3.5, life=2):
    """Callers resume ``count`` streams ``ready_s`` after the start that follows a kill of all."""
    killed_s = START_S + 5.0
    builder.life.killed_s = builder.life.ended_s = killed_s
    builder.history.all_routers_killed_s = [killed_s]
    builder.history.engines = {"v1": [(START_S - 50.0, engines)]}
    builder.history.lives[0, 2] = RouterLife(0, 2, killed_s, killed_s + 1.0)
    for number in range(count):
        first = builder.request("chat", at_s=4.9, outcome="cut")
        first.events, first.versions = 3, {"v1"}
        is_refused = number < refused
        rest = builder.request("chat", at_s=6.0 + ready_s, status=503 if is_refused else 200)
        rest.life, rest.first_request, rest.last_event_id = life, first.request_id, 3
        rest.events, rest.versions = (0, set()) if is_refused else (9, {"v1"})


def resumed_at_rollout(builder, refused, count=20, engines=2, began_cut=(), omits=False, cut_s=0):
    """Callers resume ``count`` streams after a rollout; their router was cut off for ``cut_s``."""
    builder.history.rollouts_s = [START_S]
    builder.history.engines = {"v1": [(START_S - 50.0, engines)]}
    builder.life.cuts = [(START_S + 9.5, START_S + 9.5 + cut_s)] if cut_s else []
    builder.history.lives[1, 1] = RouterLife(1, 1, START_S - 100.0, START_S - 99.0)
    builder.history.lives[1, 1].cuts += began_cut
    for number in range(count):
        first = builder.request("chat", at_s=4.9, outcome="left")
        first.router, first.events, first.versions = 1, 3, {"v1"}
        is_refused = number < refused
        rest = builder.request("chat", at_s=10.0, status=503 if is_refused else 200)
        rest.first_request, rest.last_event_id = first.request_id, 3
        rest.omits_first_request = omits
        rest.events, rest.versions = (0, set()) if is_refused else (9, {"v1"})


def ran_twice(builder):
    record = builder.request()
    builder.arrival(record, "i-1", "broken")
    builder.arrival(record, "i-2")


def refused_request_ran(builder):
    builder.arrival(builder.request(status=503))


def poison_request(builder, attempts):
    """Let each attempt of one request crash a backend, at intervals of a second."""
    for number in range(attempts):
        record = builder.request("repeat", at_s=float(number), status=502)
        record.body, record.path = POISON_MARK + b"1", "poison-1"
        arrival = builder.arrival(record, f"i-{number}", "broken")
        arrival.target, arrival.body, arrival.is_own_end = record.target, record.body, True


def crashing_part(builder, attempts):
    """Let requests with one part, no two alike, crash an engine each, at intervals of a second."""
    for number in range(attempts):
        record = builder.request("chat", at_s=float(number), status=502)
        record.parts = ("first-0", f"{CRASHING_PREFIX}1")
        arrival = builder.arrival(record, f"i-{number}", "broken")
        arrival.is_own_end, arrival.has_crashed_backend = True, True
        arrival.backend_incarnation = number


def harmless_beside_crashing_part(builder, begun):
    """Of 20 harmless requests with the same first part, ``begun`` begin while the part comes."""
    for number in range(20):
        builder.request("talk", version=2, at_s=-28.0 + number / 2).parts = ("first-0",)
    crashing_part(builder, 1)
    builder.request("chat", at_s=30.0, status=503).parts = ("first-0", f"{CRASHING_PREFIX}1")
    for number in range(20):
        status = 200 if number < begun else 503
        builder.request("talk", at_s=8.0 + number, status=status).parts = ("first-0",)


def cut_while_stopping(builder):
    builder.life.terminated_s, builder.life.ended_s, builder.life.exit_code = (
        START_S,
        START_S + 3.0,
        0,
    )
    builder.request(outcome="cut", status=None, took_s=0.5)


def cut_after_forwarding(builder):
    builder.arrival(builder.request(outcome="cut", status=None), outcome="broken")


def client_timed_out(builder):
    builder.request(outcome="gave up", status=None, took_s=10.0)


def response_abandoned(builder):
    builder.arrival(builder.request("repeat", status=502, took_s=0.3), outcome="broken")


def router_generated_error(builder):
    builder.arrival(builder.request(status=500))


def valid_request_rejected(builder):
    builder.request(status=400)


def malformed_response(builder):
    record = builder.request()
    record.problems.append("the body is not the backend's")
    builder.arrival(record)


def unsent_request_ran(builder):
    record = builder.request()
    builder.arrival(record)
    builder.arrival(record).request_id = "nobody's"


def body_changed(builder):
    builder.arrival(builder.request()).body = b"abd"


def wrong_service(builder):
    builder.arrival(builder.request()).service = "plain-b"


def sent_late_to_leaving(builder):
    builder.history.leaving_s["i-1"] = START_S - 3.5
    builder.arrival(builder.request())


def outdated_configuration(builder):
    builder.arrival(builder.request(version=2))


def configuration_reverted(builder):
    builder.history.published_s |= {5: START_S - 2.0}
    builder.arrival(builder.request(version=5, at_s=-1.5))
    builder.request(version=5, at_s=-1.0, status=404)


def retry_budget_exceeded(builder):
    for number in range(14):
        record = builder.request("repeat", at_s=0.1 * number)
        builder.arrival(record, "i-1", "failed")
        builder.arrival(record, "i-2")


def exited_unexpectedly(builder):
    builder.life.ended_s, builder.life.exit_code = START_S, 1


def ended_by_sighup(builder, is_handled):
    """Let SIGHUP end a starting process; ``is_handled`` tells if its first line has run."""
    life = builder.life
    life.ready_s, life.hung_up_unhandled = None, not is_handled
    life.ended_s, life.exit_code = life.started_s + 0.05, -1


def grace_period_exceeded(builder):
    builder.life.terminated_s, builder.life.killed_s = START_S, START_S + 8.1
    builder.life.ended_s, builder.life.exit_code = START_S + 8.2, -9


def request_held_at_end(builder):
    builder.history.at_end[0]["router_active"] = 1.0


def cut_by_kill(builder):
    builder.life.killed_s, builder.life.ended_s, builder.life.exit_code = (
        START_S + 0.1,
        START_S + 0.1,
        -9,
    )
    builder.arrival(builder.request(outcome="cut", status=None, took_s=0.2), outcome="broken")


def crossed_connection_close(builder):
    builder.request(outcome="cut", status=None, took_s=0.1)


def backend_aborted_stream(builder):
    record = builder.request("talk", outcome="cut")
    builder.arrival(record, outcome="broken").is_own_end = True


def cut_while_soak_stalled(builder):
    builder.history.stood_still_s.append((START_S + 0.1, START_S + 0.9))
    builder.arrival(builder.request("talk", outcome="cut", took_s=1.2), outcome="broken")


def sent_late_after_freeze(builder):
    builder.life.freezes.append((START_S - 3.0, START_S - 0.5))
    sent_late_to_leaving(builder)


def sent_late_after_restore(builder, left_ago_s):
    """After a store restore, send a request to a backend that left ``left_ago_s`` earlier."""
    builder.history.leaving_s["i-1"] = START_S - left_ago_s
    builder.history.store_silent_s.append((START_S - 4.5, START_S - 1.0))
    builder.history.restored_s.append((START_S - 9.0, START_S - 4.5, START_S - 1.0))
    builder.arrival(builder.request())


def sent_late_after_start_before_restore(builder, ready_s):
    """A router starts after a backend has left; a restored backup lists it as ready."""
    builder.life.ready_s = ready_s
    sent_late_after_restore(builder, 8.0)


def outdated_while_store_silent(builder):
    builder.history.published_s[5] = START_S - 6.0
    builder.history.store_silent_s.append((START_S - 5.5, START_S - 1.0))
    builder.arrival(builder.request(version=2))


def cut_turned_away_stream(builder, outcome="broken", took_s=1.0):
    """A stream is cut that a second engine had turned away; add what happened beside it."""
    record = builder.request("chat", outcome="cut", took_s=took_s)
    builder.arrival(record, "i-1", "broken").is_own_end = outcome == "own end"
    builder.arrival(record, "i-2", "refused", late_s=0.5)


def terminate(builder, ago_s):
    """Let the router get SIGTERM ``ago_s`` before the first request, and stop within its grace."""
    life = builder.life
    life.terminated_s, life.exit_code = START_S - ago_s, 0
    life.ended_s = life.terminated_s + 7.5


def cut_beside_stop(builder, ago_s=1.0, took_s=1.0, outcome="broken"):
    terminate(builder, ago_s)
    cut_turned_away_stream(builder, outcome, took_s)


def cut_beside_stop_after_freeze(builder, frozen_ago_s):
    """A router that was frozen until ``frozen_ago_s`` before a request cuts it in its stop."""
    builder.life.freezes.append((START_S - frozen_ago_s - 1.0, START_S - frozen_ago_s))
    cut_beside_stop(builder)


def cut_after_grace(builder, killed_after_s):
    """A stopping router, frozen long before, is killed and cuts a request that it passed on."""
    life = builder.life
    life.freezes.append((START_S - 20.0, START_S - 19.0))
    life.terminated_s = START_S - 5.0
    life.killed_s = life.ended_s = life.terminated_s + killed_after_s
    life.exit_code = -9
    record = builder.request(outcome="cut", status=None, took_s=life.killed_s - START_S)
    builder.arrival(record, outcome="broken")


def cut_beside_hang_up(builder, ago_s):
    builder.life.hang_ups_s.append(START_S - ago_s)
    cut_turned_away_stream(builder)


def cut_beside_configuration(builder, others):
    """A stream is cut beside a configuration, as are ``others`` out of 4 at other times."""
    builder.history.published_s[6] = START_S - 1.0
    cut_turned_away_stream(builder)
    for number in range(4):
        is_cut = number < others
        record = builder.request(
            "chat", at_s=20.0 + number, outcome="cut" if is_cut else "answered"
        )
        builder.arrival(record, outcome="broken" if is_cut else "whole")
        builder.arrival(record, "i-2", "refused", late_s=0.5)


def given_up_in_stop(builder, taken_after_s):
    """A request sent ``taken_after_s`` after SIGTERM gets 502 near the end of the stop."""
    terminate(builder, taken_after_s)
    took_s = 7.2 - taken_after_s
    builder.arrival(builder.request(status=502, took_s=took_s), outcome="broken")


def most_connections(builder, served, unread=0):
    """A router gets most new connections for 8 s; 30 requests before, 30 from 3.1 s on.

    Of those, ``unread`` are cut without an answer, the others beyond ``served`` refused.
    """
    builder.history.uneven_spans.append((0, START_S, START_S + 8.0))
    for number in range(30):
        builder.arrival(builder.request(at_s=-4.9 + 0.1 * number))
    ends = ["served"] * served + ["refused"] * (30 - served - unread) + ["unread"] * unread
    for number in range(30):
        at_s, end = 3.1 + 0.1 * number, ends[7 * number % 30]
        if end == "served":
            record = builder.request(at_s=at_s)
            record.is_first = True
            builder.arrival(record)
        elif end == "refused":
            builder.request(at_s=at_s, status=503)
        else:
            record = builder.request(at_s=at_s, status=None, outcome="cut")
            record.is_first = record.is_reset = True


def leaves_all_new_connections(builder, tries):
    """A router that gets most new connections closes ``tries`` unread within 4 s."""
    builder.history.uneven_spans.append((0, START_S, START_S + 4.0))
    for number in range(tries):
        record = builder.request(at_s=0.1 + 0.3 * number, status=None, outcome="cut")
        record.is_first = record.is_reset = True


HISTORIES = {
    "a router with most connections served 21 of 30": lambda b: most_connections(b, 21),
    "a router with most connections served 24 of 30": lambda b: most_connections(b, 24),
    "a router with most connections served 10, and left 20 unread": lambda b: most_connections(
        b, 10, 20
    ),
    "a router with most connections left seven in a row unread": lambda b: (
        leaves_all_new_connections(b, 7)
    ),
    "a router with most connections left six in a row unread": lambda b: leaves_all_new_connections(
        b, 6
    ),
    "nothing went wrong": no_violation,
    "a request that may run once ran at two backends": ran_twice,
    "a refused request had run": refused_request_ran,
    "a request was cut in a router that was stopping": cut_while_stopping,
    "a request that was passed on was cut": cut_after_forwarding,
    "no answer came by the deadline": client_timed_out,
    "a sound backend's answer was given up": response_abandoned,
    "a failure came that no backend gave": router_generated_error,
    "a proper request was rejected": valid_request_rejected,
    "the answer has a fault of its own": malformed_response,
    "a backend ran what nobody sent": unsent_request_ran,
    "the body was changed on its way": body_changed,
    "another service than the route's ran it": wrong_service,
    "a backend listed as leaving got a request": sent_late_to_leaving,
    "a backend that left well before a restore got a request": lambda builder: (
        sent_late_after_restore(builder, 8.0)
    ),
    "an old configuration was in force for too long": outdated_configuration,
    "a router went back to an older configuration": configuration_reverted,
    "extra arrivals went over the budget": retry_budget_exceeded,
    "a request that ends its backends was sent on": lambda builder: poison_request(builder, 20),
    "a request that ends its backends was kept from them in time": lambda builder: poison_request(
        builder, 5
    ),
    "requests with a part that ends engines were sent on": lambda builder: crashing_part(
        builder, 12
    ),
    "a part that ends engines was kept from them in time": lambda builder: crashing_part(
        builder, 11
    ),
    "nine of 20 harmless requests began beside a part that ends engines": (
        lambda builder: harmless_beside_crashing_part(builder, 9)
    ),
    "half of the harmless requests began beside a part that ends engines": (
        lambda builder: harmless_beside_crashing_part(builder, 10)
    ),
    "a backend whose leaving was passed on got a request": lambda builder: (
        sent_after_leaving_notice(builder, 2.2)
    ),
    "a backend whose leaving was passed on got a request soon": (
        lambda builder: sent_after_leaving_notice(builder, 1.9)
    ),
    "a backend that said nothing got a request": lambda builder: sent_after_leaving_notice(
        builder, 2.2, False
    ),
    "a router that was frozen since sent a leaving backend a request": (
        lambda builder: sent_after_leaving_notice(
            builder, 9.0, freezes=[(START_S + 1.0, START_S + 1.2)]
        )
    ),
    "a router that was started since sent a leaving backend a request": (
        lambda builder: sent_after_leaving_notice(builder, 9.0, last_router_life=2)
    ),
    "a backend at rest got three requests": lambda builder: sent_in_rest_period(
        builder, (0.6, 1.0, 1.8)
    ),
    "a backend at rest got three requests from a router that had waited long for a processor": (
        lambda builder: sent_in_rest_period_after_processor_wait(builder, 0.5)
    ),
    "a backend at rest got three requests from a router that had waited briefly for a processor": (
        lambda builder: sent_in_rest_period_after_processor_wait(builder, 0.2)
    ),
    "a router that had waited long for a processor sent a leaving backend a request": (
        lambda builder: sent_late_after_processor_wait(builder, 0.8)
    ),
    "a router that had waited briefly for a processor sent a leaving backend a request": (
        lambda builder: sent_late_after_processor_wait(builder, 0.2)
    ),
    "a backend whose leaving was passed on got a request after a long wait for a processor": (
        lambda builder: sent_after_leaving_notice_and_processor_wait(builder, 0.4)
    ),
    "a backend whose leaving was passed on got a request after a brief wait for a processor": (
        lambda builder: sent_after_leaving_notice_and_processor_wait(builder, 0.05)
    ),
    "a backend at rest got two requests": lambda builder: sent_in_rest_period(
        builder, (0.3, 0.6, 1.8, 2.1)
    ),
    "the next life of a backend at rest got three requests": (
        lambda builder: sent_in_rest_period(builder, (0.6, 1.0, 1.8), backend_lives=2)
    ),
    "a backend with a limit of 1 a second got twelve requests": (
        lambda builder: sent_over_limit(builder, 12)
    ),
    "a backend with a limit of 1 a second got eleven requests": (
        lambda builder: sent_over_limit(builder, 11)
    ),
    "a router that had not been told sent a limited backend twelve": (
        lambda builder: sent_over_limit(builder, 12, names_limit=False)
    ),
    "a router that was started since sent a limited backend twelve": (
        lambda builder: sent_over_limit(builder, 12, last_router_life=2)
    ),
    "a process ended by itself": exited_unexpectedly,
    "SIGHUP ended a process that was being loaded": lambda builder: ended_by_sighup(builder, True),
    "SIGHUP ended a process before its first line": lambda builder: ended_by_sighup(builder, False),
    "a process did not stop in its grace": grace_period_exceeded,
    "a router held a request at the end": request_held_at_end,
    "a killed router cut a request": cut_by_kill,
    "a request crossed the close of its connection": crossed_connection_close,
    "a backend broke off a stream": backend_aborted_stream,
    "all backends were silent with the soak itself, and a stream was cut": cut_while_soak_stalled,
    "a backend listed as leaving got a request from a frozen router": sent_late_after_freeze,
    "a router started after a backend left and well before a restore, and sent it a request": (
        lambda builder: sent_late_after_start_before_restore(builder, START_S - 7.9)
    ),
    "a router started after a backend left and just before a restore, and sent it a request": (
        lambda builder: sent_late_after_start_before_restore(builder, START_S - 7.0)
    ),
    "a backend that left just before a restore got a request": lambda builder: (
        sent_late_after_restore(builder, 5.0)
    ),
    "a stream went on at another version": lambda builder: resumed_at_versions(builder, "v1", "v2"),
    "a stream went on at its version": lambda builder: resumed_at_versions(builder, "v1", "v1"),
    "two thirds of the resumed streams were refused": lambda builder: resumed_streams_refused(
        builder, 2
    ),
    "two thirds of the resumed streams were refused, with one engine of their version": (
        lambda builder: resumed_streams_refused(builder, 1)
    ),
    "half of the resumed streams were refused": lambda builder: resumed_streams_refused(
        builder, 2, refused=6
    ),
    "most of eleven resumed streams were refused": lambda builder: resumed_streams_refused(
        builder, 2, refused=11, count=11
    ),
    "3 of 20 streams were refused after the loss of all routers": (
        lambda builder: resumed_after_all_killed(builder, 3)
    ),
    "2 of 20 streams were refused after the loss of all routers": (
        lambda builder: resumed_after_all_killed(builder, 2)
    ),
    "3 of 20 were refused after the loss of all routers, with one engine of their version": (
        lambda builder: resumed_after_all_killed(builder, 3, engines=1)
    ),
    "3 of 20 streams came to a process that was killed and had not ended": (
        lambda builder: resumed_after_all_killed(builder, 3, life=1)
    ),
    "3 of 20 streams were refused 2.5 s after the start of new routers": (
        lambda builder: resumed_after_all_killed(builder, 3, ready_s=2.5)
    ),
    "3 of 20 streams were refused beside a rollout": lambda builder: resumed_at_rollout(builder, 3),
    "2 of 20 streams were refused beside a rollout": lambda builder: resumed_at_rollout(builder, 2),
    "3 of 20 streams were refused beside a rollout, with one engine of their version": (
        lambda builder: resumed_at_rollout(builder, 3, engines=1)
    ),
    "3 of 20 streams were refused beside a rollout by a router that was cut off": (
        lambda builder: resumed_at_rollout(builder, 3, cut_s=0.2)
    ),
    "3 of 20 streams that began at a router cut off were refused beside a rollout": (
        lambda builder: resumed_at_rollout(builder, 3, began_cut=[(START_S + 4.0, START_S + 5.0)])
    ),
    "3 of 20 streams were refused beside a rollout whose callers did not name them": (
        lambda builder: resumed_at_rollout(builder, 3, omits=True)
    ),
    "an old configuration was in force while the store was silent": outdated_while_store_silent,
    "a stopping router cut a stream that one engine had turned away": cut_beside_stop,
    "a stopping router cut such a stream that it took 3.2 s after SIGTERM at its end": (
        lambda builder: cut_beside_stop(builder, 3.2, 4.0)
    ),
    "a stopping router cut such a stream that it took 2.8 s after SIGTERM at its end": (
        lambda builder: cut_beside_stop(builder, 2.8, 4.4)
    ),
    "a stopping router cut a stream that its engine had broken off": (
        lambda builder: cut_beside_stop(builder, outcome="own end")
    ),
    "a stopping router, frozen 3.5 s before, cut a stream that one engine had turned away": (
        lambda builder: cut_beside_stop_after_freeze(builder, 3.5)
    ),
    "a stopping router, frozen 2.5 s before, cut a stream that one engine had turned away": (
        lambda builder: cut_beside_stop_after_freeze(builder, 2.5)
    ),
    "a router that outlasted its grace time cut a request": (
        lambda builder: cut_after_grace(builder, 8.1)
    ),
    "a router that was killed in its grace time cut a request": (
        lambda builder: cut_after_grace(builder, 6.0)
    ),
    "a router cut a stream, turned away by one engine, within 2 s of SIGHUP": (
        lambda builder: cut_beside_hang_up(builder, 1.9)
    ),
    "a router cut a stream, turned away by one engine, long after SIGHUP": (
        lambda builder: cut_beside_hang_up(builder, 2.1)
    ),
    "a router cut such a stream beside a configuration only": (
        lambda builder: cut_beside_configuration(builder, 0)
    ),
    "a router cut such streams beside a configuration about as often as at other times": (
        lambda builder: cut_beside_configuration(builder, 2)
    ),
    "a stopping router gave up a request that it took 3.2 s after SIGTERM": (
        lambda builder: given_up_in_stop(builder, 3.2)
    ),
    "a stopping router gave up a request that it took 2.8 s after SIGTERM": (
        lambda builder: given_up_in_stop(builder, 2.8)
    ),
}
