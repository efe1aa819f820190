"""Processes, clocks and messages in virtual time for the state machines."""

import itertools
from collections import deque

from wagtailfront.authority.lease import LeaseMachine
from wagtailfront.authority.tests.builders import Transmission
from wagtailfront.stores.memory import (
    OUTAGE,
    MemoryTable,
    Schedule,
    lost_request,
    slow,
)


class World:
    """The table, the engines and the drain marks shared by all processes."""

    def __init__(self):
        self.now = 0.0
        self.schedule = Schedule(clock=lambda: self.now)
        self.table = MemoryTable(clock=lambda: self.now)
        self.table.schedule = self.schedule
        self.ids = itertools.count(1)
        self.outage = False
        self.engines = {}
        self.marks = {}  # engine -> (revision, is cleared, in effect since)
        self.mark_seconds = 3.0
        self.check = lambda: None
        self.on_send = lambda order: None
        self.on_receive = lambda engine, order, stalled: None

    def new_id(self):
        """Return a fresh identifier."""
        return f"id{next(self.ids)}"

    def run_for(self, seconds):
        """Run all events due within `seconds`; `check` after each time."""
        end = self.now + seconds
        while (due := self.schedule.next_due()) is not None and due <= end:
            self.now = max(self.now, due)
            self.schedule.run_due()
            self.check()
        self.now = end

    def fault(self, process):
        """Return the fault of the next request of `process` to the table."""
        if self.outage:
            return OUTAGE
        if process.is_cut_off:
            return lost_request()
        return process.faults.popleft() if process.faults else slow(0.02)

    def mark(self, effect):
        """Apply a drain mark unless it is older than the current one."""
        mark = (effect.revision, not effect.draining)
        present = self.marks.get(effect.engine, (0, True, 0.0))
        if mark > present[:2]:
            # A newer draining mark continues the drain in progress.
            goes_on = effect.draining and not present[1]
            since = present[2] if goes_on else self.now + self.mark_seconds
            self.marks[effect.engine] = (*mark, since)
        return mark

    def is_in_effect(self, engine, mark):
        """Whether `mark` is the current mark and in effect everywhere."""
        revision, cleared, since = self.marks.get(engine, (0, True, 0.0))
        return (revision, cleared) == mark and self.now >= since

    def receives_requests(self, engine):
        """Whether the instance that applies marks last sends to `engine`."""
        _, cleared, since = self.marks.get(engine, (0, True, 0.0))
        return cleared or self.now < since


class Process:
    """A process with its own clock that can be paused, cut off or killed."""

    def __init__(self, *, world, name, rate=1.0, offset=0.0):
        self.world = world
        self.name = name
        self.rate = rate
        self.offset = offset
        self.is_alive = True
        self.is_paused = False
        self.is_cut_off = False
        self.inbox = []
        self.faults = deque()
        self.transmissions = {"order": deque(), "state": deque(), "mark": deque()}
        self.stalls = deque()
        self.timers = {}

    def clock(self):
        """Return the process's monotonic clock."""
        return self.offset + self.world.now * self.rate

    def run(self, action):
        """Run `action` now, after a pause, or never if the process is dead."""
        if self.is_paused:
            self.inbox.append(action)
        elif self.is_alive:
            action()

    def resume(self):
        """End a pause; run the delayed actions in reverse order."""
        self.is_paused = False
        inbox, self.inbox = self.inbox, []
        for action in reversed(inbox):
            self.run(action)

    def perform(self, name, effects):
        """Carry out the effects that the machine `name` returned."""
        for effect in effects:
            getattr(self, f"do_{type(effect).__name__}")(name, effect)

    def do_StartTimer(self, name, effect):
        timer = self.timers[name] = object()
        delay = max(0.001, (effect.at - self.clock()) / self.rate)

        def fire_timer():
            if self.timers[name] is timer:
                self.run(lambda: self.step(name, "on_time"))

        self.world.schedule.after(delay, fire_timer)

    def do_ReadRow(self, name, effect):
        self.world.table.faults.append(self.world.fault(self))
        reply = self._reply_handler(name, effect.tag)
        self.world.table.get(key=effect.key, reply=reply)

    def do_WriteRows(self, name, effect):
        self.world.table.faults.append(self.world.fault(self))
        self.world.table.transact(
            checks=effect.checks,
            puts=effect.puts,
            token=effect.token,
            reply=self._reply_handler(name, effect.tag),
        )

    def _reply_handler(self, name, tag):
        return lambda reply: self.run(lambda: self.step(name, "on_reply", tag, reply))

    def step(self, name, method, *arguments):
        """Step the machine `name` and carry out its effects."""
        raise NotImplementedError


class Holder(Process):
    """Instance that requests the lease of one group and runs its changes."""

    def __init__(self, *, group, lease_machine=LeaseMachine, times=None, **settings):
        super().__init__(**settings)
        self.group = group
        self.lease = lease_machine(
            group="g", instance=self.name, new_token=self.world.new_id, times=times
        )
        self.step("lease", "want", True)
        self.step("group", "on_time")

    def step(self, name, method, *arguments):
        now = self.clock()
        if name == "lease":
            self.perform("lease", getattr(self.lease, method)(now, *arguments))
            name, method, arguments = "group", "on_time", ()
        grant = self.lease.grant(now)
        effects = getattr(self.group, method)(now, grant, *arguments)
        self.perform(name, effects)

    def _next_transmission(self, kind):
        waiting = self.transmissions[kind]
        return waiting.popleft() if waiting else Transmission()

    def do_SendOrder(self, name, effect):
        stalled = bool(self.stalls)
        if self.clock() >= effect.valid_until:
            return
        if not stalled:
            self.world.on_send(effect.order)
        transmission = self._next_transmission("order")
        engine = self.world.engines[effect.order.engine]
        crashes = engine.crashes

        def arrive():
            if not transmission.delivered or engine.crashes != crashes:
                return  # a crash closes the engine's connections
            self.world.on_receive(engine, effect.order, stalled)
            accepted = engine.receive(effect.order)
            if transmission.answered:
                self.run(lambda: self.step(name, "on_sent", effect.order, accepted))

        delays = [transmission.delay, transmission.duplicate_delay]
        if stalled:
            delays = [self.stalls.popleft()]
        for delay in delays:
            if delay is not None:
                self.world.schedule.after(delay, arrive)

    def do_ReadEngine(self, name, effect):
        transmission = self._next_transmission("state")
        engine = self.world.engines[effect.engine]

        def arrive():
            state = engine.state() if transmission.delivered else None

            def answer():
                self.run(lambda: self.step(name, "on_state", effect.tag, state))

            if transmission.answered:
                self.world.schedule.after(transmission.delay, answer)

        self.world.schedule.after(transmission.delay, arrive)

    def do_MarkDraining(self, name, effect):
        transmission = self._next_transmission("mark")

        def arrive():
            mark = self.world.mark(effect)

            def answer():
                in_effect = self.world.is_in_effect(effect.engine, mark)
                self.run(lambda: self.step(name, "on_marked", effect.tag, in_effect))

            if transmission.answered:
                self.world.schedule.after(self.world.mark_seconds, answer)

        if transmission.delivered:
            self.world.schedule.after(transmission.delay, arrive)
