"""Fault injection and rate limits for the stand-in platform."""

import random
from typing import NamedTuple

__all__ = ["Fault", "FaultPlan", "FaultEffect", "RateLimit", "parse_fault"]

KINDS = ("outage", "slow", "lose_answers")
PARTS = ("table", "objects", "instances")
ANSWERS = ("refuse", "close", "silent")
MAX_FAULT_SECONDS = 86_400.0


class Fault(NamedTuple):
    """One fault.

    Attributes
    ----------
    kind : str
        `outage` (requests are not performed), `slow` (requests are delayed)
        or `lose_answers` (requests are performed, but not answered).
    seconds : float
        Duration of the fault.
    parts : tuple of str
        Parts of the platform that it affects.
    answer : str
        Reaction to an affected request: `refuse` (status 503, outages only),
        `close` (connection closed) or `silent` (no answer, connection open).
    delay : float
        Mean delay of `slow`, in seconds; each request's delay is uniform
        between 0.5 and 1.5 times the mean.
    share : float
        Share of the requests that it affects, 0 to 1.
    seed : int
        Seed of the fault's random generator.
    """

    kind: str
    seconds: float
    parts: tuple[str, ...] = PARTS
    answer: str = "close"
    delay: float = 0.0
    share: float = 1.0
    seed: int = 0


class FaultEffect(NamedTuple):
    """Effect of the active faults on one request."""

    perform: bool = True
    answer: str = "reply"  # or one of ANSWERS
    delay: float = 0.0  # seconds before the request is performed


def parse_fault(value):
    """Return the Fault that a decoded JSON object describes.

    Raises
    ------
    ValueError
        If `value` is no object, or a field is unknown or invalid.

    Examples
    --------
    >>> parse_fault({"kind": "outage", "seconds": 3}).answer
    'refuse'
    """
    if not isinstance(value, dict):
        raise ValueError("expected a JSON object")
    unknown = set(value) - set(Fault._fields)
    if unknown:
        raise ValueError(f"unknown field {min(unknown)}")
    default = "refuse" if value.get("kind") == "outage" else "close"
    value = {"answer": default, "seconds": None, "kind": None} | value
    parts = value.get("parts", PARTS)
    if not isinstance(parts, list | tuple) or not set(map(str, parts)) <= set(PARTS):
        raise ValueError(f"parts are some of {', '.join(PARTS)}")
    fault = Fault(**(value | {"parts": tuple(parts)}))
    if fault.kind not in KINDS:
        raise ValueError(f"kind is one of {', '.join(KINDS)}")
    if fault.answer not in ANSWERS or (
        fault.answer == "refuse" and fault.kind != "outage"
    ):
        raise ValueError("answer is close or silent, for an outage also refuse")
    for name, maximum in (
        ("seconds", MAX_FAULT_SECONDS),
        ("delay", 60.0),
        ("share", 1.0),
    ):
        number = getattr(fault, name)
        if type(number) not in (int, float) or not 0 <= number <= maximum:
            raise ValueError(f"{name} is a number from 0 to {maximum}")
    if type(fault.seed) is not int:
        raise ValueError("seed is a whole number")
    return fault


class FaultPlan:
    """Active faults, each with its own random generator."""

    def __init__(self):
        self.active = []

    def start(self, fault, *, now):
        """Start a fault at `now` seconds."""
        self.active.append((now + fault.seconds, fault, random.Random(fault.seed)))

    def clear(self):
        """End all faults."""
        self.active.clear()

    def effect_on(self, part, *, now):
        """Return the FaultEffect on the next request to `part`."""
        self.active = [entry for entry in self.active if entry[0] > now]
        effect = FaultEffect()
        for _end, fault, rng in self.active:
            if part not in fault.parts or rng.random() >= fault.share:
                continue
            if fault.kind == "outage":
                return FaultEffect(perform=False, answer=fault.answer)
            if fault.kind == "slow":
                delay = effect.delay + fault.delay * rng.uniform(0.5, 1.5)
                effect = effect._replace(delay=delay)
            else:
                effect = effect._replace(answer=fault.answer)
        return effect


class RateLimit:
    """Token bucket.

    Parameters
    ----------
    rate : float
        Tokens per second; 0 means no limit.
    burst : float
        Capacity of the bucket, in seconds of `rate`.
    """

    def __init__(self, *, rate, burst=1.0):
        self.rate = rate
        self.capacity = burst * rate
        self.tokens = self.capacity
        self.updated = None

    def take(self, cost, *, now):
        """Take `cost` tokens if available; return whether they were taken."""
        if self.rate == 0:
            return True
        if self.updated is not None:
            self.tokens += self.rate * (now - self.updated)
            self.tokens = min(self.tokens, self.capacity)
        self.updated = now
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True
