"""Types shared by the decision modules."""

import enum
from typing import NamedTuple

__all__ = ["PIECE_TOKENS", "Role", "Size", "Work", "LoadReport", "CacheEvent"]

# Prompts are cached in pieces (blocks) of this many tokens.
PIECE_TOKENS = 2_000


class Role(enum.Enum):
    """Stages of a request that an engine runs."""

    PREFILL = "prefill"
    DECODE = "decode"
    MIXED = "mixed"


class Size(enum.IntEnum):
    """Class of work by the prompt tokens to prefill; shorter goes first."""

    SHORT = 0
    MEDIUM = 1
    LONG = 2


class Work(NamedTuple):
    """Properties of a request that are known before it runs.

    Attributes
    ----------
    prompt_tokens : int
    max_tokens : int
        Upper bound of the output; the output itself is usually shorter.
    deadline : float
        Time in seconds, on the clock that `now` arguments are read from.
    priority : int
        0 (highest) to 9.
    pieces : tuple of int
        Chained hashes of the prompt's pieces of `PIECE_TOKENS` tokens.
    arrived : float or None
        Time when the request was received; its priority rises with the time
        since then.
    """

    request_id: str
    workspace: str
    kind: str
    prompt_tokens: int
    max_tokens: int
    deadline: float
    priority: int = 5
    pieces: tuple[int, ...] = ()
    fingerprint: str = ""
    model: str = ""
    arrived: float | None = None


class LoadReport(NamedTuple):
    """Load of an engine, measured at the time `taken` in seconds."""

    taken: float
    running: int
    waiting: int
    queued_prefill_tokens: int
    role: Role
    available: bool


class CacheEvent(NamedTuple):
    """A prompt piece that an engine stored or evicted.

    `number` counts an engine's events consecutively, so that a gap shows
    lost events.
    """

    number: int
    piece: int
    stored: bool
