import threading
import time

from behave import given, then, when

from yokedock.connection.peer_listener import PeerListener
from yokedock.connection.peer_reader import FrameReceived, LinkUp, PeerReader
from yokedock.connection.peer_types import PeerIdentity, PeerTiming
from yokedock.connection.secure_session import LOOPBACK_KEY
from yokedock.messages import Frame, Release

LIMIT_S = 20.0
SLOW_S = 0.0002
PAUSE_AFTER = 500
TIMING = PeerTiming(heartbeat_ms=5000, lease_ms=10000)


class Link:
    """Both ends of one link; ``got`` holds what each end read."""

    def __init__(self, slow_end, reads_nothing=False):
        self.got = {"dialling end": [], "listening end": []}
        self._slow_end = slow_end
        self._reads_nothing = reads_nothing
        self._may_read = threading.Event()
        self._is_up = threading.Event()
        self._connection = None
        self._session = None
        self._listener = PeerListener(
            "127.0.0.1:0", "listener", 1, LOOPBACK_KEY, self._listener_got, lambda _: None
        )
        self._listener.start()
        address = self._listener.address.removeprefix("tcp://")
        identity = PeerIdentity("dialler", 1, LOOPBACK_KEY)
        self._reader = PeerReader(address, identity, TIMING, self)
        self._reader.start()
        assert self._is_up.wait(LIMIT_S), "no link"
        self.send("dialling end", "first")
        self.wait_for("listening end", 1)
        self.got["listening end"].clear()

    def tell(self, message):
        """Take what the reader tells its owner, as an actor would."""
        if isinstance(message, LinkUp):
            self._session = message.session
            self._is_up.set()
        elif isinstance(message, FrameReceived):
            self._note("dialling end", message.frame)
            if self._reads_nothing:
                self._may_read.wait(LIMIT_S)

    def _listener_got(self, connection, frame):
        self._connection = connection
        self._note("listening end", frame)

    def _note(self, end, frame):
        if end == self._slow_end:
            time.sleep(SLOW_S)
        self.got[end].append(frame.message.attempt)

    def send(self, end, attempt):
        """Send one frame from an end; return whether the link is of use."""
        if end == "listening end":
            return self._connection.send(Release(attempt))
        with self._session.send_lock:
            self._reader.socket.send(self._session.seal(Frame(0, Release(attempt))))
        return True

    def wait_for(self, end, count):
        """Wait until an end has read ``count`` frames; return what it read by then."""
        give_up_s = time.monotonic() + LIMIT_S
        while len(self.got[end]) < count and time.monotonic() < give_up_s:
            time.sleep(0.01)
        return self.got[end]

    def close(self):
        self._may_read.set()
        self._reader.stop()
        self._listener.disconnect_all()
        self._listener.close()
        self._reader.join(LIMIT_S)


@given("a link between two processes, the {end} reads slowly")
def slow_link(context, end):
    context.link = Link(end)
    context.add_cleanup(context.link.close)


@given("a link between two processes, the dialling end reads nothing")
def dead_link(context):
    context.link = Link("", reads_nothing=True)
    context.add_cleanup(context.link.close)


@when("the {end} sends {count:d} frames at once")
def send_burst(context, end, count):
    context.sent = [str(number) for number in range(count)]
    for attempt in context.sent:
        assert context.link.send(end, attempt), f"the link was given up at frame {attempt}"
        if int(attempt) % PAUSE_AFTER == PAUSE_AFTER - 1:
            # Beyond a bounded backlog a slow peer is given up: stay below it.
            context.link.wait_for(other(end), int(attempt) - PAUSE_AFTER // 2)


def other(end):
    return "listening end" if end == "dialling end" else "dialling end"


@then("the {end} got {count:d} frames in order")
def got_all(context, end, count):
    got = context.link.wait_for(end, count)
    assert got == context.sent, f"{len(got)} of {count} frames"


@when("the listening end sends frames until it is told that the link is of no use")
def send_until_useless(context):
    context.count = 0
    while context.link.send("listening end", str(context.count)):
        context.count += 1
        assert context.count < 5000, "the backlog has no bound"


@then("it had sent {count:d} frames")
def had_sent(context, count):
    assert context.count == count, context.count


class UpperBoundRandom:
    """A random source that always returns the upper bound, for pauses of maximum length."""

    @staticmethod
    def uniform(_, upper):
        return upper


class FailingDialReader(PeerReader):
    """A reader whose dials all fail; ``dial_times_s`` holds their times (monotonic clock)."""

    def __init__(self):
        identity = PeerIdentity("dialler", 1, LOOPBACK_KEY)
        super().__init__("127.0.0.1:9", identity, TIMING, None)
        self._random = UpperBoundRandom()
        self.dial_times_s = []

    def _connect(self):
        self.dial_times_s.append(time.monotonic())


@given("an unreachable peer has been dialled for {seconds:g} s")
def failing_dial_reader(context, seconds):
    context.reader = FailingDialReader()
    context.add_cleanup(context.reader.stop)
    context.reader.start()
    time.sleep(seconds)
    context.reader.dial_times_s.clear()


@when("a request waits for the peer for {seconds:g} s")
def request_waits(context, seconds):
    context.began_s = time.monotonic()
    while time.monotonic() - context.began_s < seconds:
        context.reader.redial_early()
        time.sleep(0.05)


@then("the peer was redialled within {limit_s:g} s, and {max_dials:d} times at most")
def redialled_early(context, limit_s, max_dials):
    """Guards against a request that waits for seconds after its agent has restarted."""
    dial_times_s = list(context.reader.dial_times_s)
    times_s = (dial_times_s, context.began_s)
    assert dial_times_s and dial_times_s[0] - context.began_s < limit_s, times_s
    assert len(dial_times_s) <= max_dials, dial_times_s
