"""Choice among engines in the prefill role."""

import math

from wagtailfront.decisions.work import Role

__all__ = ["PrefillRotation"]


class PrefillRotation:
    """Chooses the prefill engine with the fewest own outstanding tokens.

    Notes
    -----
    A prompt leaves a prefill engine within a second, so a load report that is
    5 s old does not describe the present queue, and instances that rely on it
    would all choose the same engine. Own outstanding tokens are exact. Ties
    go to the least recently used engine, which spreads the prompts of six
    independent instances almost evenly.

    Examples
    --------
    >>> rotation = PrefillRotation()
    >>> waiting = {"e1": 0, "e2": 0, "e3": 900}
    >>> [rotation.choose(waiting, now=float(n)) for n in range(3)]
    ['e1', 'e2', 'e1']
    """

    def __init__(self):
        self.used_at = {}

    def choose(self, waiting, *, now):
        """Return the engine for the next prompt.

        Parameters
        ----------
        waiting : mapping of str to float
            Own prompt tokens without a first token, by engine.
        now : float
        """
        engine = min(
            waiting,
            key=lambda name: (waiting[name], self.used_at.get(name, -math.inf)),
        )
        self.used_at[engine] = now
        return engine

    def narrow(self, options, views, *, now):
        """Return the options on the chosen prefill engine.

        Returns `options` unchanged if none is on a prefill engine.

        Parameters
        ----------
        options : list of (float, SentRequest)
        views : mapping of str to EngineView
        now : float
        """
        waiting = {
            sent.engine: sum(views[sent.engine].own_prefill)
            for _, sent in options
            if views[sent.engine].role is Role.PREFILL
        }
        if not waiting:
            return options
        engine = self.choose(waiting, now=now)
        return [option for option in options if option[1].engine == engine]
