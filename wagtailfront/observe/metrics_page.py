"""Rendering of an instance's metrics by aioprometheus."""

import itertools

import aioprometheus
from aioprometheus import histogram
from aioprometheus.renderer import render

__all__ = ["render_page"]

PREFIX = "wagtailfront_"


def render_page(metrics, definitions, histograms):
    """Return metrics in the Prometheus text format.

    Parameters
    ----------
    metrics : Metrics
    definitions : iterable of (str, str, str, tuple)
        Collector, name, description and labels of each counter and gauge.
    histograms : iterable of (str, str, tuple, tuple)
        Name, description, labels and bounds of each histogram.

    Returns
    -------
    bytes
    """
    registry = aioprometheus.Registry()
    for kind, name, text, _labels in definitions:
        collector = getattr(aioprometheus, kind)(
            f"{PREFIX}{name}", text, registry=registry
        )
        for labels, value in metrics.values[name].items():
            collector.set_value(dict(labels), value)
    for name, text, _labels, _bounds in histograms:
        collector = aioprometheus.Histogram(
            f"{PREFIX}{name}", text, registry=registry, buckets=metrics.bounds[name]
        )
        for labels, observations in metrics.observations[name].items():
            collector.set_value(dict(labels), _make_histogram(observations))
    return render(registry, ["text/plain"])[0]


def _make_histogram(observations):
    """Return the observations as aioprometheus keeps them."""
    made = histogram.Histogram(*observations.bounds)
    totals = itertools.accumulate(observations.counts)
    made.buckets.update(zip(observations.bounds, totals, strict=True))
    made.sum = observations.sum
    made.observations = sum(observations.counts)
    return made
