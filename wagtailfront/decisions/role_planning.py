"""Division of a service's engines into prefill and decode roles."""

import math
from typing import NamedTuple

from wagtailfront.decisions.work import Role

__all__ = [
    "Capacity",
    "Demand",
    "DemandEstimate",
    "EngineRole",
    "RoleChange",
    "PlanSettings",
    "best_prefill_count",
    "RolePlanner",
]


class Capacity(NamedTuple):
    """Tokens per second that one engine processes in each role."""

    prefill_speed: float
    decode_speed: float


class Demand(NamedTuple):
    """Tokens per second that the service's callers ask for."""

    prompt: float
    output: float


class EngineRole(NamedTuple):
    """Role of an engine.

    Attributes
    ----------
    role : Role
        Present role, or the role that the engine is changing to.
    since : float
        Time at which its last role change was ordered, in seconds; ``-inf``
        if there was none.
    changing : bool
        True from the order to change until the engine serves in its new
        role.
    available : bool
        False while it is down or withdrawn.
    load : float
        Outstanding work; the engine with the lowest load is changed first.
    """

    role: Role
    since: float = -math.inf
    changing: bool = False
    available: bool = True
    load: float = 0.0


class RoleChange(NamedTuple):
    """Change of `engine` to the role `role`."""

    engine: str
    role: Role


class PlanSettings(NamedTuple):
    """Limits on role changes.

    Attributes
    ----------
    min_gain : float
        Minimum relative reduction of the busier role's utilisation; below
        it, noise in the workload mix would cause changes.
    min_utilisation : float
        Utilisation of the busier role below which nothing changes, since a
        split below its capacity costs callers little.
    change_seconds : float
        Time for which a change makes an engine unavailable.
    horizon : float
        Seconds for which the mix is expected to last; a change must gain
        more engine time in it than it costs.
    cooldown : float
        Seconds before an engine may change again; longer than a shift of
        the mix, so that an engine changes at most once per shift.
    min_serving : float
        Share of the engines that stay available.
    """

    min_gain: float = 0.10
    min_utilisation: float = 0.5
    change_seconds: float = 5.0
    horizon: float = 60.0
    cooldown: float = 120.0
    min_serving: float = 0.5


class DemandEstimate:
    """Exponentially weighted moving average of tokens per second.

    Parameters
    ----------
    window : float
        Time constant in seconds; short relative to a shift of the mix,
        which takes 2 minutes, and long relative to gaps between requests.

    Examples
    --------
    >>> estimate = DemandEstimate(window=10.0)
    >>> for second in range(100):
    ...     estimate.observe(prompt=4_000, output=200, now=float(second))
    >>> [round(tokens, -2) for tokens in estimate.demand(now=99.0)]
    [4200.0, 200.0]
    """

    def __init__(self, *, window=10.0):
        self.window = window
        self.sums = Demand(0.0, 0.0)
        self.updated = None
        self.started = None

    def observe(self, *, prompt, output, now):
        """Add one request's uncached prompt and expected output tokens."""
        self.started = now if self.started is None else self.started
        decay = self._decay(now)
        self.sums = Demand(self.sums.prompt * decay + prompt, self.sums.output * decay)
        self.sums = self.sums._replace(output=self.sums.output + output)
        self.updated = now

    def demand(self, *, now):
        """Return the estimated demand.

        It is zero until one window has passed, so nothing is planned before.
        """
        if self.started is None or now - self.started < self.window:
            return Demand(0.0, 0.0)
        filled = 1.0 - math.exp((self.started - now) / self.window)
        factor = self._decay(now) / (self.window * filled)
        return Demand(self.sums.prompt * factor, self.sums.output * factor)

    def _decay(self, now):
        elapsed = 0.0 if self.updated is None else now - self.updated
        return math.exp(-elapsed / self.window)


def best_prefill_count(demand, capacity, *, engines):
    """Return how many of `engines` engines should have the prefill role.

    The count minimises the utilisation of the busier role. Each role gets
    at least one engine if there are two or more.

    Examples
    --------
    >>> capacity = Capacity(prefill_speed=10_000, decode_speed=1_000)
    >>> best_prefill_count(Demand(20_000, 1_000), capacity, engines=6)
    4
    """
    return min(
        range(1, engines),
        key=lambda count: _utilisation(demand, capacity, count, engines - count),
        default=0,
    )


class RolePlanner:
    """Plans role changes whose gain exceeds their cost.

    Parameters
    ----------
    capacity : Capacity
    settings : PlanSettings, optional

    Notes
    -----
    Three conditions keep roles stable. The best split must lower the
    utilisation of the busier role by `min_gain`, it must gain more engine
    time than the changes cost, and an engine that changed must wait for the
    cooldown. The first condition compares with the best split instead of a
    single change, since one engine's share of a large service is always
    below `min_gain`.

    Examples
    --------
    >>> planner = RolePlanner(capacity=Capacity(10_000, 1_000))
    >>> roles = [Role.PREFILL] * 2 + [Role.DECODE] * 4
    >>> engines = {f"e{n}": EngineRole(role) for n, role in enumerate(roles)}
    >>> planner.plan(engines, Demand(prompt=20_000, output=1_000), now=0.0)
    (RoleChange(engine='e2', role=<Role.PREFILL: 'prefill'>),)
    """

    def __init__(self, *, capacity, settings=None):
        self.capacity = capacity
        self.settings = settings or PlanSettings()

    def plan(self, engines, demand, *, now):
        """Return the changes to start now, at most one.

        Parameters
        ----------
        engines : mapping of str to EngineRole
            All engines of the service.
        demand : Demand
        now : float

        Returns
        -------
        tuple of RoleChange
        """
        settings = self.settings
        planned = {n: engine for n, engine in engines.items() if engine.available}
        serving = {n: engine for n, engine in planned.items() if not engine.changing}
        least = max(2, math.ceil(settings.min_serving * len(engines)))
        if len(serving) - 1 < least:
            return ()
        prefill = sum(engine.role is Role.PREFILL for engine in planned.values())
        best = best_prefill_count(demand, self.capacity, engines=len(planned))
        if not self._is_worthwhile(demand, prefill, best, len(planned)):
            return ()
        role = Role.PREFILL if best > prefill else Role.DECODE
        eligible = [
            (engine.load, engine.since, name)
            for name, engine in serving.items()
            if engine.role is not role and now - engine.since >= settings.cooldown
        ]
        return tuple(RoleChange(name, role) for _, _, name in sorted(eligible)[:1])

    def _is_worthwhile(self, demand, prefill, best, total):
        """Return whether the best split repays its changes in the horizon."""
        settings = self.settings
        before = _utilisation(demand, self.capacity, prefill, total - prefill)
        after = _utilisation(demand, self.capacity, best, total - best)
        if before < settings.min_utilisation or after > before * (
            1 - settings.min_gain
        ):
            return False
        if math.isinf(before):
            return True
        gain = (1 - after / before) * total * settings.horizon
        return gain > abs(best - prefill) * settings.change_seconds


def _utilisation(demand, capacity, prefill, decode):
    """Return the utilisation of the busier role, 1 at its capacity."""
    return max(
        _ratio(demand.prompt, capacity.prefill_speed * prefill),
        _ratio(demand.output, capacity.decode_speed * decode),
    )


def _ratio(wanted, limit):
    return wanted / limit if limit else (math.inf if wanted else 0.0)
