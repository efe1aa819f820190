"""Output and exit statuses of the operators' commands."""

from collections import defaultdict

from google.protobuf import json_format

from wagtailfront.authority.engine_marks import target_of
from wagtailfront.operators import wagtailfront_pb2 as pb
from wagtailfront.operators.deployment_diff import describe
from wagtailfront.operators.messages import (
    change_from_message,
    configuration_from_message,
)

__all__ = [
    "EXIT_OK",
    "EXIT_ERROR",
    "EXIT_PENDING",
    "EXIT_CONFLICT",
    "EXIT_UNAVAILABLE",
    "print_outcome",
    "print_plan",
    "status_json",
    "status_text",
]

EXIT_OK = 0
EXIT_ERROR = 1
EXIT_PENDING = 3
EXIT_CONFLICT = 4
EXIT_UNAVAILABLE = 5


def print_outcome(reply):
    """Print the outcome of a change and return the exit status."""
    outcome = reply.WhichOneof("outcome")
    if outcome == "accepted":
        print(f"accepted: version {reply.accepted.version} is in effect")
        return EXIT_OK
    if outcome == "pending":
        missing = ", ".join(reply.pending.missing_instances) or "none"
        print(
            f"pending: version {reply.pending.version} is committed, "
            f"not yet confirmed by: {missing}"
        )
        return EXIT_PENDING
    if outcome == "conflict":
        print("conflict: nothing was changed; others changed the same resources:")
        for record in reply.conflict.changes:
            for change in map(change_from_message, record.changes):
                print(f"  version {record.version} by {record.author}: {change}")
        return EXIT_CONFLICT
    if outcome == "unavailable":
        verdict = pb.Verdict.Name(reply.unavailable.verdict).removeprefix("VERDICT_")
        print(f"unavailable: {reply.unavailable.reason} ({verdict.lower()})")
        return EXIT_UNAVAILABLE
    print("the reply has no known outcome")
    return EXIT_ERROR


def print_plan(plan, running):
    """Print the changes of a plan and the deferred ones."""
    for change in plan.changes:
        print(describe(change, running))
    for change, reason in plan.deferred:
        print(f"deferred to a later apply: {describe(change, running)}: {reason}")
    if not plan.changes and not plan.deferred:
        print("no difference")


def status_json(reply):
    """Return a status reply as one line of JSON."""
    return json_format.MessageToJson(reply, indent=None)


def status_text(replies):
    """Return the replies of several instances as lines of text.

    Starts with one line per instance. A line per engine and endpoint of the
    newest configuration follows, with the load from the newest report.
    """
    newest = max(replies, key=lambda reply: reply.configuration.version)
    config = configuration_from_message(newest.configuration)
    lines = list(map(_describe_instance, replies))
    statuses = defaultdict(list)
    for reply in replies:
        for status in reply.endpoints:
            statuses[status.name].append((reply.instance, status))
    for entry in (*config.engines.values(), *config.endpoints.values()):
        details = [entry.service, entry.data_centre, entry.state]
        if hasattr(entry, "model"):
            details += _describe_target(entry, config.engine_marks.get(entry.name))
        details += _describe_load(statuses[entry.name])
        lines.append(f"  {entry.name}: {', '.join(details)}")
    return "\n".join(lines)


def _describe_instance(reply):
    confirmed = "confirmed" if reply.confirmed else "NOT CONFIRMED"
    return (
        f"{reply.instance} in {reply.data_centre}: "
        f"version {reply.configuration.version}, {confirmed}, "
        f"leases: {', '.join(reply.leases) or 'none'}"
    )


def _describe_load(statuses):
    """Return load, ejections and change steps from all instances."""
    details = []
    reported = [entry for _, entry in statuses if entry.HasField("report_age")]
    if reported:
        load = min(reported, key=lambda entry: entry.report_age)
        details.append(f"{load.running} running, {load.waiting} waiting")
    ejecting = [instance for instance, entry in statuses if entry.ejected]
    if ejecting:
        details.append(f"EJECTED by {', '.join(ejecting)}")
    steps = sorted({entry.change_step for _, entry in statuses if entry.change_step})
    return details + [f"change: {step}" for step in steps]


def _describe_target(engine, mark):
    """Return what an engine runs, and its target if that differs."""
    wanted = target_of(engine)
    if mark is None or mark.running == wanted:
        return [_target_text(wanted)]
    target = _target_text(wanted)
    texts = [f"{_target_text(mark.running)}, to be {target}"]
    return [*texts, "draining for the change"] if mark.draining else texts


def _target_text(target):
    return " ".join((target.model, target.version, target.role, *target.adapters))
