"""Play real processes whose connections to the store fall silent, by seeds.

Exits with status 1 if a rule was broken.
"""

import sys
from collections import Counter

import defopt

from wagtailfront.programs.tests.fleet_soak import play


def soak(*, seeds: list[int], size: int = 6, has_trouble: bool = True):
    """Play some seeds one after the other.

    Parameters
    ----------
    seeds : list[int]
    size : int
        Number of instances.
    has_trouble : bool
    """
    broken = 0
    for seed in seeds:
        result = play(size=size, seed=seed, has_trouble=has_trouble)
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
