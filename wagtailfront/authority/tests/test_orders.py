"""Tests of orders to engines.

P1: an engine never receives conflicting orders.
P3: orders of a former lease holder have no effect.
"""

import msgspec
import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import rule, run_state_machine_as_test

from wagtailfront.authority.lease import LeaseTimes
from wagtailfront.authority.order_rows import Order, order_key
from wagtailfront.authority.orders import OrderMachine
from wagtailfront.authority.tests.builders import FAULT_SETTINGS, WAIT, Transmission
from wagtailfront.authority.tests.holders import HolderFaults, OrdersOnlyGroup
from wagtailfront.stores.memory import late_write

SETTINGS = settings(max_examples=200, stateful_step_count=40)


class StalledSends(HolderFaults):
    """Adds pauses between a sender's check and its write call."""

    @rule(seconds=st.sampled_from([4.0, 11.0, 14.0]), wait=WAIT)
    def stall_next_order(self, seconds, wait):
        self.active().stalls.append(seconds)
        self.world.run_for(wait)

    def check_healed(self):
        for name, engine in self.world.engines.items():
            row = self.world.table.rows.get(order_key(name))
            if row is not None:
                order = msgspec.msgpack.decode(row.value, type=Order)
                assert engine.target == order.target, "not brought back to the order"


class ConflictingOrders(StalledSends):
    """P1: an engine never receives conflicting orders."""

    def __init__(self):
        self.written = {}  # (engine, number) -> Target
        self.received = {}  # engine -> highest number
        super().__init__()

    def check_row(self, value):
        if isinstance(value, Order):
            target = self.written.setdefault((value.engine, value.number), value.target)
            assert target == value.target, "two orders under one number"

    def check_event(self):
        super().check_event()
        held = [holder.lease.is_held(holder.clock()) for holder in self.holders]
        assert sum(held) <= 1, "two instances hold the lease"

    def check_receive(self, engine, order, stalled):
        super().check_receive(engine, order, stalled)
        written = self.written.get((engine.name, order.number))
        assert written == order.target, "sent before it was written"
        if stalled or (engine.checks_fencing and order.number < engine.number):
            return
        highest = self.received.get(engine.name, 0)
        assert order.number >= highest, "an order that was replaced came later"
        self.received[engine.name] = order.number


class FormerHolders(StalledSends):
    """P3: a former holder's orders have no effect on engines or rows."""

    def __init__(self):
        self.lease = None
        super().__init__()

    def check_row(self, value):
        if isinstance(value, Order):
            assert self.lease.holder, "written after the lease was released"
            assert value.fencing == self.lease.fencing, "written by a former holder"
        else:
            self.lease = value

    def check_send(self, order):
        self.check_event()
        assert order.fencing == self.lease.fencing, "sent by a former holder"


class OrderSentBeforeWritten(OrderMachine):
    """Sends an order before its write is committed."""

    def _write(self, now, grant, order):
        effects = super()._write(now, grant, order)
        self.order = order
        self.in_doubt = None
        return (*effects, *self._send(now, grant))


class NoDeliveryWait(OrderMachine):
    """Sends the first order to any engine directly after a takeover."""

    def _earliest_send(self, grant):
        self.checks_fencing = True
        return super()._earliest_send(grant)


class LeaseNotChecked(OrderMachine):
    """Writes without checking the lease row and ignores the lease's end."""

    def on_time(self, now, grant):
        self.last_grant = grant or getattr(self, "last_grant", None)
        return super().on_time(now, self.last_grant)

    def _write(self, now, grant, order):
        effects = super()._write(now, grant, order)
        return tuple(effect._replace(checks=()) for effect in effects)


def with_orders(guarantee, order_machine):
    """Return the state machine `guarantee` with `order_machine`."""
    group = type("Group", (OrdersOnlyGroup,), {"order_machine": order_machine})
    return type(guarantee.__name__, (guarantee,), {"group_machine": group})


def without_margin(guarantee):
    """Return the state machine `guarantee` with leases without a margin."""
    times = LeaseTimes(margin=0.0)
    return type(guarantee.__name__, (guarantee,), {"lease_times": times})


@pytest.mark.parametrize("guarantee", [ConflictingOrders, FormerHolders])
def test_guarantee_holds_under_faults(guarantee):
    """Checks P1 and P3 under combinations of the faults."""
    run_state_machine_as_test(guarantee, settings=SETTINGS)


def test_replaced_order_does_not_overtake_on_a_fast_clock():
    """Guards against a wait between orders that equals the write timeout.

    With a wait of 3.0 s on a clock that is 5% fast, an order that took 2.9 s
    to arrive came after the order that replaced it.
    """
    machine = ConflictingOrders()
    machine.configure(number=1, informed=set(), wait=0.0)
    machine.kill(wait=0.0)
    machine.outage(seconds=12.0, wait=11.0)
    machine.kill(wait=0.3)
    machine.kill(wait=4.0)
    machine.kill(wait=11.0)
    machine.crash_engine(name="e1", wait=0.3)
    machine.replace(transmissions=[Transmission(delay=2.9)], gap=1.0)
    machine.crash_engine(name="e1", wait=4.0)
    machine.teardown()


def test_late_write_of_an_order_is_detected():
    """Guards against an order row that changes after it was read back.

    The target changes from v2 to v1 and back. The write of v1 gets no answer
    and takes effect after the row was read again, when v2 is wanted.
    """
    machine = ConflictingOrders()
    machine.configure(number=2, informed=set(), wait=11.0)
    machine.world.run_for(0.3)  # no renewal falls into the next two seconds
    faults = [late_write(apply_after=2.0), late_write(apply_after=2.0)]
    machine.disturb_store(faults=faults, wait=0.0)
    machine.configure(number=1, informed=set(), wait=1.0)
    machine.configure(number=2, informed=set(), wait=11.0)
    machine.teardown()


@pytest.mark.parametrize(
    "guarantee, message",
    [
        (with_orders(ConflictingOrders, OrderSentBeforeWritten), "before it was"),
        (with_orders(ConflictingOrders, NoDeliveryWait), "replaced came later"),
        (without_margin(ConflictingOrders), "two instances"),
        (with_orders(FormerHolders, LeaseNotChecked), "former holder|released"),
    ],
)
def test_machine_finds_the_fault(guarantee, message):
    """The state machine detects a deliberately faulty implementation."""
    with pytest.raises(AssertionError, match=message):
        run_state_machine_as_test(guarantee, settings=FAULT_SETTINGS)
