"""Summary, JSON results, HTML report and comparison of load runs."""

import html
import itertools
from collections import Counter

import msgspec
from hdrh.histogram import HdrHistogram

from wagtailfront.bench import load_exchange

__all__ = ["summarize", "encode_results", "decode_results", "render_page", "compare"]

HIGHEST_MS = 600_000
DIGITS = 3
PERCENTILES = (50.0, 90.0, 99.0)
FIRST_TOKEN_TARGET = 0.77  # seconds
TOKEN_GAP_TARGET = 0.078  # seconds
PLOT_WIDTH = 720
PLOT_HEIGHT = 160
COLOURS = ("#1b6ca8", "#c8553d", "#588b3f", "#7a4f9a", "#b8860b", "#444444")


def _histogram(seconds):
    histogram = HdrHistogram(1, HIGHEST_MS, DIGITS)
    for value in seconds:
        histogram.record_value(min(HIGHEST_MS, max(1, round(value * 1000))))
    return histogram


def _percentiles(seconds):
    histogram = _histogram(seconds)
    return {
        f"p{percentile:g}_ms": histogram.get_value_at_percentile(percentile)
        for percentile in PERCENTILES
    }


def _meets_target(outcome):
    """Return whether a request met the service-level targets.

    An answer of fewer than two tokens, as of a booking, has no latency target.
    """
    if outcome.result != load_exchange.ANSWERED:
        return False
    if outcome.tokens < 2:
        return True
    gap = (outcome.ended - outcome.first) / (outcome.tokens - 1)
    return outcome.first - outcome.at <= FIRST_TOKEN_TARGET and gap <= TOKEN_GAP_TARGET


def summarize(outcomes, *, duration, lateness, breaches):
    """Return the summary of a run.

    Parameters
    ----------
    outcomes : list of Outcome
    duration : float
        Seconds of offered load.
    lateness : list of float
        Seconds by which requests were sent after their planned time.
    breaches : dict
        From `check_effects`.

    Returns
    -------
    dict
        Counts, rates per second, and percentiles in milliseconds per kind;
        latencies count from the planned arrival.
    """
    results = Counter(outcome.result for outcome in outcomes)
    ordered = sorted(outcomes, key=lambda outcome: outcome.kind)
    kinds = {
        kind: _summarize_kind(list(group))
        for kind, group in itertools.groupby(ordered, key=lambda o: o.kind)
    }
    return {
        "requests": len(outcomes),
        "results": dict(results),
        "codes": dict(Counter(o.code for o in outcomes if o.code)),
        "effects": breaches,
        "goodput_per_s": round(sum(map(_meets_target, outcomes)) / duration, 3),
        "tokens_per_s": round(sum(o.tokens for o in outcomes) / duration, 1),
        "resent": sum(outcome.sends > 1 for outcome in outcomes),
        "send_lateness": _percentiles(lateness),
        "kinds": kinds,
    }


def _summarize_kind(outcomes):
    answered = [o for o in outcomes if o.result == load_exchange.ANSWERED]
    summary = {"requests": len(outcomes), "answered": len(answered)}
    if answered:
        streamed = [o for o in answered if o.tokens]
        if streamed:
            summary["first"] = _percentiles(o.first - o.at for o in streamed)
        summary["whole"] = _percentiles(o.ended - o.at for o in answered)
    return summary


class Results(msgspec.Struct):
    """Contents of a results file."""

    plan: dict
    seed: int
    summary: dict
    outcomes: list[load_exchange.Outcome]


def encode_results(*, plan, seed, summary, outcomes):
    """Return the results as JSON."""
    results = Results(
        plan=plan._asdict(), seed=seed, summary=summary, outcomes=outcomes
    )
    return msgspec.json.encode(results)


def decode_results(data):
    """Return the `Results` in JSON `data`."""
    return msgspec.json.decode(data, type=Results)


