"""Made-up histories of a soak, each with one thing that its judge must find, or must not."""

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


class Made:
    """A history with one router and five configurations, the newest long confirmed."""

    def __init__(self):
        self.life = RouterLife(0, 1, START_S - 100.0, START_S - 99.0)
        self.history = SoakHistory(lives={(0, 1): self.life})
        self.history.published_s = {v: START_S - 60.0 + 10.0 * v for v in range(1, 6)}
        self.history.at_end = {0: {"router_active": 0.0, "router_table_promises": 0.0}}

    def request(self, kind="once", version=4, at_s=0.0, took_s=0.1, status=200, outcome="answered"):
        """Add a request that was seen through."""
        name = f"r{len(self.history.records)}"
        record = ClientRecord(name, SoakRoute(kind, version, 0), 0, 1, b"abc", START_S + at_s)
        record.end_s, record.status, record.outcome = record.sent_s + took_s, status, outcome
        self.history.records[name] = record
        return record

    def arrival(self, record, instance="i-1", outcome="whole", late_s=0.01):
        """Add an arrival of a request."""
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


def nothing(made):
    made.arrival(made.request())


def said_and_sent(made, later_s, is_leaving=True, freezes=(), last_router_life=1):
    """A router passes on an answer and sends the same backend a request later."""
    first = made.arrival(made.request())
    first.says_leaving = is_leaving
    made.life.freezes += freezes
    record = made.request(at_s=later_s)
    if last_router_life != record.life:
        record.life = last_router_life
        made.history.lives[0, last_router_life] = RouterLife(0, last_router_life, START_S, START_S)
    made.arrival(record)


def add_processor_waits(made, waited_s, from_s, to_s):
    """Add readings of a wait for a processor of ``waited_s``, spread evenly over a span."""
    for share in (0.0, 0.25, 0.5, 0.75, 1.0):
        at_s = from_s + share * (to_s - from_s)
        made.life.processor_waits.append(ProcessorWait(at_s, 1.0 + share * waited_s))


def late_after_processor_wait(made, waited_s):
    """A backend left 3.5 s ago; a router that waited ``waited_s`` since then sends it a request."""
    add_processor_waits(made, waited_s, START_S - 3.5, START_S)
    made.history.leaving_s["i-1"] = START_S - 3.5
    made.arrival(made.request())


def said_and_sent_after_processor_wait(made, waited_s):
    """A router passes on a leaving, waits ``waited_s`` and sends a request 2.2 s later."""
    add_processor_waits(made, waited_s, START_S + 0.1, START_S + 2.2)
    said_and_sent(made, 2.2)


def sent_into_rest_after_processor_wait(made, waited_s):
    """A router waits for a processor for ``waited_s`` and sends three requests into a rest."""
    add_processor_waits(made, waited_s, START_S, START_S + 1.0)
    sent_into_rest(made, (0.75, 0.8, 0.85))


def sent_into_rest(made, moments, rest_s=2.0, backend_lives=1):
    """A backend asks for rest and gets requests ``moments`` seconds later."""
    asked = made.arrival(made.request(), outcome="refused")
    made.arrival(made.history.records[asked.request_id], "i-2")
    asked.rest_s = rest_s
    for moment_s in moments:
        made.arrival(made.request(at_s=moment_s)).backend_incarnation = backend_lives - 1


def sent_to_limited(made, count, names_limit=True, last_router_life=1):
    """A backend names a limit of 1 a second and gets so many requests within 3 s."""
    made.history.limits[0] = [LimitSpan(START_S - 0.1, 1.0)]
    made.history.lives[0, last_router_life] = RouterLife(0, last_router_life, START_S, START_S)
    made.arrival(made.request()).names_limit = names_limit
    for number in range(count):
        record = made.request(at_s=0.7 + 3.0 * number / count)
        record.life = last_router_life
        made.arrival(record)


def ran_twice(made):
    record = made.request()
    made.arrival(record, "i-1", "broken")
    made.arrival(record, "i-2")


def refused_had_run(made):
    made.arrival(made.request(status=503))


def poison(made, tries):
    """Let one request end a backend with each try, a second apart."""
    for number in range(tries):
        record = made.request("repeat", at_s=float(number), status=502)
        record.body, record.path = POISON_MARK + b"1", "poison-1"
        arrival = made.arrival(record, f"i-{number}", "broken")
        arrival.target, arrival.body, arrival.is_own_end = record.target, record.body, True


