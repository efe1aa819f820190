"""Component that orders the engines of services."""

import time

from circuits import BaseComponent, Event, handler

from wagtailfront.duties.interfaces import EngineOrder
from wagtailfront.fleet_size.need import nominal_rate
from wagtailfront.fleet_size.service_sizer import ServiceSizer
from wagtailfront.transport.ticker import Ticker

__all__ = ["FleetSizer"]

CHECK_INTERVAL = 1.0  # seconds; peers report their work about once a second


class check_fleet_size(Event):
    """Measure demand, and decide on engines while this is the holder."""


class FleetSizer(BaseComponent):
    """Orders engines by demand, where the platform has the duty.

    Parameters
    ----------
    is_enabled : bool
        Whether the platform takes orders for engines; nothing is measured or
        ordered otherwise.
    find_services : callable
        Returns the services of the configuration by name.
    directory : EndpointDirectory
    notices : EndpointNotices
    health : EndpointHealth
    work : FleetWork
    hold : DutyHold
    calls : DutyCalls
    log : DecisionLog
    metrics : Metrics
    clock : callable, optional

    Attributes
    ----------
    services : dict of str to ServiceSizer
        Those with `scaling`.

    Notes
    -----
    The orders that are in effect are state of the platform, which cannot be
    read. A holder begins with the engines that are there; an order that it
    does not know of shows as engines that come later.
    """

    channel = "fleet_sizer"

    def __init__(
        self,
        *,
        is_enabled,
        find_services,
        directory,
        notices,
        health,
        work,
        hold,
        calls,
        log,
        metrics,
        clock=time.monotonic,
    ):
        super().__init__()
        self.is_enabled = is_enabled
        self.find_services = find_services
        self.directory = directory
        self.notices = notices
        self.health = health
        self.work = work
        self.hold = hold
        self.calls = calls
        self.log = log
        self.metrics = metrics
        self.clock = clock
        self.services = {}
        self.fencing = None  # of the grant under which the orders were placed
        self.is_wanted = False
        Ticker(
            interval=CHECK_INTERVAL,
            make_event=check_fleet_size,
            target=self.channel,
            is_needed=lambda: self.is_enabled,
        ).register(self)

    @handler("check_fleet_size")
    def _on_check_fleet_size(self):
        if self.is_enabled:
            self.check()

    def check(self):
        """Measure the demand; decide and order while this is the holder."""
        now = self.clock()
        self._update_services()
        self._want(bool(self.services))
        if not self.services:
            return
        self.work.update(now=now)
        records = {name: self._records(name) for name in self.services}
        for name, sizer in self.services.items():
            totals = {
                data_centre: totals
                for (service, data_centre), totals in self.work.sums.items()
                if service == name
            }
            sizer.measure(totals, records[name], now=now)
        if self._is_holder():
            for name, sizer in self.services.items():
                slowness = self._slowness(now)
                sizer.decide(records[name], slowness, now=now)
                self._send(sizer)
        self._show()

    def _update_services(self):
        scaled = {
            name: service
            for name, service in self.find_services().items()
            if service.scaling is not None
        }
        for name in self.services.keys() - scaled.keys():
            del self.services[name]
        for name, service in scaled.items():
            if name in self.services:
                self.services[name].update(service)
            else:
                self.services[name] = ServiceSizer(service=service, log=self.log)

    def _want(self, wanted):
        if wanted != self.is_wanted:
            self.is_wanted = wanted
            self.hold.want(wanted)

    def _is_holder(self):
        """Return whether this is the holder; a new one has no orders."""
        grant = self.hold.grant()
        if grant is None:
            return False
        if grant.fencing != self.fencing:
            self.fencing = grant.fencing
            for sizer in self.services.values():
                sizer.reset()
        return True

    def _records(self, service):
        """Return the engines of a service; those that leave say so."""
        return [
            record._replace(is_leaving=True)
            if self.notices.is_leaving(record.incarnation)
            else record
            for record in self.directory.records.values()
            if record.service == service
        ]

    def _slowness(self, now):
        """Return a function of an engine's slowness, by its fast prefills."""
        rates = self.work.own.prefill_rates

        def slowness(record):
            rate = rates.rate(record.service, record.stage)
            if rate is None:
                return self.health.slowness(record, now=now)
            return nominal_rate(record.stage) / rate

        return slowness

    def _send(self, sizer):
        """Send orders that are new or got no answer."""
        book, service = sizer.book, sizer.service.name
        for place, count in book.due().items():
            order = EngineOrder(service, place.data_centre, count, place.is_spot)
            book.record_send(place)
            self.calls.order_engines(order, self.hold, self._reply(book, place, count))

    def _reply(self, book, place, count):
        def handle(answer):
            now = self.clock()
            outcome = "accepted" if answer.is_accepted else "failed"
            if answer.is_unavailable:
                outcome = "unavailable"
            self.metrics.count("engine_orders_total", outcome=outcome)
            if answer.is_unavailable:
                book.record_unavailable(place, count, now=now)
            else:
                book.record_answer(
                    place, count, is_accepted=answer.is_accepted, now=now
                )
            if not answer.is_accepted:
                self.log.decision(
                    "engine_order_failed",
                    outcome=answer.reason or "no reason",
                    data_centre=place.data_centre,
                    is_spot=place.is_spot,
                    count=count,
                    is_unavailable=answer.is_unavailable,
                )

        return handle

    def _show(self):
        """Set the metrics of all services."""
        for name, sizer in self.services.items():
            self.metrics.set("engines_cost", sizer.cost(), service=name)
            self.metrics.set(
                "engines_serving", sum(sizer.counts.values()), service=name
            )
            if sizer.latest is not None:
                need = sizer.latest.need
                self.metrics.set("engines_needed", need.total, service=name)
