"""Messages exchanged with a model engine."""

from typing import Any

import msgspec

from wagtailfront.identifiers import attempt_id

__all__ = [
    "EngineChoice",
    "EngineChunk",
    "EngineLoad",
    "EngineOrder",
    "encode_completion",
    "decode_chunk",
    "engine_path",
]

# Fields of the caller's body that are replaced or removed.
OVERRIDDEN_FIELDS = ("stream", "stream_options", "n")


class EngineChoice(msgspec.Struct, omit_defaults=True):
    """Part of an answer; `text` for completions, `delta` for chat."""

    index: int = 0
    text: str | None = None
    delta: dict[str, Any] | None = None
    finish_reason: str | None = None


class EngineChunk(msgspec.Struct):
    """One chunk of an engine's stream.

    Attributes
    ----------
    id : str
        Request identifier, a dot and the attempt number.
    token_index : int
        Position of the chunk's first token in the answer.
    tokens : int
        Number of tokens in the chunk.
    """

    id: str
    token_index: int
    tokens: int
    choices: list[EngineChoice]
    model: str = ""


class EngineLoad(msgspec.Struct, frozen=True):
    """Load report of an engine; `age` is its age in seconds."""

    running: int
    waiting: int
    queued_prefill_tokens: int
    cached_pieces: int
    model: str
    version: str
    adapters: tuple[str, ...]
    role: str
    age: float
    changing: bool = False
    order_id: str = ""
    fence: int = 0


class EngineOrder(msgspec.Struct, frozen=True):
    """Complete target of an engine; `fence` is the sender's fencing number."""

    order_id: str
    fence: int
    model: str
    version: str
    adapters: tuple[str, ...] = ()
    role: str = "mixed"


_chunk_decoder = msgspec.json.Decoder(EngineChunk)


def decode_chunk(data):
    """Return the chunk in `data`.

    Raises
    ------
    msgspec.DecodeError
        If `data` is not a chunk.
    """
    return _chunk_decoder.decode(data)


def engine_path(request):
    """Return the path of the engine's interface for `request`."""
    return "/v1/chat/completions" if request.chat else "/v1/completions"


def encode_completion(request, *, request_id, attempt, resume_from):
    """Return headers and body of a completion request to an engine.

    Parameters
    ----------
    request : CompletionRequest
    request_id : str
    attempt : int
        Counts from 1.
    resume_from : int
        Number of tokens that were received from earlier attempts.

    Returns
    -------
    headers : list of (str, str)
    body : bytes
    """
    fields = {k: v for k, v in request.body.items() if k not in OVERRIDDEN_FIELDS}
    fields["stream"] = True
    fields["max_tokens"] = request.max_tokens
    headers = [
        ("Content-Type", "application/json"),
        ("X-Request-Id", attempt_id(request_id, attempt)),
        ("X-Attempt", str(attempt)),
        ("X-Priority", str(request.priority)),
        ("X-Resume-From", str(resume_from)),
    ]
    return headers, msgspec.json.encode(fields)