def cut_while_stopping(made):
    made.life.terminated_s, made.life.ended_s, made.life.exit_code = START_S, START_S + 3.0, 0
    made.request(outcome="cut", status=None, took_s=0.5)


def passed_on_and_cut(made):
    made.arrival(made.request(outcome="cut", status=None), outcome="broken")


def gave_up(made):
    made.request(outcome="gave up", status=None, took_s=10.0)


def given_up(made):
    made.arrival(made.request("repeat", status=502, took_s=0.3), outcome="broken")


def own_failure(made):
    made.arrival(made.request(status=500))


def rejected(made):
    made.request(status=400)


def faulty_answer(made):
    record = made.request()
    record.problems.append("the body is not the backend's")
    made.arrival(record)


def unasked(made):
    record = made.request()
    made.arrival(record)
    made.arrival(record).request_id = "nobody's"


def changed_body(made):
    made.arrival(made.request()).body = b"abd"


def other_service(made):
    made.arrival(made.request()).service = "plain-b"


def late_to_leaving(made):
    made.history.leaving_s["i-1"] = START_S - 3.5
    made.arrival(made.request())


def old_version(made):
    made.arrival(made.request(version=2))


def went_back(made):
    made.history.published_s |= {5: START_S - 2.0}
    made.arrival(made.request(version=5, at_s=-1.5))
    made.request(version=5, at_s=-1.0, status=404)


def over_budget(made):
    for number in range(14):
        record = made.request("repeat", at_s=0.1 * number)
        made.arrival(record, "i-1", "failed")
        made.arrival(record, "i-2")


def ended_itself(made):
    made.life.ended_s, made.life.exit_code = START_S, 1


def hung_up(made, is_handled):
    """Let SIGHUP end a process that is not ready yet; ``is_handled``: its first line has run."""
    life = made.life
    life.ready_s, life.hung_up_unhandled = None, not is_handled
    life.ended_s, life.exit_code = life.started_s + 0.05, -1


def outstayed(made):
    made.life.terminated_s, made.life.killed_s = START_S, START_S + 8.1
    made.life.ended_s, made.life.exit_code = START_S + 8.2, -9


def held(made):
    made.history.at_end[0]["router_active"] = 1.0


def killed_and_cut(made):
    made.life.killed_s, made.life.ended_s, made.life.exit_code = START_S + 0.1, START_S + 0.1, -9
    made.arrival(made.request(outcome="cut", status=None, took_s=0.2), outcome="broken")


def crossed(made):
    made.request(outcome="cut", status=None, took_s=0.1)


def backend_broke_off(made):
    record = made.request("talk", outcome="cut")
    made.arrival(record, outcome="broken").is_own_end = True


def all_silent(made):
    made.history.stood_still_s.append((START_S + 0.1, START_S + 0.9))
    made.arrival(made.request("talk", outcome="cut", took_s=1.2), outcome="broken")


def late_from_frozen(made):
    made.life.freezes.append((START_S - 3.0, START_S - 0.5))
    late_to_leaving(made)


def late_after_restore(made, left_ago_s):
    """Send a request to a backend that left ``left_ago_s`` earlier, after a store restore."""
    made.history.leaving_s["i-1"] = START_S - left_ago_s
    made.history.store_silent_s.append((START_S - 4.5, START_S - 1.0))
    made.history.restored_s.append((START_S - 9.0, START_S - 4.5, START_S - 1.0))
    made.arrival(made.request())


def late_from_started_before_restore(made, ready_s):
    """A router starts after a backend has left; a backup then lists that backend as ready."""
    made.life.ready_s = ready_s
    late_after_restore(made, 8.0)


def old_while_silent(made):
    made.history.published_s[5] = START_S - 6.0
    made.history.store_silent_s.append((START_S - 5.5, START_S - 1.0))
    made.arrival(made.request(version=2))


