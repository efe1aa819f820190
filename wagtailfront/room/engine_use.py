"""KV cache that requests take at one engine."""

__all__ = ["EngineUse"]


class EngineUse:
    """Adds what requests take; parts that several of them use count once.

    Attributes
    ----------
    tokens : int
        KV cache that all requests take together.
    own : int
        Of these, tokens that only one request uses.
    shared : dict of int to list of int
        Tokens and number of users of each shared part, by key.

    Examples
    --------
    >>> from wagtailfront.room.request_size import Held
    >>> use = EngineUse()
    >>> first, second = Held(16, ((7, 64),)), Held(32, ((7, 64),))
    >>> use.add(first)
    >>> use.add(second)
    >>> use.tokens, use.missing(Held(16, ((7, 64), (8, 32))))
    (112, 48)
    >>> use.remove(first)
    >>> use.tokens
    96
    """

    def __init__(self):
        self.tokens = 0
        self.own = 0
        self.shared = {}

    def add(self, held):
        """Count a Held."""
        self.own += held.own
        self.tokens += held.own
        for key, tokens in held.shared:
            entry = self.shared.get(key)
            if entry is None:
                self.shared[key] = [tokens, 1]
                self.tokens += tokens
            else:
                entry[1] += 1

    def remove(self, held):
        """Stop counting a Held that was added before."""
        self.own -= held.own
        self.tokens -= held.own
        for key, _tokens in held.shared:
            entry = self.shared[key]
            entry[1] -= 1
            if not entry[1]:
                self.tokens -= entry[0]
                del self.shared[key]

    def missing(self, held):
        """Return the tokens that a Held would add."""
        shared = self.shared
        return held.own + sum(t for key, t in held.shared if key not in shared)
