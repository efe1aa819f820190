"""Rates at which engines prefill prompts when little waits before them."""

from collections import defaultdict, deque

__all__ = ["PrefillRates"]

# Shorter prompts show the fixed part of a prefill rather than its rate.
MIN_TOKENS = 1000
MAX_SAMPLES = 48
MIN_SAMPLES = 8
# Most prefills wait for others, or for the tokens of streams, so the mean rate
# falls with the load; the fast quarter shows what an engine can do.
RANK = 3 / 4


class PrefillRates:
    """Latest rates by service and stage.

    Examples
    --------
    >>> rates = PrefillRates()
    >>> for seconds in (0.1, 0.1, 0.1, 0.1, 0.2, 0.4, 0.4, 0.4, 0.4):
    ...     rates.record("s", "decode", tokens=4000, seconds=seconds)
    >>> rates.rate("s", "decode"), rates.rate("s", "prefill")
    (40000.0, None)
    """

    def __init__(self):
        self.samples = defaultdict(lambda: deque(maxlen=MAX_SAMPLES))

    def record(self, service, stage, *, tokens, seconds):
        """Record a prefill, from its request to its answer."""
        if tokens >= MIN_TOKENS and seconds > 0.0:
            self.samples[service, stage].append(tokens / seconds)

    def rate(self, service, stage):
        """Return an engine's prompt tokens per second, or None."""
        samples = self.samples.get((service, stage), ())
        if len(samples) < MIN_SAMPLES:
            return None
        return sorted(samples)[int(RANK * len(samples))]
