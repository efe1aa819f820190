"""The `wagtailfront-load` program: load tests, simulations and reports."""

import json
import sys

from wagtailfront.bench import report
from wagtailfront.bench.scenarios import SCENARIOS
from wagtailfront.bench.setup import POLICIES, Options
from wagtailfront.bench.workload import MIXES
from wagtailfront.exception import SettingsError
from wagtailfront.programs import load_run, load_slopes, settings

__all__ = ["main", "decisions", "bench", "COMMANDS"]


def decisions(
    *,
    scenario: str,
    seed: int = 1,
    policy: str = "expected-finish",
    slow_factor: float = 10.0,
    report_lag: float = 5.0,
    peak: float = 5.0,
    mix: str = "day",
    seconds: float = 0.0,
    load: float = 0.7,
    json: bool = False,
):
    """Simulate one decision scenario in virtual time and print its measures.

    Parameters
    ----------
    scenario : str
        Name of the scenario.
    seed : int
        Seed of the workload, the network and the instances.
    policy : str
        expected-finish, least-outstanding or round-robin.
    slow_factor : float
        Factor by which the steps of the slow engine take longer.
    report_lag : float
        Age of load reports in seconds.
    peak : float
        Demand at the peak as a multiple of the usual demand.
    mix : str
        Name of the mix of request kinds.
    seconds : float
        Seconds that are measured; 0 uses the scenario's default.
    load : float
        Demand of mix-shift as a share of the capacity of its best split.
    json : bool
        Print one JSON object.
    """
    _check_known("scenario", scenario, SCENARIOS)
    _check_known("policy", policy, POLICIES)
    _check_known("mix", mix, MIXES)
    options = Options(slow_factor, report_lag, peak, mix, seconds, load)
    measures = SCENARIOS[scenario].run(policy, seed, options)
    _print_measures(
        {"scenario": scenario, "policy": policy, "seed": seed} | measures, json
    )
    return 0


def bench():
    """Print the measures against targets; exit with 1 if one is missed."""
    lines, is_met = report.table()
    print("\n".join(lines))
    return 0 if is_met else 1


# Subcommands in the order of the help text.
COMMANDS = [load_run.run, load_run.compare, decisions, bench, load_slopes.slopes]


def main():
    """Run the program `wagtailfront-load`."""
    sys.exit(settings.run(COMMANDS, prog="wagtailfront-load"))


def _check_known(name, value, known):
    if value not in known:
        raise SettingsError(f"unknown {name} {value!r}; known: {', '.join(known)}")


def _print_measures(measures, as_json):
    if as_json:
        print(json.dumps(measures))
        return
    for name, value in measures.items():
        print(
            f"{name}: {value:.4g}" if isinstance(value, float) else f"{name}: {value}"
        )


if __name__ == "__main__":
    main()
