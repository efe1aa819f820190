"""Play real processes under faults of their links, by seeds.

Exits with status 1 if a rule was broken.
"""

import sys
from collections import Counter
from typing import Literal

import defopt

from wagtailfront.programs.tests.cut_soak import play_cuts
from wagtailfront.programs.tests.fleet_soak import play

PLAYS = {"store": play, "endpoints": play_cuts}


def soak(
    *,
    seeds: list[int],
    size: int = 6,
    links: Literal["store", "endpoints"] = "store",
    has_trouble: bool = True,
):
    """Play some seeds one after the other.

    Parameters
    ----------
    seeds : list[int]
    size : int
        Number of instances.
    links : Literal["store", "endpoints"]
        Which links fall silent, or are cut in several ways.
    has_trouble : bool
        For links to the store: whether they do.
    """
    broken = 0
    for seed in seeds:
        result = PLAYS[links](size=size, seed=seed, has_trouble=has_trouble)
        rules = Counter(violation.rule for violation in result.violations)
        print(
            f"seed {seed}: {result.requests} served, {result.streams} streams, "
            f"{dict(rules) or 'no rule broken'}",
            flush=True,
        )
        for violation in result.violations[:5]:
            print(f"  {violation}", flush=True)
        broken += bool(result.violations)
    print(f"{broken} of {len(seeds)} seeds broken")
    sys.exit(bool(broken))


if __name__ == "__main__":
    defopt.run(soak)
