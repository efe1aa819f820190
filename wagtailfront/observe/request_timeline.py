"""Timeline of one request from the logs of any number of instances."""

from typing import NamedTuple

import msgspec

__all__ = ["TimelineEntry", "read_timeline", "format_timeline"]

# Kinds of lines on an instance's state, on which its decisions depend.
STATE_KINDS = (
    "start",
    "stop",
    "configuration",
    "routing",
    "registry",
    "endpoint_added",
    "endpoint_leaving",
    "endpoint_gone",
    "endpoint_notice_leaving",
    "endpoint_notice_pause",
    "endpoint_notice_unreadable",
)
# Inputs of a request's lines that name endpoints it was not sent to.
LEFT_OUT = ("leaving", "pausing")
COMMON = ("time", "instance", "kind", "outcome")


class TimelineEntry(NamedTuple):
    """One logged decision; `time` in Unix seconds."""

    time: float
    instance: str
    kind: str
    outcome: str
    inputs: dict


def read_timeline(lines, request_id):
    """Return the logged decisions on a request, in order of time.

    Parameters
    ----------
    lines : iterable of str
        Log lines of any instances. Text before the first brace, such as a
        time or an instance's name, is ignored, and so are lines that contain
        no JSON object.
    request_id : str

    Returns
    -------
    list of TimelineEntry
        The request's own lines, and the latest lines before its end on the
        state of the instances that handled it. Lines on endpoints are
        included only for the endpoints in the request's own lines; they
        name the request whose answer told the instance.

    Examples
    --------
    >>> line = '3.1 i1 {"time":5,"instance":"i1","kind":"sent",'
    >>> line += '"outcome":"run","request":"r1","endpoint":"e1"}'
    >>> read_timeline([line, "no JSON"], "r1")[0].inputs
    {'endpoint': 'e1'}
    """
    entries = [entry for line in lines if (entry := _read_line(line)) is not None]
    own = [entry for entry in entries if entry.get("request") == request_id]
    if not own:
        return []
    end = max(entry["time"] for entry in own)
    instances = {entry["instance"] for entry in own}
    states = {}
    others = [entry for entry in entries if entry.get("request") != request_id]
    for entry in sorted(others, key=lambda entry: entry["time"]):
        is_state = entry["kind"] in STATE_KINDS and entry["instance"] in instances
        if is_state and entry["time"] <= end:
            subject = entry["outcome"] if "endpoint" in entry["kind"] else ""
            states[entry["instance"], entry["kind"], subject] = entry
    used = {endpoint for entry in own for endpoint in _named_endpoints(entry)}
    shown = [
        entry
        for entry in states.values()
        if "endpoint" not in entry["kind"] or entry["outcome"] in used
    ]
    shown = sorted([*shown, *own], key=lambda entry: entry["time"])
    return [_to_entry(entry, request_id) for entry in shown]


def _named_endpoints(entry):
    """Return the endpoints in a request's line."""
    return [
        entry.get("endpoint"),
        *(endpoint for name in LEFT_OUT for endpoint in entry.get(name, ())),
    ]


def _read_line(line):
    start = line.find("{")
    if start < 0:
        return None
    try:
        entry = msgspec.json.decode(line[start:])
    except msgspec.DecodeError:
        # Lines of other programs and truncated lines contain no decision.
        return None
    is_decision = isinstance(entry, dict) and all(
        name in entry for name in ("time", "instance", "kind", "outcome")
    )
    return entry if is_decision and isinstance(entry["time"], int | float) else None


def _to_entry(entry, request_id):
    inputs = {
        name: value
        for name, value in entry.items()
        if name not in COMMON and (name, value) != ("request", request_id)
    }
    return TimelineEntry(
        entry["time"], entry["instance"], entry["kind"], entry["outcome"], inputs
    )


def format_timeline(timeline):
    """Return a timeline as text, with times relative to its first entry.

    Examples
    --------
    >>> line = TimelineEntry(7.25, "i1", "sent", "run", {"attempt": 1})
    >>> print(format_timeline([line]))
      0.0000 s  i1  sent: run  attempt=1
    """
    if not timeline:
        return "no log line names this request"
    begin = timeline[0].time
    return "\n".join(
        f"{line.time - begin:8.4f} s  {line.instance}  {line.kind}: {line.outcome}"
        + "".join(f"  {name}={value}" for name, value in line.inputs.items())
        for line in timeline
    )
