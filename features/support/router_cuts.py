"""Cuts a router off from its state source and from the other routers, as a partition does."""

UNUSED_PORT = 1


class CutTransport:
    """A datagram transport that loses everything."""

    def sendto(self, data, address):
        """Lose a datagram."""

    def abort(self):
        """Do nothing: the router's socket is closed with its loop."""


def cut_from_source(world, router):
    """Let all calls to the state source go without an answer."""
    world.loop.call_soon_threadsafe(setattr, router.source, "is_cut", True)


def cut_from_routers(world, router):
    """Lose all datagrams from and to the other routers, and refuse connections to them."""

    def cut():
        gossip = router._gossip
        gossip._inbox._on_datagram = lambda data, address, arrived_s: None
        gossip._transport = CutTransport()
        router._exchange._port = router._origins._port = UNUSED_PORT
        router._origins._pool.forget_all()

    world.loop.call_soon_threadsafe(cut)
