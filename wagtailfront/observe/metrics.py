"""Metrics of an entry instance."""

import resource
import time

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

__all__ = ["Metrics", "catalogue"]

LATENCY_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.77, 1.0, 2.5, 5.0, 10.0, 60.0)
GAP_BUCKETS = (0.01, 0.02, 0.04, 0.078, 0.15, 0.3, 1.0, 3.0)
INFINITY = float("inf")
KIB = 1024

# Kind, name, description and labels. Every label takes values from a closed
# set or from the configuration, so that callers cannot add time series.
DEFINITIONS = (
    (Counter, "requests_total", "Finished requests.", ("service", "verdict")),
    (Counter, "refusals_total", "Refused requests.", ("service", "code")),
    (Counter, "attempts_total", "Ended attempts.", ("service", "result")),
    (Counter, "tokens_total", "Tokens passed on to callers.", ("service",)),
    (Counter, "peer_messages_total", "Messages between instances.", ("direction",)),
    (Counter, "peer_bytes_total", "Bytes between instances.", ("direction",)),
    (Counter, "store_requests_total", "Requests to a store.", ("store", "result")),
    (Counter, "forwarded_total", "Ended forwarded requests.", ("service", "outcome")),
    (Counter, "sends_total", "Requests sent to endpoints.", ("service", "kind")),
    (Counter, "room_total", "Requests that no engine had room for.", ("outcome",)),
    (
        Counter,
        "resumptions_refused_total",
        "Refused requests to resume a stream.",
        ("reason",),
    ),
    (
        Counter,
        "unanswered_requests_total",
        "Requests whose connection ended before their whole answer.",
        ("reason",),
    ),
    (Counter, "endpoint_connections_total", "Connections opened to endpoints.", ()),
    (Gauge, "requests_in_progress", "Accepted requests in progress.", ()),
    (Gauge, "rate_limited_endpoints", "Endpoints that name a rate limit.", ()),
    (Gauge, "leaving_endpoints", "Registered endpoints that said they leave.", ()),
    (Gauge, "paused_endpoints", "Endpoints that asked for a pause.", ()),
    (Counter, "endpoint_notices_total", "Notices of endpoints.", ("notice",)),
    (Gauge, "config_version", "Applied configuration version.", ()),
    (Gauge, "config_confirmed", "1 while new work may be dispatched.", ()),
    (Gauge, "leases_held", "Leases that this instance holds.", ()),
    (Gauge, "process_cpu_seconds", "Processor time used.", ()),
    (Gauge, "process_memory_bytes", "Largest resident memory so far.", ()),
    (Gauge, "process_uptime_seconds", "Time since the start.", ()),
)
HISTOGRAMS = (
    (
        "first_event_seconds",
        "Time from a forwarded request's arrival to its first event.",
        ("service",),
        LATENCY_BUCKETS,
    ),
    (
        "first_token_seconds",
        "Time from a request's arrival to its first token or whole answer.",
        ("service",),
        LATENCY_BUCKETS,
    ),
    (
        "token_gap_seconds",
        "Mean time between tokens of a request.",
        ("service",),
        GAP_BUCKETS,
    ),
)


class Metrics:
    """Registry with all metrics of one instance.

    Examples
    --------
    >>> metrics = Metrics()
    >>> metrics.count("requests_total", service="desk-assist", verdict="ran")
    >>> b"wagtailfront_requests_total" in metrics.render()
    True
    """

    def __init__(self, *, clock=time.monotonic):
        self.clock = clock
        self.started = clock()
        self.registry = Registry()
        self.collectors = {}
        for kind, name, text, _labels in DEFINITIONS:
            self._add(name, kind(f"wagtailfront_{name}", text, registry=self.registry))
        for name, text, _labels, buckets in HISTOGRAMS:
            collector = Histogram(
                f"wagtailfront_{name}",
                text,
                registry=self.registry,
                buckets=(*buckets, INFINITY),
            )
            self._add(name, collector)

    def _add(self, name, collector):
        self.collectors[name] = collector

    def count(self, name, amount=1, **labels):
        """Add `amount` to a counter."""
        self.collectors[name].add(labels, amount)

    def set(self, name, value, **labels):
        """Set a gauge, or a counter that is counted elsewhere."""
        self.collectors[name].set(labels, value)

    def observe(self, name, seconds, **labels):
        """Add an observation in seconds to a histogram."""
        self.collectors[name].observe(labels, float(seconds))

    def render(self):
        """Return all metrics in the Prometheus text format."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self.set("process_cpu_seconds", usage.ru_utime + usage.ru_stime)
        self.set("process_memory_bytes", usage.ru_maxrss * KIB)
        self.set("process_uptime_seconds", self.clock() - self.started)
        return render(self.registry, ["text/plain"])[0]


def catalogue():
    """Return the catalogue of all metrics as a Markdown page."""
    rows = [
        (f"wagtailfront_{name}", kind.kind.name, text, labels)
        for kind, name, text, labels in DEFINITIONS
    ]
    rows += [
        (f"wagtailfront_{name}", "histogram", text, labels)
        for name, text, labels, _buckets in HISTOGRAMS
    ]
    lines = [
        "# Metrics",
        "",
        "Generated by `python -m wagtailfront.observe.write_catalogue`.",
        "",
        "| name | kind | labels | meaning |",
        "| --- | --- | --- | --- |",
        *(
            f"| `{name}` | {kind} | {', '.join(labels) or 'none'} | {text} |"
            for name, kind, text, labels in sorted(rows)
        ),
    ]
    return "\n".join(lines) + "\n"
