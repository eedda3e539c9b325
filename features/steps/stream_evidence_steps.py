import time

from behave import step


def named(context, version):
    """Return the names of the backends of a version."""
    return [b.name for b in context.world.backends.values() if b.version == version]


@step('version "{old}" is listed again and "{new}" is gone for {gone_s:f} s')
def roll_back(context, old, new, gone_s):
    world = context.world
    for router in context.routers:
        world.tell(router, [world.entry(name) for name in named(context, old)], named(context, new))
    time.sleep(gone_s)
