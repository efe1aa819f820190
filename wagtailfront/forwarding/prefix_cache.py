"""Estimate of engines' prefix caches from the prompts sent to them."""

from collections import OrderedDict

__all__ = ["PrefixCacheEstimate"]

# Share of an engine's KV memory for cached prompt parts; running requests
# occupy the rest.
CACHE_SHARE = 0.7


class PrefixCacheEstimate:
    """Estimates which parts of a prompt an engine has cached.

    Parameters
    ----------
    capacity_tokens : int
        KV cache capacity of an engine.

    Notes
    -----
    A cached part is usable only together with all parts before it. Engines
    evict the least recently used parts first, and so does the estimate.

    Examples
    --------
    >>> from wagtailfront.forwarding.interfaces import PromptPart
    >>> cache = PrefixCacheEstimate(capacity_tokens=1000)
    >>> shared, own = PromptPart("a", 300), PromptPart("b", 50)
    >>> cache.record_prompt("e1", (shared, own))
    >>> cache.cached_tokens("e1", (shared, PromptPart("c", 70)))
    300
    >>> cache.cached_tokens("e2", (shared, own))
    0
    """

    def __init__(self, *, capacity_tokens):
        self.limit = capacity_tokens * CACHE_SHARE
        self.engines = {}
        self.totals = {}

    def record_prompt(self, engine, parts):
        """Record that `engine` prefills a prompt with these parts."""
        held = self.engines.setdefault(engine, OrderedDict())
        total = self.totals.get(engine, 0)
        for part in parts:
            if part.part_id in held:
                held.move_to_end(part.part_id)
            else:
                held[part.part_id] = part.tokens
                total += part.tokens
        while total > self.limit and held:
            total -= held.popitem(last=False)[1]
        self.totals[engine] = total

    def cached_tokens(self, engine, parts):
        """Return how many leading tokens of a prompt `engine` has cached."""
        held = self.engines.get(engine)
        if held is None:
            return 0
        tokens = 0
        for part in parts:
            if part.part_id not in held:
                break
            tokens += part.tokens
        return tokens

    def forget(self, engine):
        """Drop the estimate of an engine that is gone or was restarted."""
        self.engines.pop(engine, None)
        self.totals.pop(engine, None)
