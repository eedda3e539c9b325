"""Readers of answers that are cut off after each of their bytes."""

from behave import given, then, when
from support.cut_answer_properties import cut_answers_taken


@when("the answer to the {name} is cut off after each of its bytes, in each framing")
def cut_client_answers(context, name):
    context.cut, context.taken = cut_answers_taken(name)


@then("no cut answer was taken for a whole one")
def none_taken(context):
    shown = "\n".join(context.taken[:20])
    assert not context.taken, f"{len(context.taken)} of {context.cut} taken:\n{shown}"


@given("streams of all engines end with their connections")
def unframed_streams(context):
    for backend in context.world.backends.values():
        backend.is_unframed = True


@then("the client gets {status:d}, and no part of a body")
def whole_or_error(context, status):
    answered, _, body, is_whole = context.caller.read_answer()
    assert (answered, is_whole) == (status, True), (answered, body)
    assert answered != 200 or body == b"answer of a", body
