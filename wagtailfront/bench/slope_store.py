"""Costs of claims and leases at the store, counted in one process."""

import itertools

from wagtailfront.authority.claim_rows import claim_key
from wagtailfront.authority.claims import ClaimMachine
from wagtailfront.authority.effects import StartTimer, WriteRows
from wagtailfront.authority.lease import LeaseMachine
from wagtailfront.bench.slopes import measure
from wagtailfront.outcome import Answered
from wagtailfront.stores.interfaces import Committed, Missing
from wagtailfront.stores.table_codec import encode_transact

__all__ = ["store_costs"]

TIMES = (10, 20, 40)
NOW = 1000.0


def _transaction_bytes(write):
    headers, body = encode_transact(
        table="wagtailfront", checks=write.checks, puts=write.puts, token=write.token
    )
    return sum(map(len, itertools.chain(*headers))) + len(body)


def _token():
    return "0123456789abcdef"


def _claim_writes(count):
    """Return the writes of `count` claimed and answered requests."""
    answer = b'{"slot":7,"member":"M-1042","state":"booked"}'
    writes = []
    for number in range(count):
        machine = ClaimMachine(
            key=claim_key("workspace-1", "order-desk", f"booking-{number:08}"),
            fingerprint=f"{number:032x}",
            attempt=f"{number:016x}.1",
            deadline=NOW + 30.0,
            new_token=_token,
        )
        effects = machine.start(NOW)
        machine.on_reply(NOW, effects[0].tag, Committed())
        effects += machine.on_outcome(NOW, Answered(value=None), answer)
        writes += [effect for effect in effects if isinstance(effect, WriteRows)]
    return writes


def _lease_writes(count):
    """Return the writes of a lease: its acquisition and `count` renewals."""
    machine = LeaseMachine(group="centre-1/2", instance="0" * 16, new_token=_token)
    effects = machine.want(NOW, True)
    effects = machine.on_reply(NOW, effects[0].tag, Missing())
    writes = []
    while len(writes) <= count:
        (write,) = (effect for effect in effects if isinstance(effect, WriteRows))
        writes.append(write)
        (timer,) = machine.on_reply(NOW, write.tag, Committed())
        assert isinstance(timer, StartTimer)
        effects = machine.on_time(timer.at)
    return writes


def store_costs():
    """Yield the table writes and bytes sent of claims and leases."""
    for label, make_writes, per in (
        ("claims", _claim_writes, "request"),
        ("lease", _lease_writes, "renewal"),
    ):
        yield measure(
            f"table writes of {label}",
            "writes",
            per,
            TIMES,
            lambda count, make_writes=make_writes: len(make_writes(count)),
        )
        yield measure(
            f"table bytes sent of {label}",
            "bytes",
            per,
            TIMES,
            lambda count, make_writes=make_writes: sum(
                map(_transaction_bytes, make_writes(count))
            ),
        )
