from behave import then
from support.properties import PROPERTIES
from support.router_properties import ROUTER_PROPERTIES


@then("this holds for generated cases: {name}")
def holds(context, name):
    (PROPERTIES | ROUTER_PROPERTIES)[name]()
