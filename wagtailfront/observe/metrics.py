"""Metrics of an instance."""

import bisect
import resource
import time

__all__ = ["Metrics", "catalogue"]

LATENCY_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.77, 1.0, 2.5, 5.0, 10.0, 60.0)
GAP_BUCKETS = (0.01, 0.02, 0.04, 0.078, 0.15, 0.3, 1.0, 3.0)
INFINITY = float("inf")
KIB = 1024
# Names of the collectors of aioprometheus.
Counter, Gauge = "Counter", "Gauge"

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
    (
        Counter,
        "duty_calls_total",
        "Calls to the platform that one instance makes at a time.",
        ("duty", "outcome"),
    ),
    (Counter, "usage_reports_total", "Reported usage windows.", ("outcome",)),
    (Counter, "usage_late_total", "Requests counted after their window's sum.", ()),
    (
        Gauge,
        "usage_report_delay_seconds",
        "Time from the end of the window reported last to its answer.",
        (),
    ),
    (Gauge, "duties_held", "1 while this instance may make the calls of duties.", ()),
    (Gauge, "requests_in_progress", "Accepted requests in progress.", ()),
    (Gauge, "intake_bytes", "Memory of callers' requests and unread answers.", ()),
    (
        Counter,
        "intake_given_way_total",
        "Callers' connections refused or closed as their memory was full.",
        ("outcome",),
    ),
    (
        Counter,
        "connections_over_limit_total",
        "Connections closed for new ones at the limit, and new ones rejected.",
        ("outcome",),
    ),
    (
        Gauge,
        "reads_waiting",
        "Callers' connections that wait for their turn to be read.",
        (),
    ),
    (Gauge, "rate_limited_endpoints", "Endpoints that name a rate limit.", ()),
    (Gauge, "leaving_endpoints", "Registered endpoints that said they leave.", ()),
    (Gauge, "paused_endpoints", "Endpoints that asked for a pause.", ()),
    (Counter, "endpoint_notices_total", "Notices of endpoints.", ("notice",)),
    (Counter, "engine_orders_total", "Answers to orders for engines.", ("outcome",)),
    (Gauge, "engines_serving", "Engines that are there and stay.", ("service",)),
    (Gauge, "engines_needed", "Engines that the demand takes.", ("service",)),
    (Gauge, "engines_cost", "Price of the engines per second.", ("service",)),
    (Gauge, "config_version", "Applied configuration version.", ()),
    (
        Gauge,
        "config_age_seconds",
        "Largest possible age of the configuration; -1 if it is not known.",
        (),
    ),
    (Gauge, "workspaces_known", "Workspaces with keys in the configuration.", ()),
    (Counter, "keyed_refusals_total", "Requests refused by their key.", ("reason",)),
    (Counter, "keys_revoked_total", "Keys that a configuration removed.", ()),
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


class Observations:
    """Observations of one histogram with one set of labels.

    Parameters
    ----------
    bounds : tuple of float
        Largest value of each bucket.
    """

    def __init__(self, *, bounds):
        self.bounds = bounds
        self.counts = [0] * len(bounds)
        self.sum = 0.0

    def add(self, value):
        """Count one value."""
        self.counts[bisect.bisect_left(self.bounds, value)] += 1
        self.sum += value


class Metrics:
    """All metrics of one instance.

    Notes
    -----
    aioprometheus renders them, and is imported for the first page only: it
    takes a tenth of the processor time of a start.

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
        names = [name for _kind, name, _text, _labels in DEFINITIONS]
        self.values = {name: {} for name in names}
        self.observations = {name: {} for name, _text, _labels, _bounds in HISTOGRAMS}
        self.bounds = {
            name: (*bounds, INFINITY) for name, _text, _labels, bounds in HISTOGRAMS
        }

    def count(self, name, amount=1, **labels):
        """Add `amount` to a counter."""
        values, key = self.values[name], _key(labels)
        values[key] = values.get(key, 0) + amount

    def set(self, name, value, **labels):
        """Set a gauge, or a counter that is counted elsewhere."""
        self.values[name][_key(labels)] = value

    def observe(self, name, seconds, **labels):
        """Add an observation in seconds to a histogram."""
        series, key = self.observations[name], _key(labels)
        if key not in series:
            series[key] = Observations(bounds=self.bounds[name])
        series[key].add(float(seconds))

    def render(self):
        """Return all metrics in the Prometheus text format."""
        from wagtailfront.observe.metrics_page import render_page

        usage = resource.getrusage(resource.RUSAGE_SELF)
        self.set("process_cpu_seconds", usage.ru_utime + usage.ru_stime)
        self.set("process_memory_bytes", usage.ru_maxrss * KIB)
        self.set("process_uptime_seconds", self.clock() - self.started)
        return render_page(self, DEFINITIONS, HISTOGRAMS)


def _key(labels):
    return tuple(sorted(labels.items()))


def catalogue():
    """Return the catalogue of all metrics as a Markdown page."""
    rows = [
        (f"wagtailfront_{name}", kind.lower(), text, labels)
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
