"""Comparison of the results that callers received with what endpoints ran."""

from wagtailfront.bench import load_exchange
from wagtailfront.bench.arrivals import KINDS

__all__ = ["check_effects"]


def check_effects(outcomes, effects, *, seed):
    """Count violations of the execution guarantees of bookings.

    Parameters
    ----------
    outcomes : iterable of Outcome
    effects : dict of str to int
        How often each booking ran, summed over the records of all endpoints.
    seed : int
        Seed of the run, which is part of a booking's identifier.

    Returns
    -------
    dict
        `duplicated`: bookings that ran more than once. `lost`: bookings that
        were answered and did not run. `not_run_but_ran`: bookings that ran
        although every attempt was refused with the verdict not_run.

    Examples
    --------
    >>> check_effects([], {"slot_booking-1-2": 2}, seed=1)["duplicated"]
    1
    """
    bookings = [
        (outcome, effects.get(_effect_id(outcome, seed), 0))
        for outcome in outcomes
        if KINDS[outcome.kind].interface == "booking"
    ]
    refused = {load_exchange.REFUSED}
    return {
        "bookings": len(bookings),
        "duplicated": sum(count > 1 for count in effects.values()),
        "lost": sum(
            outcome.result == load_exchange.ANSWERED and count == 0
            for outcome, count in bookings
        ),
        "not_run_but_ran": sum(
            set(outcome.results) == refused and count > 0 for outcome, count in bookings
        ),
    }


def _effect_id(outcome, seed):
    return load_exchange.effect_id(outcome.kind, seed, outcome.number)
