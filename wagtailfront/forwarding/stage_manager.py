"""Assignment of stages to engines before the first request."""

import time

from circuits import BaseComponent, Event, handler

from wagtailfront.authority.lease import LeaseTimes
from wagtailfront.duties.holder import DutyHolder, HolderWaits
from wagtailfront.forwarding.stage_plan import plan_stages
from wagtailfront.transport.ticker import Ticker

__all__ = ["StageManager"]

LEASE = "stages"
CHECK_INTERVAL = 0.5  # seconds
# Seconds after the start in which the instances discover each other, so that
# only one of them requests the lease.
DISCOVERY_SECONDS = 1.5
# Seconds without a new engine after which all are assumed to have registered;
# at the start of a service they register within some seconds of each other.
SETTLE_SECONDS = 2.5
# Seconds from taking the lease over to the first order: the platform treats
# orders of two holders within 3 s as a conflict, and an order that got no
# response may reach its engine up to 12 s later.
SUCCESSION_SECONDS = 15.0
# Seconds for which an ordered change is assumed to be in progress: the engine
# finishes its work, is unavailable for some seconds and registers again.
CHANGE_SECONDS = 8.0


class check_stages(Event):
    """Check whether engines should change their stage."""


class StageManager(BaseComponent):
    """Orders engines to change their stage while the fleet is idle.

    One instance does so, under a lease. An engine that changes is
    unavailable for some seconds and rejects its waiting requests, so no stage
    is changed after the first request.

    Parameters
    ----------
    incarnation : str
        Identifies this start of the instance.
    directory : EndpointDirectory
    load : FleetLoad
    notices : EndpointNotices
    orders : StageOrders
    table : TableStore
    prefill_share : float
        Share of each service's engines to run in the prefill stage; 0
        disables changes.
    log : DecisionLog
    clock : callable, optional
    """

    channel = "stage_manager"

    def __init__(
        self,
        *,
        incarnation,
        directory,
        load,
        notices,
        orders,
        table,
        prefill_share,
        log,
        clock=time.monotonic,
    ):
        super().__init__()
        self.incarnation = incarnation
        self.directory = directory
        self.load = load
        self.notices = notices
        self.orders = orders
        self.prefill_share = prefill_share
        self.log = log
        self.clock = clock
        self.started_at = clock()
        self.ordered = {}  # incarnation -> stage, time when the change is over
        self.known = frozenset()
        self.known_since = self.started_at
        self.is_done = not prefill_share
        self.lease = DutyHolder(
            group=LEASE,
            incarnation=incarnation,
            find_live=lambda: [incarnation, *load.peers],
            table=table,
            times=LeaseTimes(),
            waits=HolderWaits(SUCCESSION_SECONDS, SUCCESSION_SECONDS),
            candidate_count=1,
            keeps=False,
            log=log,
            clock=clock,
        ).register(self)
        Ticker(
            interval=CHECK_INTERVAL,
            make_event=check_stages,
            target=self.channel,
            is_needed=lambda: not self.is_done,
        ).register(self)

    @handler("check_stages")
    def _on_check_stages(self):
        now = self.clock()
        if self.is_done or now - self.started_at < DISCOVERY_SECONDS:
            return
        if self.load.has_seen_requests():
            self.is_done = True
            self.lease.want(False)
            self.log.decision("stages", outcome="no changes after the first request")
            return
        if not self._is_settled(now):
            return
        changes = self._changes(now)
        self.lease.want(bool(changes))
        for change in changes:
            grant = self.lease.grant()
            # An engine that pauses gets its order at a later check.
            if grant and not self.notices.wait(change.record.incarnation):
                self._order(change, grant, now)

    def _is_settled(self, now):
        """Return whether the set of engines has been stable long enough."""
        known = frozenset(r.incarnation for r in self.directory.records.values())
        if known != self.known:
            self.known, self.known_since = known, now
        return now - self.known_since >= SETTLE_SECONDS

    def _changes(self, now):
        """Return the changes that are needed and not in progress."""
        services = {record.service for record in self.directory.records.values()}
        return [
            change
            for service in sorted(services)
            for change in plan_stages(
                [
                    self._expected(record, now)
                    for record in self.directory.find(service)
                    if not self.notices.is_leaving(record.incarnation)
                ],
                prefill_share=self.prefill_share,
            )
        ]

    def _expected(self, record, now):
        """Return a record with the stage after changes in progress."""
        stage, until = self.ordered.get(record.incarnation, ("", 0.0))
        return record._replace(stage=stage) if now < until else record

    def _order(self, change, grant, now):
        record, stage = change
        self.ordered[record.incarnation] = (stage, now + CHANGE_SECONDS)
        self.log.decision(
            "stage_ordered",
            outcome=stage,
            endpoint=record.endpoint_id,
            service=record.service,
            fencing=grant.fencing,
        )

        def on_reply(is_accepted, reason):
            if not is_accepted:
                self.log.decision(
                    "stage_order_failed", outcome=reason, endpoint=record.endpoint_id
                )

        self.orders.order_stage(
            record, stage, grant, lambda: self.clock() < grant.until, on_reply
        )
