from behave import then
from support.properties import PROPERTIES


@then("this holds for generated cases: {name}")
def holds(context, name):
    PROPERTIES[name]()
