"""Hypothesis state machine of lease holders under faults.

The tests of the guarantees P1, P2 and P3 extend it.
"""

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from wagtailfront.authority.change_rows import Change, ChangeLimits
from wagtailfront.authority.engine_change import ChangeMachine
from wagtailfront.authority.group_machine import GroupMachine
from wagtailfront.authority.lease import Lease, LeaseMachine
from wagtailfront.authority.order_rows import Order
from wagtailfront.authority.tests.builders import (
    STORE_FAULTS,
    TRANSMISSIONS,
    WAIT,
    FakeEngine,
    build_target,
)
from wagtailfront.authority.tests.world import Holder, World

__all__ = ["HolderFaults", "OrdersOnlyGroup", "INSTANCES"]

RATES = (1.0, 0.95, 1.05)  # clock rates, up to 10% apart
INSTANCES = range(len(RATES))
ROW_TYPES = {"lease": Lease, "order": Order, "change": Change}


class OrdersOnly(ChangeMachine):
    """Orders the wanted target at once, for tests of orders alone."""

    def on_time(self, now, grant):
        self.orders.wanted = self.wanted and self.wanted[1]
        return self.orders.on_time(now, grant)


class OrdersOnlyGroup(GroupMachine):
    """Group without planned changes."""

    change_machine = OrdersOnly


class HolderFaults(RuleBasedStateMachine):
    """Three instances under faults; subclasses add the checks."""

    group_machine = OrdersOnlyGroup
    lease_machine = LeaseMachine
    lease_times = None
    engines = {"e1": True, "e2": False}
    limits = ChangeLimits("desk-assist", 2, 1)

    def __init__(self):
        super().__init__()
        self.world = World()
        self.world.engines = {
            name: FakeEngine(
                name=name, checks_fencing=checks, schedule=self.world.schedule
            )
            for name, checks in self.engines.items()
        }
        self.revision = 0
        self.targets = {}
        self.starts = 0
        self.holders = [self.start_holder(index) for index in INSTANCES]
        self.seen_rows = 0
        self.world.check = self.check_event
        self.world.on_send = self.check_send
        self.world.on_receive = self.check_receive
        self.world.run_for(1.0)

    def start_holder(self, index):
        """Return a new incarnation of the instance at `index`."""
        self.starts += 1
        group = self.group_machine(
            limits=self.limits, engines=self.engines, new_id=self.world.new_id
        )
        holder = Holder(
            world=self.world,
            name=f"i{index}.{self.starts}",
            rate=RATES[index],
            offset=100.0 * self.starts,
            group=group,
            lease_machine=self.lease_machine,
            times=self.lease_times,
        )
        self.inform(holder)
        return holder

    def inform(self, holder):
        """Pass the current configuration to `holder`."""
        revision, targets = self.revision, dict(self.targets)
        holder.run(lambda: holder.step("group", "request", revision, targets))

    def active(self):
        """Return the instance that holds the lease, else the first one."""
        held = [h for h in self.holders if h.lease.is_held(h.clock())]
        return held[0] if held else self.holders[0]

    # Checks, which subclasses extend.

    def check_event(self):
        history = self.world.table.history
        for _, row in history[self.seen_rows :]:
            kind = ROW_TYPES.get(row.key.partition)
            if kind is not None:
                self.check_row(msgspec.msgpack.decode(row.value, type=kind))
        self.seen_rows = len(history)

    def check_row(self, value):
        """Check a row that was just committed."""

    def check_send(self, order):
        """Check an order that is about to be written to a connection."""

    def check_receive(self, engine, order, stalled):
        """Check an order that is about to reach `engine`."""
        self.check_event()

    def check_healed(self):
        """Check the state after all faults have ended and time has passed."""

    # Rules. Most faults affect the active holder. After a wait of 0 the next
    # fault coincides with this one.

    @rule(
        number=st.integers(1, 3),
        informed=st.sets(st.sampled_from(INSTANCES)),
        wait=WAIT,
    )
    def configure(self, number, informed, wait):
        self.revision += 1
        self.targets = {name: build_target(number) for name in self.engines}
        self.inform(self.active())
        for index in informed:
            self.inform(self.holders[index])
        self.world.run_for(wait)

    @rule(transmissions=TRANSMISSIONS, gap=WAIT)
    def replace(self, transmissions, gap):
        self.configure(1, INSTANCES, 0.0)
        self.disturb_orders(transmissions, gap)
        self.configure(2, INSTANCES, 1.0)

    @rule(faults=STORE_FAULTS, wait=WAIT)
    def disturb_store(self, faults, wait):
        self.active().faults.extend(faults)
        self.world.run_for(wait)

    @rule(transmissions=TRANSMISSIONS, wait=WAIT)
    def disturb_orders(self, transmissions, wait):
        self.active().transmissions["order"].extend(transmissions)
        self.world.run_for(wait)

    @rule(
        kind=st.sampled_from(["state", "mark"]), transmissions=TRANSMISSIONS, wait=WAIT
    )
    def disturb_reports(self, kind, transmissions, wait):
        self.active().transmissions[kind].extend(transmissions)
        self.world.run_for(wait)

    @rule(seconds=st.sampled_from([0.5, 5.0, 9.0, 14.0]), wait=WAIT)
    def pause(self, seconds, wait):
        holder = self.active()
        holder.is_paused = True
        self.world.schedule.after(seconds, holder.resume)
        self.world.run_for(wait)

    @rule(seconds=st.sampled_from([2.0, 9.0, 14.0]), wait=WAIT)
    def cut_off(self, seconds, wait):
        holder = self.active()
        holder.is_cut_off = True
        self.world.schedule.after(seconds, lambda: setattr(holder, "is_cut_off", False))
        self.world.run_for(wait)

    @rule(seconds=st.sampled_from([2.0, 12.0]), wait=WAIT)
    def outage(self, seconds, wait):
        self.world.outage = True
        self.world.schedule.after(seconds, lambda: setattr(self.world, "outage", False))
        self.world.run_for(wait)

    @rule(wait=WAIT)
    def kill(self, wait):
        holder = self.active()
        holder.is_alive = False
        index = self.holders.index(holder)
        self.holders[index] = self.start_holder(index)
        self.world.run_for(wait)

    @rule(seconds=st.sampled_from([0.5, 6.0]), wait=WAIT)
    def release(self, seconds, wait):
        holder = self.active()
        holder.run(lambda: holder.step("lease", "want", False))
        self.world.schedule.after(
            seconds,
            lambda: holder.run(lambda: holder.step("lease", "want", True)),
        )
        self.world.run_for(wait)

    @rule(name=st.sampled_from(sorted(engines)), wait=WAIT)
    def crash_engine(self, name, wait):
        self.world.engines[name].crash()
        self.world.run_for(wait)

    def teardown(self):
        self.world.run_for(15.0)  # the longest fault ends
        for holder in self.holders:
            holder.faults.clear()
            for transmissions in holder.transmissions.values():
                transmissions.clear()
            holder.stalls.clear()
            # A pause reverses what it delayed, so the lease may not be wanted.
            holder.step("lease", "want", True)
            self.inform(holder)
        self.world.run_for(30.0)
        self.check_healed()
