"""Streams that are resumed: what comes while a resume is under way is part of the answer."""

from hypothesis import strategies as st

from support.search import searched
from yokedock.errors import PeerUnreachable, StreamGap
from yokedock.messages import StreamTokens
from yokedock.request.answer_stream import AnswerStream, ResponseWriter


class KeptWriter(ResponseWriter):
    """Keeps what a caller would get."""

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
def resume_takes_what_comes_meanwhile(arrived, meanwhile, replied):
    """Guards against streams that bring nothing while each resume is overtaken by newer parts."""
    words = [str(number) for number in range(200)]
    writer = KeptWriter()
    stream = AnswerStream(writer, 200)
    stream.begin_attempt("a")
    stream.offer(StreamTokens("a", 0, tuple(words[:arrived]), ""))
    stream.lost(PeerUnreachable("the link broke"))
    stream.begin_resume()
    # The agent has told these on the new link before it answers with all that it has made.
    at = arrived + replied
    for count in meanwhile:
        stream.offer(StreamTokens("a", at, tuple(words[at : at + count]), ""))
        at += count
    stream.end_resume((StreamTokens("a", arrived, tuple(words[arrived : arrived + replied]), ""),))
    assert writer.tokens == words[:at], writer.tokens
    stream.offer(StreamTokens("a", at, (), "length"))
    stream.wait_end()


def a_gap_behind_a_resume_asks_for_another():
    """What a resume did not fill is not passed on as if nothing were missing."""
    stream = AnswerStream(KeptWriter(), 200)
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
    "a resume takes what comes meanwhile": resume_takes_what_comes_meanwhile,
    "a gap behind a resume asks for another": a_gap_behind_a_resume_asks_for_another,
}
