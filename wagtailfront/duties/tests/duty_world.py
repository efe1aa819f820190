"""Instances that share a lease row and call the platform, in virtual time."""

import heapq
import itertools
from types import SimpleNamespace

from wagtailfront.duties.holder import DutyHolder, duty_waits
from wagtailfront.forwarding.tests.builders import LogLines
from wagtailfront.stores.interfaces import (
    Committed,
    ConditionFailed,
    Found,
    Missing,
    Row,
    Unavailable,
    Unknown,
)

__all__ = ["DutyWorld", "GAP"]

GAP = 3.0  # seconds in which a holder may not return
STEP = 0.05  # seconds between the turns of an instance
RATES = (1.0, 0.95, 1.05)  # of the machines' clocks
LATENCY = 0.005  # seconds of the store, one way
SLOW_CALL = 2.2  # seconds until the platform has handled a call, if it is slow


class LeaseRow:
    """One row of the store, which may come back from an older copy."""

    def __init__(self):
        self.row, self.era = None, 1
        self.copies = [None]

    def put(self, put):
        """Write the row on its condition; return whether it was written.

        A write of an earlier era may find the version that it expects.
        """
        version = self.row.version if self.row else 0
        if put.expected != version:
            return False
        self.row = Row(put.key, version + 1, put.value)
        self.copies.append(self.row)
        return True

    def restore(self, age):
        """Go back by some writes."""
        self.era += 1
        self.row = self.copies[max(0, len(self.copies) - 1 - age)]
        self.copies = self.copies[: max(1, len(self.copies) - age)]


class Link:
    """An instance's path to the store; implements `TableStore`."""

    def __init__(self, world, machine):
        self.world, self.machine = world, machine
        self.faults = []
        self.is_cut = False
        self.era = 0  # at the latest read

    def get(self, *, key, reply):
        def answer():
            row, era = self.world.row.row, self.world.row.era
            self.era = era
            return Found(row=row, era=era) if row else Missing(era=era)

        self._send(answer, reply, Unavailable(reason="no answer"))

    def transact(self, *, puts, token, reply, checks=()):
        era, unknown = self.era, Unknown(reason="no answer")

        def answer():
            is_written = self.world.row.put(puts[0])
            if era != self.world.row.era:
                return unknown
            return Committed(era=era) if is_written else ConditionFailed()

        self._send(answer, reply, unknown)

    def _send(self, answer, reply, lost):
        fault = self.faults.pop(0) if self.faults else ""
        if self.is_cut or fault == "lost request":
            self._return(reply, lost, after=1.0)
            return

        def arrive():
            result = answer()
            is_lost = self.is_cut or fault == "lost answer"
            self._return(reply, lost if is_lost else result, after=LATENCY)

        self.world.after(LATENCY + 2.5 * (fault == "late request"), arrive)

    def _return(self, reply, result, *, after):
        self.world.after(after, lambda: self.machine.hear(lambda: reply(result)))


class Machine:
    """One machine and the process that runs on it now."""

    def __init__(self, world, number):
        self.world, self.number = world, number
        self.starts = 0
        self.frozen_until = 0.0
        self.unheard = []
        self.start()

    def start(self):
        """End the process and start it again."""
        self.starts += 1
        self.unheard = []
        self.link = Link(self.world, self)
        self.name = f"i{self.number}.{self.starts}"
        self.holder = DutyHolder(
            group="duties",
            incarnation=self.name,
            find_live=lambda: [each.name for each in self.world.machines],
            table=self.link,
            waits=duty_waits(GAP),
            log=LogLines(),
            clock=lambda: self.world.now * RATES[self.number] + self.starts,
        )

    def hear(self, deliver):
        """Take an answer, after the end of a freeze."""
        self.unheard.append(deliver)

    def turn(self, number):
        """Call the platform first, then take what has arrived."""
        if self.world.now < self.frozen_until:
            return
        grant = self.holder.grant()
        if grant is not None:
            self.world.call(self, grant)
        waiting, self.unheard = self.unheard, []
        for deliver in waiting:
            deliver()
        if number % 10 == self.number:
            self.holder.check()
        self.holder.wake_if_due(self.holder.clock())


class DutyWorld:
    """Three machines, the row and the platform."""

    def __init__(self):
        self.now = 100.0
        self.events, self.numbers = [], itertools.count()
        self.row = LeaseRow()
        self.calls = []
        self.turns = 0
        self.is_late = False
        self.machines = []
        for number in range(len(RATES)):
            self.machines.append(Machine(self, number))
        for machine in self.machines:
            machine.holder.want(True)

    def after(self, delay, action):
        """Have something happen later."""
        heapq.heappush(self.events, (self.now + delay, next(self.numbers), action))

    def call(self, machine, grant):
        """Record a call when it reaches the platform, perhaps late."""
        entry = SimpleNamespace(machine=machine.number, fencing=grant.fencing)
        entry.name = machine.name
        delay = SLOW_CALL if self.is_late else 0.0
        self.after(delay, lambda: self.calls.append((self.now, entry)))

    def run(self, seconds):
        """Let time pass, and check the calls afterwards."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            while self.events and self.events[0][0] <= self.now:
                heapq.heappop(self.events)[2]()
            self.turns += 1
            for machine in self.machines:
                machine.turn(self.turns)
        self.check()

    def check(self):
        """Check all calls that the platform got."""
        fencing, names = 0, {}
        runs = []  # machine, time of its first and of its last call
        for at, entry in self.calls:
            assert entry.fencing >= fencing, "a fencing number fell"
            fencing = entry.fencing
            assert names.setdefault(fencing, entry.name) == entry.name
            if not runs or runs[-1][0] != entry.machine:
                runs.append([entry.machine, at, at])
            runs[-1][2] = at
        for before, _between, after in zip(runs, runs[1:], runs[2:], strict=False):
            if before[0] == after[0]:
                assert after[1] - before[2] >= GAP, "A, B, A within the gap"

    @property
    def active(self):
        """Return the machine that holds the duties, or the first one."""
        held = [each for each in self.machines if each.holder.lease.grant()]
        return held[0] if held else self.machines[0]
