"""Seeded workloads of simulations, after two users: Association, Pettigrew."""

import itertools
import math
import random
from typing import NamedTuple

from wagtailfront.bench.records import Arrival
from wagtailfront.decisions.prefix_affinity import chain_hashes
from wagtailfront.decisions.work import PIECE_TOKENS, Work

__all__ = ["Kind", "KINDS", "MIXES", "Workload"]

WORKSPACES = 12
REREAD_WINDOW = 12  # recent documents per workspace that may be read again


class Kind(NamedTuple):
    """A kind of request.

    Attributes
    ----------
    prompt : tuple of int
        Range of prompt tokens, log-uniform.
    output_median, output_sigma : float
        Median of the output tokens and sigma of its logarithm.
    patience : float
        Seconds from arrival to deadline, the longest wait for the answer.
    reread : float
        Share of requests whose prompt is a recent document of the
        workspace again.
    """

    prompt: tuple[int, int]
    output_median: float
    output_sigma: float
    patience: float
    reread: float = 0.0


KINDS = {
    "look-up": Kind((150, 300), 12, 0.25, 4.0),
    "label": Kind((250, 600), 40, 0.30, 8.0),
    "check": Kind((3_000, 6_000), 100, 0.35, 20.0),
    "long-read": Kind((20_000, 50_000), 250, 0.40, 90.0, reread=0.3),
    "short-prompt": Kind((150, 250), 800, 0.20, 90.0),
    "long-prompt": Kind((3_500, 4_500), 200, 0.20, 90.0),
}

# Weights of kinds by the name of the mix, as in `--mix`.
MIXES = {
    "short": {"look-up": 6, "label": 4},
    "day": {"look-up": 45, "label": 33, "check": 20, "long-read": 2},
    "long": {"long-read": 1},
    "decode-heavy": {"short-prompt": 1},
    "prefill-heavy": {"long-prompt": 1},
}


class Workload:
    """Draws requests; the same seed gives the same requests.

    Parameters
    ----------
    seed : int
    instances : int
        Number of instances; each request goes to a random one.
    name : str
        Prefix of the request ids.
    """

    def __init__(self, *, seed, instances, name="r"):
        self.rng = random.Random(f"{name} {seed}")
        self.instances = instances
        self.name = name
        self.numbers = itertools.count()
        self.documents = {}
        self.output_scales = [self.rng.uniform(0.7, 1.4) for _ in range(WORKSPACES)]

    def draw(self, mix, *, at, instance=None, client=""):
        """Return one Arrival of the mix at time `at`."""
        rng = self.rng
        kind_name = rng.choices(list(mix), weights=list(mix.values()))[0]
        kind = KINDS[kind_name]
        workspace = rng.randrange(WORKSPACES)
        prompt, pieces = self._draw_prompt(kind_name, kind, workspace)
        output = round(
            kind.output_median
            * self.output_scales[workspace]
            * math.exp(rng.gauss(0, kind.output_sigma))
        )
        work = Work(
            request_id=f"{self.name}{next(self.numbers)}",
            workspace=f"w{workspace}",
            kind=kind_name,
            prompt_tokens=prompt,
            max_tokens=round(kind.output_median * 5),
            deadline=at + kind.patience,
            pieces=pieces,
            arrived=at,
        )
        if instance is None:
            instance = rng.randrange(self.instances)
        return Arrival(at, instance, work, max(1, output), client)

    def poisson(self, mix, *, rate, until, start=0.0):
        """Yield arrivals at `rate(time)` per second.

        Parameters
        ----------
        rate : callable
            Requests/s at a time.
        """
        at = start
        while at < until:
            # The rate changes little within one gap, so its value at the start
            # is used; the lower bound avoids a division by a rate of zero.
            at += self.rng.expovariate(max(rate(at), 0.01))
            if at < until:
                yield self.draw(mix, at=at)

    def _draw_prompt(self, kind_name, kind, workspace):
        rng = self.rng
        low, high = kind.prompt
        earlier = self.documents.setdefault((kind_name, workspace), [])
        if earlier and rng.random() < kind.reread:
            tokens, document = rng.choice(earlier)
        else:
            tokens = round(math.exp(rng.uniform(math.log(low), math.log(high))))
            document = f"{self.name} {kind_name} {workspace} {next(self.numbers)}"
            if kind.reread:
                earlier.append((tokens, document))
                del earlier[:-REREAD_WINDOW]
        # Checks of one workspace share their first piece, the allergen rules.
        first = f"{kind_name} {workspace}" if not kind.reread else document
        rest = [document.encode()] * (tokens // PIECE_TOKENS - 1)
        names = [first.encode(), *rest]
        return tokens, chain_hashes(names) if tokens >= PIECE_TOKENS else ()
