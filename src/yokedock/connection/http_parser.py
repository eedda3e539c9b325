"""Creates the HTTP/1.1 parsers of connections.

Two regular expressions of h11 take time quadratic in a line that they reject: they divide a run of
blanks in every possible way, so that a header line of 64 KB stops the process for seconds. They are
replaced by expressions that accept the same lines and divide blanks in one way only.
"""

from __future__ import annotations

import re

import h11
from h11 import _abnf, _readers

HEADER_LINE = re.compile(
    rb"(?P<field_name>%s):[ \t]*+(?P<field_value>%s)[ \t]*+"
    % (_abnf.field_name.encode(), _abnf.field_value.encode())
)
CHUNK_HEADER = re.compile(
    rb"(?P<chunk_size>%s)(?:(?P<chunk_ext>%s)|[ \t]*+)\r\n"
    % (_abnf.chunk_size.encode(), _abnf.chunk_ext.encode())
)

_readers.header_field_re = HEADER_LINE
_readers.chunk_header_re = CHUNK_HEADER


def request_parser(max_head_bytes: int) -> h11.Connection:
    """Return a parser of requests, which rejects a longer head."""
    return h11.Connection(h11.SERVER, max_incomplete_event_size=max_head_bytes)


def response_parser(max_head_bytes: int) -> h11.Connection:
    """Return a parser of responses, which rejects a longer head."""
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=max_head_bytes)
