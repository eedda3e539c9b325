"""Readers of answers that are cut off after each of their bytes."""

from behave import then, when
from support.cut_answer_properties import cut_answers_taken


@when("the answer to the {name} is cut off after each of its bytes, in each framing")
def cut_client_answers(context, name):
    context.cut, context.taken = cut_answers_taken(name)


@then("no cut answer was taken for a whole one")
def none_taken(context):
    shown = "\n".join(context.taken[:20])
    assert not context.taken, f"{len(context.taken)} of {context.cut} taken:\n{shown}"
