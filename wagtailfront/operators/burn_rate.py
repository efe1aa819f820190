"""Burn rates of service-level objectives, and reports of them."""

import itertools
from html import escape
from typing import NamedTuple

__all__ = ["Burn", "WINDOW_PAIRS", "measure", "merge", "text_report", "html_report"]


class WindowPair(NamedTuple):
    """Long and short window of a multi-window alert; lengths in seconds.

    An alert needs a burn rate above the threshold in both. The long window
    shows that the loss is significant, the short one that it is still going
    on.
    """

    long: float
    short: float
    threshold: float


# For a 30-day budget, a burn rate of 14.4 consumes 2% of it in an hour, 6
# consumes 0.8%. Instances keep one hour of records, so slower losses only
# show in the metrics.
WINDOW_PAIRS = (WindowPair(3600.0, 300.0, 14.4), WindowPair(3600.0, 1800.0, 6.0))
WINDOW_LENGTHS = sorted({length for pair in WINDOW_PAIRS for length in pair[:2]})
MIN_REQUESTS = 10  # the burn rate of fewer requests is too noisy to alert on


class Burn(NamedTuple):
    """Use of one error budget within a window that ends now.

    Attributes
    ----------
    objective : str
        `latency` or `availability`.
    target : float
        Share of requests, 0 to 1, that the objective demands.
    window : float
        Seconds.
    requests, bad : int
        Requests that the objective covers, and those that miss it.
    burn_rate : float
        Share of bad requests over the share allowed; 1 consumes exactly
        the whole budget over its period.
    alert : bool
        Whether the window belongs to a pair in which both windows exceed
        the threshold.
    """

    service: str
    request_class: str
    objective: str
    target: float
    window: float
    requests: int
    bad: int
    burn_rate: float = 0.0
    alert: bool = False


def measure(records, services, *, now):
    """Return the budget use of all objectives in all windows.

    Parameters
    ----------
    records : iterable of FinishedRequest
    services : iterable of Service
    now : float
        Seconds on the records' clock.

    Returns
    -------
    list of Burn
    """
    grouped = {}
    for record in records:
        grouped.setdefault((record.service, record.request_class), []).append(record)
    burns = []
    for service in services:
        for objective in service.objectives:
            key = (service.name, objective.request_class)
            for window in WINDOW_LENGTHS:
                recent = [
                    record
                    for record in grouped.get(key, ())
                    if now - record.ended <= window
                ]
                burns += _measure_window(key, objective, window, recent)
    return with_alerts(burns)


def _measure_window(key, objective, window, records):
    answered = [record for record in records if record.answered]
    timed = [record for record in answered if record.first_token is not None]
    slow = sum(record.first_token > objective.latency for record in timed)
    lost = len(records) - len(answered)
    counts = (
        ("latency", objective.latency_share, len(timed), slow),
        ("availability", objective.availability, len(records), lost),
    )
    return [
        Burn(*key, name, target, window, requests, bad)
        for name, target, requests, bad in counts
    ]


def merge(burns):
    """Return the totals of what several instances measured.

    Parameters
    ----------
    burns : iterable of Burn

    Returns
    -------
    list of Burn
        In order of service, class, objective and window.
    """
    ordered = sorted(burns, key=lambda burn: burn[:5])
    return with_alerts(
        Burn(
            *key,
            requests=sum(burn.requests for burn in group),
            bad=sum(burn.bad for burn in group),
        )
        for key, members in itertools.groupby(ordered, key=lambda burn: burn[:5])
        for group in [list(members)]
    )


def with_alerts(burns):
    """Return the burns with `burn_rate` and `alert` computed."""
    burns = [
        burn._replace(burn_rate=_rate(burn.target, burn.requests, burn.bad))
        for burn in burns
    ]
    rates = {
        (burn[:4], burn.window): burn.burn_rate
        for burn in burns
        if burn.requests >= MIN_REQUESTS
    }
    alerting = {
        (key, length)
        for key, _window in rates
        for pair in WINDOW_PAIRS
        if all(rates.get((key, size), 0.0) > pair.threshold for size in pair[:2])
        for length in pair[:2]
    }
    return [burn._replace(alert=(burn[:4], burn.window) in alerting) for burn in burns]


def _rate(target, requests, bad):
    """Return the burn rate; a target of 1 allows no bad requests.

    Examples
    --------
    >>> round(_rate(0.99, 1000, 20), 3)
    2.0
    """
    if not bad:
        return 0.0
    allowed = 1.0 - target
    # Finite, since messages from operators' calls reject infinite numbers.
    return min(bad / requests / allowed, 1e6) if allowed > 0 else 1e6


HEADINGS = (
    "service",
    "class",
    "objective",
    "target",
    "window",
    "requests",
    "bad",
    "burn rate",
    "alert",
)


def _cells(burn):
    return (
        burn.service,
        burn.request_class,
        burn.objective,
        f"{burn.target:.4g}",
        f"{burn.window / 60:g} min",
        str(burn.requests),
        str(burn.bad),
        f"{burn.burn_rate:.2f}",
        "ALERT" if burn.alert else "",
    )


def text_report(burns):
    """Return the burns as a plain text table."""
    rows = [HEADINGS, *map(_cells, burns)]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return "".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        + "\n"
        for row in rows
    )


STYLE = """
body { font: 14px sans-serif; margin: 2em; color: #222; }
table { border-collapse: collapse; }
th, td { padding: 4px 10px; border-bottom: 1px solid #ddd; text-align: left; }
tr.alert td { background: #fdd; font-weight: bold; }
.bar { display: inline-block; height: 10px; background: #4a7; }
tr.alert .bar { background: #c33; }
"""
BAR_PIXELS = 8  # per unit of burn rate
MAX_BAR = 160  # pixels


def html_report(burns, *, title="Burn rates"):
    """Return the burns as a self-contained HTML page."""
    head = "".join(f"<th>{escape(heading)}</th>" for heading in HEADINGS)
    body = "".join(map(_html_row, burns))
    return (
        "<!doctype html>\n"
        f'<html lang="en"><head><meta charset="utf-8"><title>{escape(title)}</title>'
        f"<style>{STYLE}</style></head><body><h1>{escape(title)}</h1>"
        f"<table><tr>{head}<th></th></tr>{body}</table></body></html>\n"
    )


def _html_row(burn):
    cells = "".join(f"<td>{escape(cell)}</td>" for cell in _cells(burn))
    width = min(round(burn.burn_rate * BAR_PIXELS), MAX_BAR)
    bar = f'<td><span class="bar" style="width:{width}px"></span></td>'
    marker = ' class="alert"' if burn.alert else ""
    return f"<tr{marker}>{cells}{bar}</tr>"
