"""Choice between transferring a KV cache and recomputing it."""

from typing import NamedTuple

__all__ = ["PIECE_TOKENS", "Link", "Source", "TransferPlan", "plan_transfer"]

PIECE_TOKENS = 2_000  # tokens per block of an engine's prefix cache


class Link(NamedTuple):
    """Network path between two engines.

    Attributes
    ----------
    bytes_per_second : float
        Measured throughput; 0 when the path is down.
    latency : float
        Seconds before the first byte arrives.
    backlog : float
        Bytes already queued on the path.
    """

    bytes_per_second: float
    latency: float = 0.0
    backlog: float = 0.0


class Source(NamedTuple):
    """Engine that has cached the first `tokens` tokens of a prompt."""

    engine: str
    tokens: int
    link: Link


class TransferPlan(NamedTuple):
    """Fastest way to get a prompt's KV cache into an engine.

    Attributes
    ----------
    source : str or None
        Engine to transfer from, or None to recompute.
    first_token, tokens : int
        Position of the first token to transfer, and how many.
    size : int
        Bytes to transfer.
    seconds : float
        Seconds until the whole prompt is in the engine's cache.
    recompute_seconds : float
        The same without a transfer.
    """

    source: str | None
    first_token: int
    tokens: int
    size: int
    seconds: float
    recompute_seconds: float


def plan_transfer(
    sources, *, prompt_tokens, cached_tokens, bytes_per_token, prefill_speed
):
    """Choose the fastest source for a transfer, or recomputation.

    Parameters
    ----------
    sources : iterable of Source
        Other engines that have cached a prefix of the prompt.
    prompt_tokens, cached_tokens : int
        Tokens in the prompt, and in the prefix that the engine has cached.
    bytes_per_token : int
        Size of one token's keys and values in all layers, in bytes.
    prefill_speed : float
        Tokens per second at which the engine prefills.

    Returns
    -------
    TransferPlan
        A transfer of whole pieces, if that takes less time than
        recomputation. At equal times the prompt is recomputed, because a
        transfer also takes link capacity from others.

    Examples
    --------
    At 100 Gbit/s, a transfer of 160 kB per token is faster than prefill at
    20,000 tokens/s:

    >>> fast = Source("e2", 8_000, Link(bytes_per_second=12.5e9))
    >>> request = {"prompt_tokens": 9_000, "cached_tokens": 2_000}
    >>> model = {"bytes_per_token": 160_000, "prefill_speed": 20_000}
    >>> plan = plan_transfer([fast], **request, **model)
    >>> plan.source, plan.first_token, plan.tokens, plan.size
    ('e2', 2000, 6000, 960000000)

    At 10 Gbit/s it is slower:

    >>> slow = fast._replace(link=Link(bytes_per_second=1.25e9))
    >>> plan_transfer([slow], **request, **model).source is None
    True
    """
    missing = max(prompt_tokens - cached_tokens, 0)
    recompute = missing / prefill_speed
    plans = [
        _transfer(
            source,
            prompt_tokens=prompt_tokens,
            cached_tokens=cached_tokens,
            bytes_per_token=bytes_per_token,
            prefill_speed=prefill_speed,
        )
        for source in sources
        if source.link.bytes_per_second > 0
    ]
    recomputation = TransferPlan(None, cached_tokens, 0, 0, recompute, recompute)
    return min([recomputation, *plans], key=lambda plan: plan.seconds)


def _transfer(source, *, prompt_tokens, cached_tokens, bytes_per_token, prefill_speed):
    """Return the plan to transfer the whole pieces not cached yet."""
    available = min(source.tokens, prompt_tokens) // PIECE_TOKENS * PIECE_TOKENS
    tokens = max(available - cached_tokens, 0)
    size = tokens * bytes_per_token
    link = source.link
    transfer = link.latency + (link.backlog + size) / link.bytes_per_second
    missing = max(prompt_tokens - cached_tokens, 0)
    remainder = (missing - tokens) / prefill_speed
    return TransferPlan(
        source.engine,
        cached_tokens,
        tokens,
        size,
        transfer + remainder,
        missing / prefill_speed,
    )
