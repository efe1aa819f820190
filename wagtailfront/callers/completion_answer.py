"""OpenAI-style JSON of completions: streamed chunks or one object."""

import time
from typing import Any

import msgspec

__all__ = ["AnswerFormat"]


class _Chunk(msgspec.Struct, omit_defaults=True):
    id: str
    object: str
    created: int
    model: str
    choices: list[Any]
    usage: dict[str, int] | None = None


class AnswerFormat:
    """Builds the JSON of one answer, as chunks or as one object.

    Parameters
    ----------
    request : CompletionRequest
    request_id : str
    created : int, optional
        Unix time in seconds.
    """

    def __init__(self, *, request, request_id, created=None):
        self.request = request
        prefix = "chatcmpl" if request.chat else "cmpl"
        self.id = f"{prefix}-{request_id}"
        self.created = int(time.time()) if created is None else created
        self.role_sent = False

    def _wrap(self, kind, choices, usage=None):
        return msgspec.json.encode(
            _Chunk(
                id=self.id,
                object=kind,
                created=self.created,
                model=self.request.model,
                choices=choices,
                usage=usage,
            )
        )

    def chunk(self, text, finish_reason):
        """Return one streamed chunk as JSON."""
        if not self.request.chat:
            choice = {"index": 0, "text": text, "finish_reason": finish_reason}
            return self._wrap("text_completion", [choice])
        delta = {"content": text} if text else {}
        if not self.role_sent:
            delta["role"] = "assistant"
            self.role_sent = True
        choice = {"index": 0, "delta": delta, "finish_reason": finish_reason}
        return self._wrap("chat.completion.chunk", [choice])

    def usage_chunk(self, tokens):
        """Return the token counts as the last chunk of a stream."""
        kind = "chat.completion.chunk" if self.request.chat else "text_completion"
        return self._wrap(kind, [], self.usage(tokens))

    def usage(self, tokens):
        """Return the token counts of the request."""
        prompt = self.request.prompt_tokens
        return {
            "prompt_tokens": prompt,
            "completion_tokens": tokens,
            "total_tokens": prompt + tokens,
        }

    def answer(self, text, finish_reason, tokens):
        """Return the complete answer as one JSON object."""
        choice = {"index": 0, "finish_reason": finish_reason}
        if self.request.chat:
            choice["message"] = {"role": "assistant", "content": text}
            kind = "chat.completion"
        else:
            choice["text"] = text
            kind = "text_completion"
        return self._wrap(kind, [choice], self.usage(tokens))
