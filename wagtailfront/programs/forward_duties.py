"""Duties of a forwarding instance, where its deployment has any."""

import time

from wagtailfront.duties.holder import DutyHolder, duty_waits
from wagtailfront.duties.isolation import Isolation
from wagtailfront.duties.shared_hold import SharedHold
from wagtailfront.duties.true_time import TrueTime
from wagtailfront.duties.usage_counts import UsageCounts
from wagtailfront.duties.usage_reporter import UsageReporter
from wagtailfront.freshness.store_clock import boot_clock
from wagtailfront.platform.duty_client import DutyClient, make_duty_pool
from wagtailfront.platform.store_table import StoreTable
from wagtailfront.platform.usage_store import StoreUsage

__all__ = ["ForwardDuties", "make_duties"]

LEASE = "duties"
# Seconds after the start in which the instances hear of each other, so that
# only some of them read the lease.
DISCOVERY_SECONDS = 1.5


def make_duties(tree):
    """Return the ForwardDuties of a ForwardTree, or None without duties."""
    platform = tree.settings.platform
    if not platform.duties or platform.duty_address is None:
        return None
    return ForwardDuties(tree=tree)


class ForwardDuties:
    """Builds the holder of duties and what it does.

    Parameters
    ----------
    tree : ForwardTree

    Attributes
    ----------
    hold : DutyHolder or None
        None before `children` have been built.
    calls : DutyClient
    """

    def __init__(self, *, tree):
        self.tree = tree
        self.platform = tree.settings.platform
        self.load = tree.forwarder.context.load
        self.hold = None
        self.wanting = set()
        self.started = boot_clock()
        self.isolation = Isolation()
        self.true_time = TrueTime(
            incarnation=self.load.incarnation,
            find_era=lambda: tree.versions.era,
            count_instances=lambda: self.load.instances,
            may_report=self._may_report,
        )
        self.counts = UsageCounts(
            window_length=self.platform.usage_window, true_time=self.true_time
        )
        self.pool = make_duty_pool()
        self.calls = DutyClient(
            pool=self.pool,
            address=self.platform.duty_address,
            instance=tree.settings.instance,
            rate=self.platform.duty_rate,
            timers=tree.timers,
            log=tree.log,
            metrics=tree.metrics,
        )
        tree.clock_listeners.append(self.true_time.store_clock.record)
        tree.digest_parts.append(self.true_time)
        if self.has_usage:
            tree.digest_parts.append(self.counts)

    @property
    def has_usage(self):
        """Return whether usage is to be reported."""
        return "usage" in self.platform.duties

    def record_run(self, workspace, *, age):
        """Count a run that an engine began."""
        if self.has_usage:
            self.counts.record(workspace, age=age)

    def children(self):
        """Return the factories of the components, by name and in order."""
        factories = {
            "duty_calls": lambda: self.pool,
            "duty_holder": self._make_holder,
        }
        if self.has_usage:
            factories["usage"] = self._make_reporter
        return factories

    def _make_holder(self):
        self.hold = DutyHolder(
            group=LEASE,
            incarnation=self.load.incarnation,
            find_live=self.true_time.reporters,
            table=StoreTable(client=self.tree.store),
            waits=duty_waits(self.platform.holder_gap),
            may_hold=self._may_hold,
            log=self.tree.log,
        )
        return self.hold

    def share_hold(self, duty):
        """Return the part of a duty in the holder of all duties."""
        return SharedHold(hold=self.hold, wanting=self.wanting, duty=duty)

    def _make_reporter(self):
        hold = self.share_hold("usage")
        hold.want(True)
        return UsageReporter(
            hold=hold,
            calls=self.calls,
            store=StoreUsage(client=self.tree.store, log=self.tree.log),
            counts=self.counts,
            true_time=self.true_time,
            due=self.platform.usage_due,
            log=self.tree.log,
            metrics=self.tree.metrics,
            clock=boot_clock,
        )

    def _is_leaving(self):
        return self.tree.server is not None and self.tree.server.is_draining

    def _may_report(self):
        return not self._is_leaving() and not self.counts.is_new()

    def _may_hold(self):
        now = boot_clock()
        if now - self.started < DISCOVERY_SECONDS or self._is_leaving():
            return False
        heard = len(self.load.live_addresses(now=time.monotonic()))
        return self.isolation.may_hold(now, heard=heard, known=self.load.instances)

    def render_metrics(self):
        """Set the gauges of duties."""
        is_held = self.hold is not None and self.hold.grant() is not None
        self.tree.metrics.set("duties_held", int(is_held))
