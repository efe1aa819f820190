"""Reports of the usage of each window by the holder of duties."""

from circuits import BaseComponent, Event, handler

from wagtailfront.transport.ticker import Ticker

__all__ = ["UsageReporter"]

CHECK_INTERVAL = 0.25  # seconds
EXPIRY_INTERVAL = 1.0  # seconds
# Seconds after the end of a window from which its sum is made, and until
# which it waits for instances that have not told all their counts. Both are
# lower where the report is due earlier; the rest is for a successor and the
# platform.
SETTLE_SECONDS, WAIT_SECONDS = 2.5, 4.5
SETTLE_SHARE, WAIT_SHARE = 0.25, 0.45  # of the time in which it is due
RETRY_SECONDS = 0.5  # after a call or a write that failed
MAX_REFUSALS = 3  # answers that refuse a report, until the next one is sent
MAX_WRITES = 6  # of one sum, each followed by a read that does not show it
# Seconds after which a call or a read without a reply counts as failed.
REPLY_TIMEOUT = 12.0
MAX_BEHIND = 180  # windows that are reported after an outage
# Rows of earlier windows that stay, so that a write that was delayed for long
# finds its row and changes nothing.
KEPT_ROWS = 12


class check_usage(Event):
    """Check whether a report is due: ()."""


