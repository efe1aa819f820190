"""Tests of the load tool against running stand-ins."""

from circuits import BaseComponent, handler

from wagtailfront.bench import load_report
from wagtailfront.bench.arrivals import LoadPlan
from wagtailfront.bench.effect_check import check_effects
from wagtailfront.bench.load_exchange import Outcome
from wagtailfront.bench.load_runner import LoadRunner, LoadTarget
from wagtailfront.callers.tests.builders import (
    Instance,
    make_configuration,
    make_engine,
    running,
)
from wagtailfront.programs.load_run import read_effects
from wagtailfront.standins.service import StandinService
from wagtailfront.transport.http_client import HttpPool
from wagtailfront.transport.supervisor import make_root

PLAN = LoadPlan(rate=40.0, duration=1.0)


class Stopper(BaseComponent):
    """Ends the event loop when the run has finished."""

    @handler("finished", channel="*")
    def _on_finished(self):
        self.root.stop()


def drive(port):
    root = make_root(BaseComponent())
    Stopper().register(root)
    pool = HttpPool().register(root)
    target = LoadTarget(
        instances=[("127.0.0.1", port)], model="recipe-large", service="member-ledger"
    )
    runner = LoadRunner(plan=PLAN, target=target, pool=pool, seed=3).register(root)
    root.run()
    return runner


def test_run_checks_every_answer():
    """Guards against requests without a result and unchecked answers."""
    engines = [make_engine(number) for number in range(2)]
    service = StandinService(bind=("127.0.0.1", 0), name="ledger-0")
    instance = Instance(make_configuration(engines, [service]))
    with running(*engines, service, *instance.components):
        runner = drive(instance.port)
        effects = read_effects([("127.0.0.1", service.server.port)])
    summary = load_report.summarize(
        runner.outcomes,
        duration=1.0,
        lateness=runner.lateness,
        breaches=check_effects(runner.outcomes, effects, seed=3),
    )
    # Without a table service, bookings with a key are refused as not run.
    bookings = summary["kinds"]["slot_booking"]["requests"]
    answered = summary["requests"] - bookings
    assert summary["results"] == {"answered": answered, "refused": bookings}
    assert summary["effects"] == {
        "bookings": bookings,
        "duplicated": 0,
        "lost": 0,
        "not_run_but_ran": 0,
    }
    data = load_report.encode_results(
        plan=PLAN, seed=3, summary=summary, outcomes=runner.outcomes
    )
    results = load_report.decode_results(data)
    assert load_report.render_page(results).count("<svg") == 3
    ratios = load_report.compare(results.summary, results.summary)
    assert all(line.endswith(("1.00", "n/a")) for line in ratios)


def test_breaches_are_counted():
    """Guards against undetected duplicates, losses and wrong verdicts."""
    outcomes = [
        Outcome(number, "slot_booking", 0.0, results[-1], 200, 0.0, 0.0, 0, 1, results)
        for number, results in enumerate(
            [("answered",), ("refused",), ("refused", "refused"), ("cut", "refused")]
        )
    ]
    effects = {f"slot_booking-1-{number}": 1 for number in (1, 2, 3)}
    effects["slot_booking-1-3"] = 2
    assert check_effects(outcomes, effects, seed=1) == {
        "bookings": 4,
        "duplicated": 1,
        "lost": 1,
        "not_run_but_ran": 2,
    }
