"""Measurement of token gaps of own streams, to detect slow engines."""

import math
from collections import deque

__all__ = ["StreamWatch"]

# Averaging time of token gaps; covers several steps of a busy engine.
GAP_WINDOW_SECONDS = 0.5
# Samples per stream, which cover the window at four ticks per second.
WINDOW_TICKS = 4
# A probe without a first token after this time has failed.
PROBE_TIMEOUT_SECONDS = 1.0
# Minimum time between two hints to the peers about one engine.
HINT_INTERVAL_SECONDS = 1.0


class StreamWatch:
    """Measures token gaps of own streams and evaluates probes.

    Parameters
    ----------
    detector : SlowDetector
        Receives the observations.
    """

    def __init__(self, *, detector):
        self.detector = detector
        self.windows = {}
        self.hinted_at = {}

    def started(self, sent, now):
        """Start to measure a stream at its first token."""
        first = (now, sent.tokens)
        self.windows[sent.work.request_id] = deque([first], maxlen=WINDOW_TICKS)

    def forget(self, request_id):
        """Stop measuring a stream."""
        self.windows.pop(request_id, None)

    def record_progress(self, sent, tokens, now):
        """Measure the mean gap between tokens over the last window."""
        sent.tokens = tokens
        window = self.windows.get(sent.work.request_id)
        if window is None:
            return
        window.append((now, tokens))
        oldest = now - GAP_WINDOW_SECONDS
        since = next((entry for entry in reversed(window) if entry[0] <= oldest), None)
        if since is not None:
            # Half a token if none arrived, so that the gap is finite.
            gap = (now - since[0]) / max(tokens - since[1], 0.5)
            self._observe(sent, gap, now)

    def fail_slow_probes(self, fleet, now):
        """End failed probes; return their request ids.

        Parameters
        ----------
        fleet : FleetView
        """
        slow = []
        for engine in sorted(self.detector.ejected):
            sent = fleet.sent.get(self.detector.engines[engine].probe)
            if sent is not None and self._is_failed_probe(sent, now):
                slow.append(sent)
        for sent in slow:
            # The request moves to another engine and is no longer a probe.
            sent.is_probe = False
            self.detector.probe_ended(sent.engine, is_good=False, now=now)
        return [sent.work.request_id for sent in slow]

    def due_hints(self, now):
        """Return the engines to report to the peers as slow."""
        due = [
            name
            for name in self.detector.engines
            if self.detector.has_own_evidence(name, now=now)
            and now - self.hinted_at.get(name, -math.inf) >= HINT_INTERVAL_SECONDS
        ]
        self.hinted_at.update(dict.fromkeys(due, now))
        return due

    def _observe(self, sent, gap, now):
        if not sent.is_probe:
            self.detector.observe_gap(sent.engine, gap, now=now)
        elif not self.detector.probe_gap_is_good(gap, now=now):
            self.detector.observe_silence(sent.engine, now=now)

    def _is_failed_probe(self, sent, now):
        is_silent = sent.first_token_at is None
        if is_silent and now - sent.at > PROBE_TIMEOUT_SECONDS:
            return True
        return self.detector.has_own_evidence(sent.engine, now=now)
