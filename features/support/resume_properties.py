"""Resumed streams: parts that arrive while a resume is pending belong to the response."""

from hypothesis import strategies as st

from support.search import searched
from yokedock.errors import PeerUnreachable, StreamGap
from yokedock.messages import StreamTokens
from yokedock.request.answer_stream import AnswerStream, ResponseWriter


class RecordingWriter(ResponseWriter):
    """Records the tokens that a caller would receive."""

    def __init__(self):
        self.tokens = []

    def write_tokens(self, tokens, finish):
        self.tokens += tokens

    def write_error(self, error):
        raise AssertionError(error)


@searched(
    arrived=st.integers(0, 20),
    meanwhile=st.lists(st.integers(1, 5), max_size=8),
    replied=st.integers(0, 20),
)
def parts_during_a_resume_are_appended(arrived, meanwhile, replied):
    """Guards against streams without progress because newer parts overtake each resume reply."""
    words = [str(number) for number in range(200)]
    writer = RecordingWriter()
    stream = AnswerStream(writer, 200)
    stream.begin_attempt("a")
    stream.offer(StreamTokens("a", 0, tuple(words[:arrived]), ""))
    stream.lost(PeerUnreachable("the link broke"))
    stream.begin_resume()
    # The agent sends these on the new link before it replies with the tokens generated so far.
    position = arrived + replied
    for count in meanwhile:
        stream.offer(StreamTokens("a", position, tuple(words[position : position + count]), ""))
        position += count
    stream.end_resume((StreamTokens("a", arrived, tuple(words[arrived : arrived + replied]), ""),))
    assert writer.tokens == words[:position], writer.tokens
    stream.offer(StreamTokens("a", position, (), "length"))
    stream.wait_end()


def a_gap_after_a_resume_requests_another():
    """A gap that a resume does not fill ends the stream with ``StreamGap``."""
    stream = AnswerStream(RecordingWriter(), 200)
    stream.begin_attempt("a")
    stream.begin_resume()
    stream.offer(StreamTokens("a", 5, ("e",), ""))
    stream.end_resume((StreamTokens("a", 0, ("a", "b"), ""),))
    try:
        stream.wait_end()
    except StreamGap:
        return
    raise AssertionError(stream.tokens)


RESUME_PROPERTIES = {
    "a resume takes what comes meanwhile": parts_during_a_resume_are_appended,
    "a gap behind a resume asks for another": a_gap_after_a_resume_requests_another,
}
