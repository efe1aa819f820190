"""Demand, orders and decisions of one service."""

from collections import Counter, deque

from wagtailfront.fleet_size.allocation import Place, cost
from wagtailfront.fleet_size.decision import Memory, decide
from wagtailfront.fleet_size.demand import DemandHistory
from wagtailfront.fleet_size.need import measure_ability
from wagtailfront.fleet_size.order_book import OrderBook
from wagtailfront.fleet_size.situation import Situation, find_places
from wagtailfront.forwarding.placement import PREFILL

__all__ = ["ServiceSizer"]

# Seconds from a change of demand until it is measured, beside the boot.
MEASURING_DELAY = 1.5
# Decisions over which the median prefill rate of an engine is taken: during a
# burst the observed time of prefills contains waiting.
RATES = 30


class ServiceSizer:
    """What is known of one service's demand and orders.

    Every instance measures, so that a successor knows the demand; only the
    holder decides. A holder begins with the engines that are there.

    Parameters
    ----------
    service : Service
        With its `scaling`.
    log : DecisionLog

    Attributes
    ----------
    counts : Counter of Place
        Engines that stay, at the latest check.
    latest : Decision or None
        Of this holder.
    """

    def __init__(self, *, service, log):
        self.service = service
        self.log = log
        self.history = DemandHistory()
        self.counts = Counter()
        self.reset()

    def reset(self):
        """Forget the orders of an earlier time as the holder."""
        self.book = OrderBook(boot=self.service.scaling.boot)
        self.memory = Memory()
        self.rates = deque(maxlen=RATES)
        self.latest = None

    def update(self, service):
        """Apply a new configuration of the service."""
        self.service = service
        self.book.boot = service.scaling.boot

    def cost(self):
        """Return the price per second of the engines that stay."""
        return cost(self.counts, self.service.scaling)

    def measure(self, totals, records, *, now):
        """Record the WorkTotals by data centre, and the engines there."""
        self.history.record(totals, now=now)
        self.counts = Counter(
            Place(r.data_centre, r.is_spot) for r in records if not r.is_leaving
        )

    def decide(self, records, slowness, *, now):
        """Decide on orders, and record them in the book.

        Parameters
        ----------
        records : list of EndpointRecord
            Engines of the service; those that leave have `is_leaving`.
        slowness : callable
            Returns the observed slowness of an engine, or None.
        now : float
        """
        scaling = self.service.scaling
        outlook = self.history.outlook(now=now, horizon=scaling.boot + MEASURING_DELAY)
        if outlook is None:
            return
        staying = [record for record in records if not record.is_leaving]
        supplies = self._supplies(records, staying, now)
        situation = Situation(
            now,
            outlook,
            self._measure_ability(staying, slowness),
            scaling,
            supplies,
        )
        decision = decide(situation, self.memory)
        self.memory, self.latest = decision.memory, decision
        for place, count in decision.orders.items():
            self._place(place, count, situation, decision)

    def _measure_ability(self, staying, slowness):
        ability = measure_ability(staying, self.service, slowness)
        self.rates.append(ability.prefill)
        return ability._replace(prefill=sorted(self.rates)[len(self.rates) // 2])

    def _supplies(self, records, staying, now):
        reclaimed = {
            Place(r.data_centre, True) for r in records if r.is_spot and r.is_leaving
        }
        decoding = Counter(
            Place(r.data_centre, r.is_spot) for r in staying if r.stage != PREFILL
        )
        supplies = {}
        for place in find_places(self.service.scaling, staying):
            serving = self.counts[place]
            if self.book.review(
                place, serving=serving, is_reclaimed=place in reclaimed, now=now
            ):
                self.log.decision(
                    "engines_unavailable",
                    outcome="reclaimed" if place in reclaimed else "did not come",
                    **self._name(place),
                    serving=serving,
                )
            supplies[place] = self.book.supply(
                place, serving=serving, decoding=decoding[place], now=now
            )
        return supplies

    def _place(self, place, count, situation, decision):
        supply = situation.supplies[place]
        self.book.place(place, count, serving=supply.serving, now=situation.now)
        outlook = situation.outlook
        self.log.decision(
            "engines_ordered",
            outcome="more" if count > supply.expected else "fewer",
            **self._name(place),
            count=count,
            serving=supply.serving,
            expected=supply.expected,
            all_serving=sum(self.counts.values()),
            need=[round(each, 2) for each in decision.need],
            typical=[round(each, 1) for each in outlook.typical],
            peak=[round(each, 1) for each in outlook.peak],
            ability=[round(each, 1) for each in situation.ability],
            refused_share=round(outlook.refused_share, 4),
            pressure=round(decision.memory.pressure, 3),
            hold=decision.memory.hold,
            cost=round(self.cost(), 3),
        )

    def _name(self, place):
        return {
            "service": self.service.name,
            "data_centre": place.data_centre,
            "is_spot": place.is_spot,
        }
