"""Answer to a completion request, streamed or sent at once."""

import msgspec

from wagtailfront.callers.completion_answer import AnswerFormat
from wagtailfront.transport.sse import DONE, format_event

__all__ = ["CompletionReply"]


class CompletionReply:
    """Sends an answer, streamed or at once as its caller requested.

    Parameters
    ----------
    request : CompletionRequest
    request_id : str
    reply : Reply
    """

    def __init__(self, *, request, request_id, reply):
        self.request = request
        self.request_id = request_id
        self.reply = reply
        self.format = AnswerFormat(request=request, request_id=request_id)
        self.parts = []
        self.finish_reason = None

    def add(self, text, finish_reason):
        """Add new text; `finish_reason` is None except for the last."""
        self.finish_reason = finish_reason
        if not self.request.stream:
            self.parts.append(text)
            return
        if not self.reply.started:
            self.reply.start(
                [
                    ("Content-Type", "text/event-stream"),
                    ("Cache-Control", "no-cache"),
                    ("X-Request-Id", self.request_id),
                ]
            )
        if text or finish_reason:
            self.reply.send(format_event(self.format.chunk(text, finish_reason)))

    def finish(self, tokens):
        """Complete an answer of `tokens` tokens."""
        if not self.request.stream:
            text = "".join(self.parts)
            body = self.format.answer(text, self.finish_reason, tokens)
            headers = [
                ("Content-Type", "application/json"),
                ("X-Request-Id", self.request_id),
            ]
            self.reply.respond(200, headers, body)
            return
        if self.request.include_usage:
            self.reply.send(format_event(self.format.usage_chunk(tokens)))
        self.reply.send(format_event(DONE))
        self.reply.end()

    def fail(self, error):
        """Send an `ErrorResponse`, or abort a stream that has started."""
        if self.reply.started:
            # Without an end marker, the answer cannot be taken for complete.
            payload = msgspec.json.encode({"error": error.fields})
            self.reply.send(format_event(payload))
            self.reply.abort()
        else:
            headers = [("Content-Type", "application/json"), *error.headers]
            self.reply.respond(error.status, headers, error.body)