def compare(before, after):
    """Return the ratios of two summaries as lines of text."""
    lines = []
    for key in ("requests", "goodput_per_s", "tokens_per_s"):
        lines.append(_ratio_line(key, before[key], after[key]))
    for kind in sorted(before["kinds"].keys() & after["kinds"].keys()):
        pair = (before["kinds"][kind], after["kinds"][kind])
        for part in ("first", "whole"):
            if all(part in summary for summary in pair):
                lines += [
                    _ratio_line(f"{kind} {part} {name}", pair[0][part][name], value)
                    for name, value in pair[1][part].items()
                ]
    return lines


def _ratio_line(name, old, new):
    ratio = f"{new / old:.2f}" if old else "n/a"
    return f"{name:40} {old:>12} {new:>12} {ratio:>7}"


def render_page(results):
    """Return the report of a run as a self-contained HTML page."""
    outcomes = results.outcomes
    duration = max((o.ended for o in outcomes), default=1.0)
    plots = [
        _plot("p99 latency per second (ms)", _latency_series(outcomes), duration),
        _plot("goodput per second", {"goodput": _goodput(outcomes)}, duration),
        _plot("burn (share of requests off target)", _burn(outcomes), duration),
    ]
    text = html.escape(
        msgspec.json.format(msgspec.json.encode(results.summary)).decode()
    )
    return (
        "<!doctype html><meta charset='utf-8'><title>wagtailfront load run</title>"
        "<style>body{font:14px sans-serif;margin:2em;max-width:760px}"
        "pre{background:#f4f4f4;padding:1em}</style>"
        f"<h1>Load run, seed {results.seed}</h1>{''.join(plots)}<pre>{text}</pre>"
    )


def _by_second(outcomes, value):
    """Group values of outcomes by the second of their planned arrival."""
    seconds = {}
    for outcome in outcomes:
        seconds.setdefault(int(outcome.at), []).append(value(outcome))
    return seconds


def _latency_series(outcomes):
    kinds = sorted({outcome.kind for outcome in outcomes})
    return {
        kind: [
            (second, _histogram(values).get_value_at_percentile(99.0))
            for second, values in sorted(
                _by_second(
                    (o for o in outcomes if o.kind == kind), lambda o: o.ended - o.at
                ).items()
            )
        ]
        for kind in kinds
    }


def _goodput(outcomes):
    seconds = _by_second(outcomes, _meets_target)
    return [(second, sum(values)) for second, values in sorted(seconds.items())]


def _burn(outcomes):
    """Return the share of requests off target by second."""
    seconds = _by_second(outcomes, lambda outcome: not _meets_target(outcome))
    points = [(s, sum(values) / len(values)) for s, values in sorted(seconds.items())]
    return {"off target": points}


def _plot(title, series, duration):
    """Return an SVG line plot of named series of (second, value)."""
    highest = max((v for points in series.values() for _s, v in points), default=0)
    scale_x = PLOT_WIDTH / max(1.0, duration)
    scale_y = (PLOT_HEIGHT - 20) / (highest or 1)
    lines = []
    for (name, points), colour in zip(
        series.items(), itertools.cycle(COLOURS), strict=False
    ):
        path = " ".join(
            f"{second * scale_x:.1f},{PLOT_HEIGHT - value * scale_y:.1f}"
            for second, value in points
        )
        lines.append(
            f"<polyline fill='none' stroke='{colour}' points='{path}'>"
            f"<title>{html.escape(name)}</title></polyline>"
        )
    legend = " ".join(
        f"<tspan fill='{colour}'>{html.escape(name)}</tspan>"
        for name, colour in zip(series, itertools.cycle(COLOURS), strict=False)
    )
    return (
        f"<h2>{html.escape(title)}, highest {highest:g}</h2>"
        f"<svg width='{PLOT_WIDTH}' height='{PLOT_HEIGHT + 20}' role='img'>"
        f"<rect width='{PLOT_WIDTH}' height='{PLOT_HEIGHT}' fill='#fafafa'/>"
        f"{''.join(lines)}<text y='{PLOT_HEIGHT + 15}'>{legend}</text></svg>"
    )
