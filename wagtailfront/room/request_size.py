"""Tokens of KV cache that a request takes at an engine."""

import zlib
from typing import NamedTuple

__all__ = ["BLOCK_TOKENS", "Held", "request_size", "round_to_blocks"]

BLOCK_TOKENS = 16  # engines allot their memory in blocks of this many tokens


class Held(NamedTuple):
    """What a request takes at an engine until it ends.

    Attributes
    ----------
    own : int
        Tokens that no other request uses.
    shared : tuple of (int, int)
        Key and tokens of each part that other requests may use too. The key
        depends on all parts before it, as those are needed to use it.
    """

    own: int = 0
    shared: tuple[tuple[int, int], ...] = ()

    @property
    def total(self):
        """Return the tokens that it takes where it shares none."""
        return self.own + sum(tokens for _key, tokens in self.shared)


def round_to_blocks(tokens):
    """Return the tokens of the blocks that hold some tokens.

    Examples
    --------
    >>> [round_to_blocks(tokens) for tokens in (0, 1, 16, 17)]
    [0, 16, 16, 32]
    """
    return -(-tokens // BLOCK_TOKENS) * BLOCK_TOKENS


def request_size(prompt_tokens, parts, *, output_tokens=0):
    """Return what a request takes, as a Held.

    Parameters
    ----------
    prompt_tokens : int
    parts : sequence of PromptPart
        Parts of the prompt in order; the last one is the request's own.
    output_tokens : int, optional
        Tokens that it is expected to generate there.

    Examples
    --------
    >>> from wagtailfront.forwarding.interfaces import PromptPart
    >>> parts = (PromptPart("a", 100), PromptPart("b", 50))
    >>> held = request_size(150, parts, output_tokens=10)
    >>> held.own, [tokens for _key, tokens in held.shared]
    (64, [112])
    """
    key, shared, shared_tokens = 0, [], 0
    for part in parts[:-1]:
        key = zlib.crc32(part.part_id.encode(), key)
        shared.append((key, round_to_blocks(part.tokens)))
        shared_tokens += part.tokens
    own = max(0, prompt_tokens - shared_tokens) + output_tokens
    return Held(round_to_blocks(own), tuple(shared))
