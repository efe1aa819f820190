"""Table of targets and results; the worst of three fixed seeds counts."""

from wagtailfront.bench.scenarios import SCENARIOS
from wagtailfront.bench.setup import POLICIES, Options

__all__ = ["SEEDS", "worst_results", "table"]

SEEDS = (1, 2, 3)


def worst_results(name, policy, *, options=None, seeds=SEEDS):
    """Return the targets of a scenario with their worst values.

    The last item of each tuple is whether that value meets the target.

    Returns
    -------
    list of (Target, float, bool)
    """
    scenario = SCENARIOS[name]
    runs = [scenario.run(policy, seed, options or Options()) for seed in seeds]
    worst = [
        (target, target.worst([run[target.measure] for run in runs]))
        for target in scenario.targets
    ]
    return [(target, value, target.is_met(value)) for target, value in worst]


def table(*, options=None, seeds=SEEDS):
    """Return the lines of the target table and whether the policy meets all.

    Only the first of POLICIES counts; the others are baselines.

    Returns
    -------
    (list of str, bool)
    """
    lines = [
        f"{'scenario':<14}{'measure':<18}{'target':>9}"
        + "".join(f"{policy:>19}" for policy in POLICIES)
    ]
    is_met = True
    for name, scenario in SCENARIOS.items():
        if not scenario.targets:
            continue
        results = [
            worst_results(name, policy, options=options, seeds=seeds)
            for policy in POLICIES
        ]
        for of_target in zip(*results, strict=True):
            target = of_target[0][0]
            sign = "<=" if target.at_most else ">="
            values = "".join(
                f"{value:>12.3f} {'met' if met else 'MISSED':<6}"
                for _, value, met in of_target
            )
            bound = f"{sign} {target.bound:g}"
            lines.append(f"{name:<14}{target.measure:<18}{bound:>9}{values}")
            is_met = is_met and of_target[0][2]
    return lines, is_met
