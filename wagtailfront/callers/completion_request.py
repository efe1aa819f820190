"""Parsing and validation of completion requests."""

from typing import Any, NamedTuple

import msgspec
import xxhash

__all__ = ["CompletionRequest", "InvalidRequest", "parse_completion", "fingerprint"]

DEFAULT_DEADLINE = 120.0  # seconds
MAX_DEADLINE = 3600.0  # seconds
DEFAULT_PRIORITY = 5
DEFAULT_MAX_TOKENS = 256
MAX_TOKENS = 131072
BYTES_PER_TOKEN = 4  # typical mean for English text in byte-pair encodings


class InvalidRequest(Exception):
    """A request that is rejected and would be rejected again on a retry.

    Attributes
    ----------
    status : int
        HTTP status code.
    code : str
        Machine-readable reason.
    """

    def __init__(self, message, *, status=400, code="invalid_request"):
        super().__init__(message)
        self.message = message
        self.status = status
        self.code = code


class CompletionRequest(NamedTuple):
    """A validated completion request.

    `prompt_tokens` is estimated from the length of the prompt in bytes;
    `deadline` is in seconds from the arrival of the request.
    """

    model: str
    chat: bool
    stream: bool
    body: dict
    prompt: bytes
    prompt_tokens: int
    max_tokens: int
    deadline: float
    priority: int
    workspace: str
    include_usage: bool


def parse_completion(data, headers, *, chat):
    """Parse and validate a request.

    Parameters
    ----------
    data : bytes
        JSON body.
    headers : mapping of str to str
    chat : bool
        Whether the request is for chat completions.

    Returns
    -------
    CompletionRequest

    Raises
    ------
    InvalidRequest
        If the request is invalid; the message is for the caller.
    """
    body = _decode(data)
    model = body.get("model")
    if not isinstance(model, str) or not model:
        raise InvalidRequest("'model' must be a non-empty string")
    if body.get("n", 1) not in (1, None):
        raise InvalidRequest("'n' must be 1", code="unsupported_parameter")
    stream = body.get("stream") or False
    if not isinstance(stream, bool):
        raise InvalidRequest("'stream' must be true or false")
    prompt = _prompt_of(body, chat=chat)
    return CompletionRequest(
        model=model,
        chat=chat,
        stream=stream,
        body=body,
        prompt=prompt,
        prompt_tokens=max(1, len(prompt) // BYTES_PER_TOKEN),
        max_tokens=_max_tokens(body),
        deadline=parse_deadline(headers),
        priority=_priority(headers),
        workspace=headers.get("X-Workspace", "default"),
        include_usage=_include_usage(body),
    )


def _decode(data):
    try:
        body = msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidRequest(f"the body is not valid JSON: {error}")
    if not isinstance(body, dict):
        raise InvalidRequest("the body must be a JSON object")
    return body


def _prompt_of(body, *, chat):
    if not chat:
        prompt = body.get("prompt")
        if isinstance(prompt, list) and len(prompt) == 1:
            prompt = prompt[0]
        if not isinstance(prompt, str) or not prompt:
            raise InvalidRequest("'prompt' must be one non-empty string")
        return prompt.encode()
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise InvalidRequest("'messages' must be a non-empty list")
    if not all(
        isinstance(m, dict) and isinstance(m.get("role"), str) for m in messages
    ):
        raise InvalidRequest("each message must be an object with a 'role'")
    return b"\n".join(
        f"{message['role']}: {_text_of(message.get('content'))}".encode()
        for message in messages
    )


def _text_of(content: Any):
    if isinstance(content, str):
        return content
    if content is None:
        return ""
    return msgspec.json.encode(content).decode()


def _max_tokens(body):
    value = body.get("max_completion_tokens", body.get("max_tokens"))
    if value is None:
        return DEFAULT_MAX_TOKENS
    if type(value) is not int or not 1 <= value <= MAX_TOKENS:
        raise InvalidRequest(f"'max_tokens' must be from 1 to {MAX_TOKENS}")
    return value


def _include_usage(body):
    options = body.get("stream_options") or {}
    return isinstance(options, dict) and bool(options.get("include_usage"))


def parse_deadline(headers):
    """Return the deadline from `X-Deadline-Ms` in seconds."""
    text = headers.get("X-Deadline-Ms")
    if text is None:
        return DEFAULT_DEADLINE
    if not (text.isascii() and text.isdigit()) or not 0 < int(text[:12]):
        raise InvalidRequest("'X-Deadline-Ms' must be a positive integer")
    return min(int(text[:12]) / 1000, MAX_DEADLINE)


def _priority(headers):
    text = headers.get("X-Priority", str(DEFAULT_PRIORITY))
    if len(text) != 1 or text not in "0123456789":
        raise InvalidRequest("'X-Priority' must be a digit from 0 to 9")
    return int(text)


def fingerprint(request):
    """Return a digest of what an engine would compute for `request`.

    Notes
    -----
    Requests with the same fingerprint run the same computation, so a request
    that crashes engines is recognised when its caller resends it.
    """
    digest = xxhash.xxh3_128(request.model.encode())
    digest.update(request.prompt)
    digest.update(b"%d" % request.max_tokens)
    return digest.hexdigest()
