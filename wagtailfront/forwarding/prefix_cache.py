"""Prompt parts that engines keep, from what instances sent to them."""

from collections import OrderedDict

__all__ = ["PrefixCacheEstimate"]

# Share of an engine's memory that kept parts fill; running requests hold
# the rest.
KEPT_SHARE = 0.7


class PrefixCacheEstimate:
    """Estimates which parts of a prompt an engine does not read again.

    Parameters
    ----------
    capacity_tokens : int
        Memory of an engine.

    Notes
    -----
    An engine keeps a part only together with all parts before it, and lets
    the least recently used ones go first; the estimate does the same.

    Examples
    --------
    >>> from wagtailfront.forwarding.interfaces import PromptPart
    >>> kept = PrefixCacheEstimate(capacity_tokens=1000)
    >>> rules, own = PromptPart("a", 300), PromptPart("b", 50)
    >>> kept.record_prompt("e1", (rules, own))
    >>> kept.cached_tokens("e1", (rules, PromptPart("c", 70)))
    300
    >>> kept.cached_tokens("e2", (rules, own))
    0
    """

    def __init__(self, *, capacity_tokens):
        self.limit = capacity_tokens * KEPT_SHARE
        self.engines = {}
        self.totals = {}

    def record_prompt(self, engine, parts):
        """Note that `engine` reads a prompt with these parts."""
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
        """Return how many leading tokens of a prompt `engine` keeps."""
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
        """Forget an engine that is gone or started anew."""
        self.engines.pop(engine, None)
        self.totals.pop(engine, None)
