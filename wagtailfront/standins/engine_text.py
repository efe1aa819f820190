"""Deterministic answers of the stand-in engine."""

import xxhash

__all__ = ["answer_length", "answer_tokens", "token_at", "whole_answer"]

WORDS = (
    "label batch yard polish blend floor berry cream route stock drum slot "
    "church school hall gym sheet sugar vanilla oat nut milk wax order"
).split()


def _digest(prompt, salt):
    return xxhash.xxh3_64_intdigest(prompt, seed=salt)


def answer_length(prompt, max_tokens):
    """Return the number of tokens in the answer to a prompt.

    A prompt that contains `tokens=N` gets N tokens, so that a load generator
    can set the length. No answer is longer than `max_tokens`.
    """
    _before, marker, after = prompt.partition(b"tokens=")
    digits = after[:6].split(None, 1)[0] if marker and after.strip() else b""
    if digits.isdigit():
        return max(1, min(max_tokens, int(digits)))
    return min(max_tokens, 8 + _digest(prompt, 1) % 56)


def token_at(prompt, index):
    """Return the text of the token at a position of the answer.

    Examples
    --------
    >>> token_at(b"hello", 3) == token_at(b"hello", 3)
    True
    """
    value = _digest(prompt + b"/%d" % index, 2)
    return f"{WORDS[value % len(WORDS)]}{value % 997} "


def answer_tokens(prompt, start, count):
    """Return the joined text of `count` tokens from position `start`."""
    return "".join(token_at(prompt, index) for index in range(start, start + count))


def whole_answer(prompt, max_tokens):
    """Return the complete answer to a prompt."""
    return answer_tokens(prompt, 0, answer_length(prompt, max_tokens))