class UsageReporter(BaseComponent):
    """Sums up each window, writes the sum to the store, then reports it.

    Windows are handled one after the other, and the next sum is written only
    when the report before was accepted. So the store's latest row is the only
    one whose report may be missing, and a successor repeats it as it is.

    Parameters
    ----------
    hold : DutyHold
    calls : DutyCalls
    store : UsageStore
    counts : UsageCounts
    true_time : TrueTime
    due : float
        Seconds from the end of a window in which its report is due.
    log : DecisionLog
    metrics : Metrics
    clock : callable
        Returns seconds since boot.

    Attributes
    ----------
    last : int or None
        Latest window that needs no more work.
    reporting : (int, dict) or None
        Window and counts that the store has, and the platform may not have.
    """

    channel = "usage_reporter"

    def __init__(
        self, *, hold, calls, store, counts, true_time, due, log, metrics, clock
    ):
        super().__init__()
        self.hold = hold
        self.calls = calls
        self.store = store
        self.counts = counts
        self.true_time = true_time
        self.settle = min(SETTLE_SECONDS, SETTLE_SHARE * due)
        self.wait = min(WAIT_SECONDS, WAIT_SHARE * due)
        self.log = log
        self.metrics = metrics
        self.clock = clock
        self.fencing = None
        self.expiry_due = float("-inf")
        self.steps = 0  # numbers the calls, so that only the latest counts
        self._forget()
        Ticker(
            interval=CHECK_INTERVAL, make_event=check_usage, target=self.channel
        ).register(self)

    def _forget(self):
        """Start anew, as another instance may have gone on."""
        self.steps += 1
        self.rows = None  # windows in the table
        self.last = self.reporting = None
        self.refusals = self.writes = 0
        self.waits_until = float("-inf")

    @handler("check_usage")
    def _on_check_usage(self):
        self.check()

    def check(self):
        """Do what is due."""
        now = self.clock()
        self.true_time.update()
        if now >= self.expiry_due:
            self.expiry_due = now + EXPIRY_INTERVAL
            self.counts.expire()
        grant = self.hold.grant()
        self._log_late(is_holder=grant is not None)
        fencing = grant and grant.fencing
        if fencing != self.fencing:
            self.fencing = fencing
            self._forget()
        is_waiting = now < self.waits_until or not self.true_time.is_agreed
        if grant is None or is_waiting:
            return
        if self.last is not None and self.last > self._present():
            # True time was ahead until now, so these windows are to come.
            self.log.decision("usage", outcome="clock was ahead", window=self.last)
            self.counts.forget_sums_after(self._present())
            self._forget()
        if self.rows is None:
            self._read()
        elif self.reporting is not None:
            self._report()
        else:
            self._sum_up()

    def _log_late(self, *, is_holder):
        own, of_peers = self.counts.take_late()
        late = own + of_peers if is_holder else own
        for window, count in late.items():
            self.metrics.count("usage_late_total", count)
            self.log.decision(
                "usage_late", outcome="not reported", window=window, count=count
            )

    def _begin(self, handle):
        """Return a reply handler that is called for the latest step only."""
        self.steps += 1
        step = self.steps
        self.waits_until = self.clock() + REPLY_TIMEOUT

        def on_reply(answer):
            if step == self.steps:
                self.waits_until = float("-inf")
                handle(answer)

        return on_reply

    def _pause(self):
        self.waits_until = self.clock() + RETRY_SECONDS

    # Rows of the store

    def _read(self):
        self.store.read(self._begin(self._on_read))

    def _on_read(self, sums):
        if sums is None:
            self._pause()
            return
        self.rows = set(sums)
        present = self._present()
        newest = max((each for each in sums if each <= present), default=None)
        self.counts.forget_sums_after(present)
        told = self.counts.last_sum()
        if newest is not None and (told is None or newest >= told):
            if self.last is None or newest > self.last:
                self._start_report(newest, sums[newest])
        elif self.last is None and told is not None:
            # The store came back from an older copy: its sum was told by the
            # holder, so it goes on from there, and the row is written again.
            self.last = told - 1

    def _start_report(self, window, counts):
        self.reporting = (window, counts)
        self.refusals = self.writes = 0
        self.counts.record_sum(window, counts)

    def _sum_up(self):
        window = self._next_window()
        if not self._is_due(window):
            return
        counts = self.counts.sums.get(window)
        if counts is None:
            counts = self.counts.sum(window)
        removed = sorted(each for each in self.rows if each <= window - KEPT_ROWS)

        def on_written(is_written):
            if is_written:
                self.rows = (self.rows - set(removed)) | {window}
                self._start_report(window, counts)
                self.check()
            else:
                self._handle_unwritten(window)

        self.store.write(window, counts, removed, self._begin(on_written))

    def _handle_unwritten(self, window):
        """Read what the store has; another may have written the row."""
        self._pause()
        self.rows = None
        self.writes += 1
        if self.writes >= MAX_WRITES and window < self._present() - 1:
            self.log.decision("usage", outcome="skipped", window=window)
            self.last, self.writes = window, 0

    def _present(self):
        return self.counts.window_at(self.true_time.now())

    def _next_window(self):
        present = self._present()
        if self.last is None:
            # Requests may have been counted just before the start.
            first = self.counts.first_window
            self.last = (present if first is None else first) - 2
        if self.last + 1 < present - MAX_BEHIND:
            skipped = present - MAX_BEHIND - self.last - 1
            self.log.decision("usage", outcome="skipped", windows=skipped)
            self.last = present - MAX_BEHIND - 1
        return self.last + 1

    def _is_due(self, window):
        over = self.true_time.now() - self.counts.window_end(window)
        if over < self.settle:
            return False
        return over >= self.wait or self.counts.is_complete(window)

    # Reports to the platform

    def _report(self):
        window, counts = self.reporting

        def on_answer(answer):
            if answer.is_accepted:
                self._finish("accepted")
                return
            self._pause()
            self.refusals += answer.is_refused
            if self.refusals >= MAX_REFUSALS:
                self._finish("refused")

        self.calls.report_usage(window, counts, self.hold, self._begin(on_answer))

    def _finish(self, outcome):
        window, counts = self.reporting
        self.last, self.reporting = window, None
        delay = self.true_time.now() - self.counts.window_end(window)
        self.metrics.count("usage_reports_total", outcome=outcome)
        self.metrics.set("usage_report_delay_seconds", delay)
        self.log.decision(
            "usage",
            outcome=outcome,
            window=window,
            requests=sum(counts.values()),
            workspaces=len(counts),
            delay=round(delay, 3),
            fencing=self.fencing,
        )
