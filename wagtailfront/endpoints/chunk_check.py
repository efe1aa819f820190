"""Validation of the chunks of an engine's stream."""

import msgspec

from wagtailfront.endpoints.engine_protocol import decode_chunk
from wagtailfront.exception import ProtocolError
from wagtailfront.identifiers import attempt_id
from wagtailfront.transport.sse import DONE, EventStreamParser

__all__ = ["ChunkCheck"]


class ChunkCheck:
    """Validates the stream of one attempt.

    Parameters
    ----------
    request_id : str
    attempt : int
    next_token : int
        Position in the answer of the next token to receive.

    Notes
    -----
    A chunk of another request or attempt makes the stream invalid, and so
    does a gap in the token positions. A chunk whose tokens were all received
    before is a duplicate and is dropped.
    """

    def __init__(self, *, request_id, attempt, next_token):
        self.expected_id = attempt_id(request_id, attempt)
        self.next_token = next_token
        self.parser = EventStreamParser()
        self.finished = False
        self.done = False

    def feed(self, data):
        """Return the new chunks in `data`.

        Raises
        ------
        ProtocolError
            If the stream is invalid; the attempt must be abandoned.
        """
        try:
            payloads = self.parser.feed(data)
        except ValueError as error:
            raise ProtocolError(str(error))
        return [
            chunk for payload in payloads if (chunk := self._check(payload)) is not None
        ]

    def _check(self, payload):
        if self.done:
            raise ProtocolError("data after the end of the stream")
        if payload == DONE:
            if not self.finished:
                raise ProtocolError("end of the stream without a finish reason")
            self.done = True
            return None
        try:
            chunk = decode_chunk(payload)
        except (msgspec.DecodeError, RecursionError) as error:
            raise ProtocolError(f"unreadable chunk: {error}")
        return self._accept(chunk)

    def _accept(self, chunk):
        if chunk.id != self.expected_id:
            raise ProtocolError(f"chunk of {chunk.id}, expected {self.expected_id}")
        if chunk.tokens < 0 or len(chunk.choices) != 1:
            raise ProtocolError("malformed chunk")
        end = chunk.token_index + chunk.tokens
        if chunk.token_index > self.next_token:
            raise ProtocolError(f"tokens from {self.next_token} are missing")
        finishes = chunk.choices[0].finish_reason is not None
        if chunk.token_index < self.next_token:
            if end > self.next_token:
                raise ProtocolError("chunk overlaps received tokens")
            if not finishes or chunk.tokens:
                return None
        if self.finished:
            return None
        self.next_token = end
        self.finished = finishes
        return chunk
