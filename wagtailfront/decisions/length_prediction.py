"""Prediction of output lengths per workspace and kind of request."""

import math
from dataclasses import dataclass
from typing import NamedTuple

__all__ = ["LengthPrediction", "LengthPredictor"]

PRIOR_SHARE_OF_MAX = 0.25
PRIOR_SIGMA = 0.8
# Weight of the prior, in observations.
PRIOR_WEIGHT = 3.0
# Bounds the weight of old observations, so that the estimate follows changes.
MAX_WEIGHT = 60.0
HIGH_SIGMAS = 1.65  # 95% quantile of a normal distribution


class LengthPrediction(NamedTuple):
    """Expected value and 95% quantile of the output length, in tokens."""

    expected: float
    high: float


@dataclass(slots=True)
class _LogLengths:
    """Weight, moving mean and moving variance of log(output length)."""

    weight: float = 0.0
    mean: float = 0.0
    variance: float = 0.0

    def add(self, value):
        self.weight = min(self.weight + 1.0, MAX_WEIGHT)
        step = 1.0 / self.weight
        delta = value - self.mean
        self.mean += step * delta
        self.variance = (1.0 - step) * (self.variance + step * delta * delta)


class LengthPredictor:
    """Predicts output lengths per workspace and kind of request.

    The lengths of a kind over all workspaces are the prior for a workspace
    with few observations.

    Examples
    --------
    >>> predictor = LengthPredictor()
    >>> for _ in range(50):
    ...     predictor.observe("w", "label", 40)
    >>> round(predictor.predict("w", "label", 200).expected)
    40
    """

    def __init__(self):
        self.by_workspace = {}
        self.by_kind = {}

    def observe(self, workspace, kind, tokens):
        """Record the length of a complete answer.

        Parameters
        ----------
        tokens : int
            Output tokens; at least 1.
        """
        value = math.log(max(1, tokens))
        self.by_workspace.setdefault((workspace, kind), _LogLengths()).add(value)
        self.by_kind.setdefault(kind, _LogLengths()).add(value)

    def predict(self, workspace, kind, max_tokens):
        """Return the predicted length, at most `max_tokens`.

        Parameters
        ----------
        max_tokens : int
            Upper bound of the output; a share of it is the prior of a kind
            with few observations.

        Returns
        -------
        LengthPrediction
        """
        prior = _LogLengths(
            PRIOR_WEIGHT,
            math.log(max(1.0, max_tokens * PRIOR_SHARE_OF_MAX)),
            PRIOR_SIGMA**2,
        )
        of_kind = _shrink(self.by_kind.get(kind), prior)
        combined = _shrink(self.by_workspace.get((workspace, kind)), of_kind)
        sigma = math.sqrt(combined.variance)
        expected = math.exp(combined.mean + combined.variance / 2)
        high = math.exp(combined.mean + HIGH_SIGMAS * sigma)
        return LengthPrediction(
            min(expected, max_tokens), min(max(high, expected), max_tokens)
        )


def _shrink(observed, prior):
    """Return `observed` shrunk towards `prior` by their weights."""
    if observed is None:
        return prior
    share = observed.weight / (observed.weight + PRIOR_WEIGHT)
    gap = observed.mean - prior.mean
    return _LogLengths(
        observed.weight,
        prior.mean + share * gap,
        share * observed.variance
        + (1 - share) * prior.variance
        + share * (1 - share) * gap * gap,
    )
