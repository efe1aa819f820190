"""Requests of a load run and checks of their answers."""

import itertools
from typing import NamedTuple

import msgspec

from wagtailfront.bench.arrivals import prompt_text
from wagtailfront.standins.engine_text import whole_answer
from wagtailfront.transport.sse import DONE, EventStreamParser

__all__ = ["Outcome", "LoadRequest", "build_request", "CompletionReader"]

# Callers allow for more tokens than they expect.
MAX_TOKENS_FACTOR = 2

# How a request of a load run can end.
ANSWERED = "answered"
REFUSED = "refused"  # with the verdict not_run
UNCERTAIN = "uncertain"  # with the verdict may_have_run
CUT = "cut"  # connection lost or stream ended without its end marker
WRONG = "wrong"  # a complete answer with unexpected content


class Outcome(NamedTuple):
    """End of one request; times in seconds from the start of the run.

    `results` holds the result of each attempt, `result` the last of them,
    `code` the code of the last error.
    """

    number: int
    kind: str
    at: float
    result: str
    status: int
    first: float
    ended: float
    tokens: int
    sends: int
    results: tuple[str, ...] = ()
    code: str = ""


class LoadRequest(NamedTuple):
    """Request as sent to an entry instance."""

    method: str
    path: str
    headers: tuple
    body: bytes
    expected: str


def effect_id(kind, seed, number):
    """Return the identifier under which an endpoint counts a booking."""
    return f"{kind}-{seed}-{number}"


def build_request(arrival, *, service, model, seed, deadline):
    """Return the request for an arrival, with its expected answer.

    Parameters
    ----------
    arrival : Arrival
    service : str
        Plain service that lookups and bookings go to.
    deadline : float
        Seconds.
    """
    headers = [("X-Deadline-Ms", str(int(deadline * 1000)))]
    if arrival.kind.interface == "completion":
        return _build_completion(arrival, model=model, seed=seed, headers=headers)
    identifier = effect_id(arrival.kind.name, seed, arrival.number)
    path = f"/services/{service}{arrival.kind.path}"
    if arrival.kind.interface == "lookup":
        return LoadRequest(
            "GET", f"{path}/{identifier}", tuple(headers), b"", identifier
        )
    headers.append(("Idempotency-Key", identifier))
    headers.append(("X-Effect-Id", identifier))
    body = msgspec.json.encode({"booking": identifier})
    return LoadRequest("POST", path, tuple(headers), body, identifier)


def _build_completion(arrival, *, model, seed, headers):
    prompt = prompt_text(arrival, seed=seed)
    max_tokens = MAX_TOKENS_FACTOR * arrival.output_tokens
    body = {
        "model": model,
        "prompt": prompt,
        "max_tokens": max_tokens,
        "stream": arrival.stream,
    }
    headers = [
        *headers,
        ("Content-Type", "application/json"),
        ("X-Priority", str(arrival.priority)),
    ]
    return LoadRequest(
        "POST",
        "/v1/completions",
        tuple(headers),
        msgspec.json.encode(body),
        whole_answer(prompt.encode(), max_tokens),
    )


class CompletionReader:
    """Parser of a streamed answer that detects incomplete ones."""

    def __init__(self):
        self.parser = EventStreamParser()
        self.parts = []
        self.done = False
        self.failed = False

    def feed(self, data):
        """Parse bytes of the body and return the number of text chunks."""
        count = 0
        for payload in self.parser.feed(data):
            if payload == DONE:
                self.done = True
                continue
            chunk = msgspec.json.decode(payload)
            if "error" in chunk:
                self.failed = True
                continue
            texts = [choice.get("text") or "" for choice in chunk["choices"]]
            self.parts.extend(texts)
            count += sum(map(bool, texts))
        return count

    @property
    def text(self):
        return "".join(self.parts)


def classify_exchange(request, *, status, headers, body, reader, ended):
    """Return the result of an exchange, one of the constants above.

    Parameters
    ----------
    request : LoadRequest
    body : bytes
        Whole body of an answer that was not streamed.
    reader : CompletionReader or None
        Reader of a streamed answer.
    ended : bool
        Whether the response is complete by its HTTP framing.
    """
    if status is None or not ended:
        return CUT
    if status != 200:
        verdict = headers.get("X-Verdict", "may_have_run")
        return REFUSED if verdict == "not_run" else UNCERTAIN
    if reader is not None:
        if not reader.done or reader.failed:
            return CUT
        return ANSWERED if reader.text == request.expected else WRONG
    return ANSWERED if _matches(request, body) else WRONG


def error_code(body):
    """Return the code in the body of an error, or an empty string."""
    try:
        return str(msgspec.json.decode(body)["error"]["code"])
    except (msgspec.DecodeError, KeyError, TypeError):
        return ""


def _matches(request, body):
    try:
        answer = msgspec.json.decode(body)
    except msgspec.DecodeError:
        return False
    if request.path == "/v1/completions":
        return answer["choices"][0]["text"] == request.expected
    fields = itertools.chain((answer.get("path", ""),), (answer.get("body", ""),))
    return any(request.expected in field for field in fields)
