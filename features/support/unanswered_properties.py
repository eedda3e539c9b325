"""Model requests whose agents are connected but do not reply."""

import time
from concurrent.futures import Future
from unittest import mock

from support.resume_properties import RecordingWriter
from yokedock.base.clock import boot_time_s
from yokedock.base.histograms import Histograms
from yokedock.connection.peer_view import PeerView
from yokedock.errors import AttemptLost, Outcome, PeerUnreachable, YokedockError
from yokedock.messages import BundleStamp, LoadReport
from yokedock.request.admission import RetryBudget
from yokedock.request.answer_stream import AnswerStream
from yokedock.request.attempt import AttemptServices, ModelOrder
from yokedock.request.context import CallerIdentity, RequestContext
from yokedock.request.model_request import DemandMeter, ModelRequests
from yokedock.request.placement import CorrectedLoadPolicy
from yokedock.version.bundle import Bundle, Limits, Model, RequestClass

DEADLINE_S = 30.0
RESERVATION_LIMIT_S = 1.5
"""Two reservations of 0.5 s each, and what a busy machine adds."""


class ConnectedPeer:
    """An agent that is connected and ready; its calls get ``error``, or no reply if that is
    None."""

    def __init__(self, name, role, error=None):
        self.name = name
        self.view = PeerView(name, "zone-1")
        self.view.is_connected = True
        self.view.load = LoadReport(role, True, False, 32, 0, 0, 8000.0)
        self._error = error
        self.calls = 0

    def call(self, message, attempt="", sink=None):
        self.calls += 1
        future = Future()
        if self._error is not None:
            future.set_exception(self._error)
        return future

    def drop(self, attempt):
        """Do nothing: no attempt is held."""


def serve(peers):
    """Serve a request with these agents; return its error and duration in seconds."""
    store = mock.Mock(stamp=BundleStamp(1, ""))
    store.current.return_value = Bundle(
        1, 0, Limits(max_attempts=6), {}, {}, {"m": Model()}, {}, {}, {}, {}
    )
    services = AttemptServices(
        store, lambda model: peers, CorrectedLoadPolicy("zone-1"), Histograms()
    )
    requests = ModelRequests(services, RetryBudget(), DemandMeter())
    now_s = boot_time_s()
    context = RequestContext(
        "r", CallerIdentity("tenant", "class", RequestClass()), now_s, now_s + DEADLINE_S
    )
    began_s = time.monotonic()
    try:
        requests.serve(
            context, ModelOrder("m", "", "a prompt", 20), AnswerStream(RecordingWriter(), 20)
        )
    except YokedockError as error:
        return error, time.monotonic() - began_s
    raise AssertionError("the request was served")


def unanswered_reservations_are_refused_as_not_run():
    """Guards against a request that no engine got, and that is told as lost after many seconds."""
    decoders = [ConnectedPeer("d1", "decode"), ConnectedPeer("d2", "decode")]
    error, took_s = serve([ConnectedPeer("p", "prefill"), *decoders])
    assert error.outcome is Outcome.NOT_RUN and error.retry_after_s, error
    assert took_s < RESERVATION_LIMIT_S, took_s
    assert [peer.calls for peer in decoders] == [1, 1]


def attempts_lost_before_a_run_are_told_as_not_run():
    """A request all of whose attempts were lost before a prefill has not run, and is told so."""
    for lost in (PeerUnreachable("the connection was lost"), AttemptLost("the agent ended")):
        error, _ = serve([ConnectedPeer("p", "prefill"), ConnectedPeer("d", "decode", lost)])
        assert error.outcome is Outcome.NOT_RUN and error.retry_after_s, error


UNANSWERED_PROPERTIES = {
    "unanswered reservations are refused as not run": (
        unanswered_reservations_are_refused_as_not_run
    ),
    "attempts lost before a run are told as not run": (
        attempts_lost_before_a_run_are_told_as_not_run
    ),
}