HISTORIES = {
    "nothing went wrong": nothing,
    "a request that may run once ran at two backends": ran_twice,
    "a refused request had run": refused_had_run,
    "a request was cut in a router that was stopping": cut_while_stopping,
    "a request that was passed on was cut": passed_on_and_cut,
    "no answer came by the deadline": gave_up,
    "a sound backend's answer was given up": given_up,
    "a failure came that no backend gave": own_failure,
    "a proper request was rejected": rejected,
    "the answer has a fault of its own": faulty_answer,
    "a backend ran what nobody sent": unasked,
    "the body was changed on its way": changed_body,
    "another service than the route's ran it": other_service,
    "a backend listed as leaving got a request": late_to_leaving,
    "a backend that left well before a restore got a request": lambda made: late_after_restore(
        made, 8.0
    ),
    "an old configuration was in force for too long": old_version,
    "a router went back to an older configuration": went_back,
    "extra arrivals went over the budget": over_budget,
    "a request that ends its backends was sent on": lambda made: poison(made, 20),
    "a request that ends its backends was kept from them in time": lambda made: poison(made, 5),
    "a backend whose leaving was passed on got a request": lambda made: said_and_sent(made, 2.2),
    "a backend whose leaving was passed on got a request soon": (
        lambda made: said_and_sent(made, 1.9)
    ),
    "a backend that said nothing got a request": lambda made: said_and_sent(made, 2.2, False),
    "a router that was frozen since sent a leaving backend a request": (
        lambda made: said_and_sent(made, 9.0, freezes=[(START_S + 1.0, START_S + 1.2)])
    ),
    "a router that was started since sent a leaving backend a request": (
        lambda made: said_and_sent(made, 9.0, last_router_life=2)
    ),
    "a backend at rest got three requests": lambda made: sent_into_rest(made, (0.6, 1.0, 1.8)),
    "a backend at rest got three requests from a router that had waited long for a processor": (
        lambda made: sent_into_rest_after_processor_wait(made, 0.5)
    ),
    "a backend at rest got three requests from a router that had waited briefly for a processor": (
        lambda made: sent_into_rest_after_processor_wait(made, 0.2)
    ),
    "a router that had waited long for a processor sent a leaving backend a request": (
        lambda made: late_after_processor_wait(made, 0.8)
    ),
    "a router that had waited briefly for a processor sent a leaving backend a request": (
        lambda made: late_after_processor_wait(made, 0.2)
    ),
    "a backend whose leaving was passed on got a request after a long wait for a processor": (
        lambda made: said_and_sent_after_processor_wait(made, 0.4)
    ),
    "a backend whose leaving was passed on got a request after a brief wait for a processor": (
        lambda made: said_and_sent_after_processor_wait(made, 0.05)
    ),
    "a backend at rest got two requests": lambda made: sent_into_rest(made, (0.3, 0.6, 1.8, 2.1)),
    "the next life of a backend at rest got three requests": (
        lambda made: sent_into_rest(made, (0.6, 1.0, 1.8), backend_lives=2)
    ),
    "a backend with a limit of 1 a second got twelve requests": (
        lambda made: sent_to_limited(made, 12)
    ),
    "a backend with a limit of 1 a second got eleven requests": (
        lambda made: sent_to_limited(made, 11)
    ),
    "a router that had not been told sent a limited backend twelve": (
        lambda made: sent_to_limited(made, 12, names_limit=False)
    ),
    "a router that was started since sent a limited backend twelve": (
        lambda made: sent_to_limited(made, 12, last_router_life=2)
    ),
    "a process ended by itself": ended_itself,
    "SIGHUP ended a process that was being loaded": lambda made: hung_up(made, True),
    "SIGHUP ended a process before its first line": lambda made: hung_up(made, False),
    "a process did not stop in its grace": outstayed,
    "a router held a request at the end": held,
    "a killed router cut a request": killed_and_cut,
    "a request crossed the close of its connection": crossed,
    "a backend broke off a stream": backend_broke_off,
    "all backends were silent with the soak itself, and a stream was cut": all_silent,
    "a backend listed as leaving got a request from a frozen router": late_from_frozen,
    "a router started after a backend left and well before a restore, and sent it a request": (
        lambda made: late_from_started_before_restore(made, START_S - 7.9)
    ),
    "a router started after a backend left and just before a restore, and sent it a request": (
        lambda made: late_from_started_before_restore(made, START_S - 7.0)
    ),
    "a backend that left just before a restore got a request": lambda made: late_after_restore(
        made, 5.0
    ),
    "an old configuration was in force while the store was silent": old_while_silent,
}
