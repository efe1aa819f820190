"""Instances that count usage and report it, in virtual time."""

import heapq
import itertools
from collections import Counter, defaultdict
from types import SimpleNamespace

from wagtailfront.duties.interfaces import DutyAnswer
from wagtailfront.duties.true_time import TrueTime
from wagtailfront.duties.usage_counts import UsageCounts
from wagtailfront.duties.usage_reporter import UsageReporter
from wagtailfront.forwarding.tests.builders import LogLines
from wagtailfront.freshness.store_clock import StoreTime
from wagtailfront.membership.messages import (
    PlacementDigest,
    decode_message,
    encode_message,
)
from wagtailfront.observe.metrics import Metrics

__all__ = ["LENGTH", "UsageWorld"]

LENGTH, DUE = 5.0, 10.0  # seconds
STEP = 0.05  # seconds
TRUE_START = 1_000_000.0  # true time at the start of a world, a window's start
STORE_AHEAD = 7_000.0  # seconds of the store's clock before the world's
LATENCY = 0.02  # seconds of digests, of the store and of the platform
SUCCESSION = 6.0  # seconds without a holder


class Instance:
    """One instance; its clocks differ from those of others."""

    def __init__(self, world, name, *, wall_error=0.0):
        self.world, self.name = world, name
        self.wall_error = wall_error
        self.is_alive, self.is_cut, self.frozen_until = True, False, 0.0
        self.boot_offset = 50.0 * len(world.instances)
        self.log = LogLines()
        self.true_time = TrueTime(
            incarnation=name,
            find_era=lambda: 1,
            count_instances=lambda: len(world.live()),
            clock=self.clock,
            wall_clock=lambda: world.now + self.wall_error,
        )
        self.read_store_clock()
        self.counts = UsageCounts(window_length=LENGTH, true_time=self.true_time)
        self.reporter = UsageReporter(
            hold=SimpleNamespace(grant=lambda: world.grant(self)),
            calls=SimpleNamespace(report_usage=self.report),
            store=SimpleNamespace(read=self.read_rows, write=self.write_row),
            counts=self.counts,
            true_time=self.true_time,
            due=DUE,
            log=self.log,
            metrics=Metrics(),
            clock=self.clock,
        )

    def clock(self):
        return self.world.now - TRUE_START + self.boot_offset

    def read_store_clock(self):
        at = self.clock()
        store = self.world.now - TRUE_START + STORE_AHEAD
        self.true_time.store_clock.record(
            StoreTime(era=1, sent=at - 0.01, received=at + 0.01, store=store)
        )

    def runs(self):
        """Return whether the process takes its turns now."""
        return self.is_alive and self.world.now >= self.frozen_until

    def later(self, action, *values):
        """Take an answer, unless the process has ended."""
        if self.world.now < self.frozen_until:
            delay = self.frozen_until - self.world.now + STEP
            self.world.after(delay, lambda: self.later(action, *values))
        elif self.is_alive:
            action(*values)

    # The store and the platform, each with an event before and after it acts

    def read_rows(self, reply):
        world = self.world
        world.on_step("read", self)
        rows = None if world.is_store_away else dict(world.rows)
        world.after(LATENCY, lambda: self.later(reply, rows))

    def write_row(self, window, counts, removed, reply):
        world = self.world
        world.on_step("write", self)

        def arrive():
            is_written = not world.is_store_away and window not in world.rows
            if is_written:
                world.rows[window] = dict(counts)
                for each in removed:
                    world.rows.pop(each, None)
            world.on_step("written", self)
            is_lost = world.lost_answers and world.lost_answers.pop(0)
            result = is_written and not is_lost
            world.after(LATENCY, lambda: self.later(reply, result))

        world.after(LATENCY, arrive)

    def report(self, window, counts, hold, reply):
        world = self.world
        world.on_step("report", self)

        def arrive():
            status = world.statuses.pop(0) if world.statuses else 200
            if status in (200, "slow", None):
                world.reports.append((world.now, window, dict(counts)))
            world.on_step("reported", self)
            is_accepted = status in (200, "slow")
            answer = DutyAnswer(is_accepted, is_refused=status == 400)
            delay = 3.0 if status in ("slow", None) else LATENCY
            world.after(delay, lambda: self.later(reply, answer))

        world.after(LATENCY, arrive)


