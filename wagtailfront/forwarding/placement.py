"""Choice of the endpoints that read a prompt and generate its output."""

from typing import NamedTuple

import xxhash

__all__ = ["Plan", "PlacementView", "plan_model_request", "choose_least_loaded"]


class Plan(NamedTuple):
    """Endpoints of one model request.

    Attributes
    ----------
    prefill : EndpointRecord or None
        Reads the prompt first; None lets `decode` read it.
    decode : EndpointRecord
    """

    prefill: object
    decode: object


class PlacementView(NamedTuple):
    """What is known of one endpoint that may be chosen.

    Attributes
    ----------
    record : EndpointRecord
    outstanding : int
        Requests in progress there.
    pending_tokens : int
        Prompt tokens that wait there to be read.
    """

    record: object
    outstanding: int
    pending_tokens: int


def _rendezvous_weight(key, endpoint_id):
    return xxhash.xxh3_64_intdigest(f"{key}/{endpoint_id}".encode())


def choose_least_loaded(views, *, rng):
    """Return the view with the fewest requests in progress per place.

    Ties are broken at random, so that instances that know little of each
    other do not all choose the same endpoint.
    """
    return min(
        views,
        key=lambda view: (
            view.outstanding / max(1, view.record.slots),
            rng.random(),
        ),
    )


def choose_prefill(views, parts):
    """Return the view that reads the prompt soonest.

    Each shared part has a home that all instances agree on, the endpoint
    with the highest rendezvous weight. Another endpoint is taken when the
    home has so much to read that reading the shared part anew is quicker.
    This keeps shared parts in one place while load is even, and spreads a
    part that many callers ask for at once.
    """
    shared = parts[:-1]
    key = shared[-1].part_id if shared else parts[0].part_id if parts else ""
    shared_tokens = sum(part.tokens for part in shared)
    home = max(views, key=lambda view: _rendezvous_weight(key, view.record.endpoint_id))

    def tokens_before_start(view):
        return view.pending_tokens + (0 if view is home else shared_tokens)

    return min(views, key=tokens_before_start)


def plan_model_request(prefill_views, decode_views, parts, *, rng):
    """Return the plan for a model request, or None without an endpoint.

    Parameters
    ----------
    prefill_views, decode_views : list of PlacementView
    parts : sequence of PromptPart
    rng : random.Random

    Returns
    -------
    Plan or None
        None if no endpoint can generate the output.
    """
    if not decode_views:
        return None
    if not prefill_views:
        return Plan(None, choose_prefill(decode_views, parts).record)
    prefill = choose_prefill(prefill_views, parts).record
    decode = choose_least_loaded(decode_views, rng=rng).record
    return Plan(prefill, decode)
