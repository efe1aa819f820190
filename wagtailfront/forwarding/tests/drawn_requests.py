"""Requests drawn by hypothesis, with every header that changes the framing."""

import itertools
from typing import NamedTuple

from hypothesis import strategies as st

from wagtailfront.transport.framing import LAST_CHUNK, encode_chunk, encode_head

__all__ = ["DrawnRequest", "conversations", "requests"]

OFFER_TOKENS = ("Upgrade", "HTTP2-Settings")
PERSISTENCE_TOKENS = ("", "keep-alive", "close")  # no two contradict each other
PROTOCOLS = ("h2c", "websocket", "TLS/1.0, HTTP/2.0")
TRAILERS = (b"", b"X-Sum: 1\r\n", b"Connection: Upgrade\r\nUpgrade: h2c\r\n")


class DrawnRequest(NamedTuple):
    """Request as its caller encodes it.

    Attributes
    ----------
    head, encoded_body : bytes
    body : bytes
        The body without its transfer coding.
    ends_connection : bool
    expects_continue : bool
    """

    method: bytes
    target: bytes
    head: bytes
    encoded_body: bytes
    body: bytes
    ends_connection: bool
    expects_continue: bool

    @property
    def data(self):
        return self.head + self.encoded_body


def _encode_body(draw, framing, body):
    """Return the headers that frame a body, and its encoding."""
    if framing == "none":
        return [], b""
    if framing == "length":
        return [(b"Content-Length", b"%d" % len(body))], body
    cuts = sorted(draw(st.sets(st.integers(1, max(1, len(body) - 1)), max_size=4)))
    edges = [0, *(cut for cut in cuts if cut < len(body)), len(body)]
    pieces = [body[start:end] for start, end in itertools.pairwise(edges)]
    chunks = b"".join(encode_chunk(piece) for piece in pieces if piece)
    end = LAST_CHUNK[:-2] + draw(st.sampled_from(TRAILERS)) + LAST_CHUNK[-2:]
    return [(b"Transfer-Encoding", b"chunked")], chunks + end


def _change_case(draw, name):
    return draw(st.sampled_from((name, name.lower(), name.upper())))


@st.composite
def requests(draw, *, methods=(b"GET", b"POST", b"PUT", b"DELETE")):
    """Return a strategy of requests that may offer another protocol."""
    method = draw(st.sampled_from(methods))
    target = draw(st.sampled_from((b"/a", b"/b?q=1")))
    version = draw(st.sampled_from((b"1.1", b"1.0")))
    framing = draw(st.sampled_from(("none", "length", "chunked")))
    body = b"" if framing == "none" else draw(st.binary(max_size=12))
    headers, encoded_body = _encode_body(draw, framing, body)
    persistence = draw(st.sampled_from(PERSISTENCE_TOKENS))
    tokens = draw(st.lists(st.sampled_from(OFFER_TOKENS), unique=True))
    tokens = draw(st.permutations([*tokens, *filter(None, [persistence])]))
    if tokens:
        headers.append((b"Connection", ", ".join(tokens).encode()))
    headers += [
        (b"Upgrade", protocol.encode())
        for protocol in draw(st.lists(st.sampled_from(PROTOCOLS), max_size=2))
    ]
    expects_continue = draw(st.booleans())
    if expects_continue:
        headers.append((b"Expect", b"100-continue"))
    headers = draw(st.permutations([(b"Host", b"h"), *headers]))
    headers = [(_change_case(draw, name), value) for name, value in headers]
    is_kept = version == b"1.1" or persistence == "keep-alive"
    return DrawnRequest(
        method=method,
        target=target,
        head=encode_head(b"%b %b HTTP/%b" % (method, target, version), headers),
        encoded_body=encoded_body,
        body=body,
        ends_connection=persistence == "close" or not is_kept,
        expects_continue=expects_continue,
    )


def conversations():
    """Return a strategy of requests that follow each other on a connection."""
    return st.lists(requests(), min_size=1, max_size=3)
