"""Generations whose prompts are empty, tiny or ordinary."""

import asyncio

from behave import given, then, when
from support.router_world import RawCaller, request_bytes

MAX_OUTPUT_TOKENS = 20
DEADLINE_MS = "3000"
INTERVAL_S = 0.12
GROUP_INTERVAL_S = 0.8


@given("a prefill takes {duration_s:g} s")
def prefill_duration(context, duration_s):
    def processing_time_s(arrival):
        return duration_s if arrival.header("X-Stage") == "prefill" else 0.0

    for backend in context.world.backends.values():
        backend.processing_time_s = processing_time_s


def generation(number, prompt_tokens):
    """Return the bytes of a generation with a prompt of its own."""
    headers = [
        ("X-Model", "m"),
        ("X-Tokens", f"{prompt_tokens},{MAX_OUTPUT_TOKENS}"),
        ("X-Prompt-Parts", f"part{number}:{prompt_tokens}"),
        ("X-Deadline-Ms", DEADLINE_MS),
    ]
    return request_bytes("chat", headers=headers, request_id=f"generation-{number}")


def send_all(context, prompts):
    """Send (start time in s, prompt tokens) at the first router; store the statuses in order."""
    address = context.routers[0].settings.callers.listen
    callers = [RawCaller(context.world, address) for _ in prompts]

    async def send(number, caller, start_s, prompt_tokens):
        await asyncio.sleep(start_s)
        caller._writer.write(generation(number, prompt_tokens))
        status, _, _, is_whole = await caller._read_answer()
        return status if is_whole else 0

    async def send_together():
        sends = (send(number, callers[number], *prompts[number]) for number in range(len(prompts)))
        return await asyncio.gather(*sends)

    context.statuses = context.world.run(send_together())


@when(
    "the first router gets {groups:d} groups of 3 prompts, the first of each with {first:d} "
    "tokens, the others with {tokens:d}"
)
def send_groups(context, groups, first, tokens):
    prompts = [
        (group * GROUP_INTERVAL_S + place * INTERVAL_S, tokens if place else first)
        for group in range(groups)
        for place in range(3)
    ]
    send_all(context, prompts)


@then("all of the generations are served")
def all_served(context):
    assert set(context.statuses) == {200}, context.statuses


@then("{span_s:g} s later no router counts reservations")
def no_reservations(context, span_s):
    context.world.run(asyncio.sleep(span_s))
    for router in context.routers:
        levels = router._ledger.levels()
        assert levels["promises_own"] == levels["promises_heard"] == 0, levels
        for engine in context.world.backends:
            assert router._ledger.load(engine).prefill_tokens == 0, engine
            assert router._ledger.load(engine).memory_tokens == 0, engine


@when(
    "the first router gets {count:d} prompts of {tokens:d} tokens, one after the other, then one "
    "of {last:d}"
)
def send_series(context, count, tokens, last):
    sizes = [tokens] * count + [last]
    send_all(context, [(number * INTERVAL_S, size) for number, size in enumerate(sizes)])


@then("no estimated prefill rate is below {least:g} tokens per second")
def least_rate(context, least):
    pace = context.routers[0]._ledger.pace
    rates = {engine: pace.prefill_rate(engine) for engine in context.world.backends}
    assert min(rates.values()) >= least, rates