class UsageWorld:
    """Instances, one of which holds the duties."""

    def __init__(self, count=3, *, rng=None, wall_errors=()):
        self.now = TRUE_START
        self.rng = rng
        self.events, self.numbers = [], itertools.count()
        self.rows, self.reports, self.truth = {}, [], defaultdict(Counter)
        self.is_store_away, self.lost_answers, self.statuses = False, [], []
        self.instances, self.turns = [], 0
        self.on_step = lambda kind, instance: None
        for number in range(count):
            error = wall_errors[number] if number < len(wall_errors) else 0.0
            self.start(f"i{number}", wall_error=error)
        self.holder, self.held_from, self.fencing = self.instances[0], self.now + 2.0, 1

    def start(self, name, **options):
        self.instances.append(Instance(self, name, **options))
        return self.instances[-1]

    def live(self):
        return [each for each in self.instances if each.is_alive]

    def grant(self, instance):
        is_held = instance is self.holder and self.now >= self.held_from
        return SimpleNamespace(fencing=self.fencing) if is_held else None

    def succeed(self):
        """Have the next live instance hold the duties after a while."""
        others = [each for each in self.live() if each is not self.holder]
        self.holder = others[0]
        self.held_from, self.fencing = self.now + SUCCESSION, self.fencing + 1

    def kill(self, instance):
        instance.is_alive = False
        if instance is self.holder:
            self.succeed()

    def after(self, delay, action):
        heapq.heappush(self.events, (self.now + delay, next(self.numbers), action))

    def run(self, seconds, *, rate=1):
        """Let time pass; each instance counts `rate` requests per step."""
        end = self.now + seconds
        while self.now < end - 1e-6:
            self.now += STEP
            while self.events and self.events[0][0] <= self.now:
                heapq.heappop(self.events)[2]()
            self.turns += 1
            for instance in self.instances:
                if instance.runs():
                    self._turn(instance, rate)

    def _turn(self, instance, rate):
        for number in range(rate):
            workspace = f"w{(self.turns + number) % 3}"
            self.truth[int(self.now // LENGTH)][workspace] += 1
            instance.counts.record(workspace, age=0.0)
        if self.turns % 5 == 0:
            instance.reporter.check()
        if self.turns % 2 == 0:
            self._tell(instance, full=self.turns % 20 == 0)

    def _tell(self, instance, *, full):
        fields = {}
        for part in (instance.true_time, instance.counts):
            fields.update(part.fields(now=self.now, full=full))
        digest = PlacementDigest(
            incarnation=instance.name, loads=(), prompts=(), era=1, **fields
        )
        data = encode_message(digest)
        for peer in self.live():
            if peer is instance or instance.is_cut or peer.is_cut:
                continue
            for _ in range(self._copies()):
                delay = self.rng.uniform(0.0, 0.4) if self.rng else LATENCY
                self.after(delay, lambda peer=peer: peer.later(self._merge, peer, data))

    def _copies(self):
        """Return how often a digest arrives; some are lost or repeated."""
        return self.rng.choice([0, 1, 1, 1, 2]) if self.rng else 1

    def _merge(self, peer, data):
        digest = decode_message(data)
        peer.true_time.merge(digest, now=self.now)
        peer.counts.merge(digest, now=self.now)

    def reported(self):
        """Return the counts by window; no two reports of one may differ."""
        found = {}
        for _at, window, counts in self.reports:
            assert found.setdefault(window, counts) == counts, "reports differ"
        return found

    def check(self, *, tolerance, late=False):
        """Check the reports of all windows that were due, in order."""
        found = self.reported()
        assert list(found) == sorted(found), "out of order"
        first = int(TRUE_START // LENGTH)
        for window in range(first, int((self.now - DUE) // LENGTH)):
            assert window in found, f"window {window - first} not reported"
            truth, told = self.truth[window], found[window]
            for workspace in {*truth, *told}:
                error = abs(told.get(workspace, 0) - truth[workspace])
                assert error <= tolerance * truth[workspace], (window - first, told)
            at = min(at for at, each, _ in self.reports if each == window)
            assert late or at <= (window + 1) * LENGTH + DUE, "too late"
