"""Choice of the endpoints that prefill a prompt and decode its output."""

import math
from collections import defaultdict
from typing import NamedTuple

from wagtailfront.room.forecast import with_room

__all__ = [
    "HANDOVER_SECONDS",
    "PREFILL",
    "EngineView",
    "Plan",
    "choose_decode_engine",
    "choose_least_loaded",
    "expected_prefill_seconds",
    "plan_model_request",
    "sample_engines",
]

PREFILL = "prefill"
# Prompt tokens that an engine prefills per second at a slowness of 1, which is
# measured. A decode engine prefills at half the speed, in short chunks between
# the tokens of other requests.
PREFILL_RATE = 100_000.0
DECODE_ENGINE_PREFILL_RATE = PREFILL_RATE / 2
# Seconds that prefill on a separate engine adds: two calls instead of one, and
# the transfer of the KV cache.
HANDOVER_SECONDS = 0.015
# Seconds by which a request in progress delays the tokens of a new one.
STREAM_SECONDS = 0.0004
# Seconds of a round trip to another data centre; those of one region are about
# a millisecond and a half apart.
REMOTE_SECONDS = 0.003
# Engines of each group to compare while reported loads are outdated: among all
# engines, every instance would choose the same one until the next report.
SAMPLED_ENGINES = 3


class EngineView(NamedTuple):
    """State of one endpoint that may be chosen.

    Attributes
    ----------
    record : EndpointRecord
    outstanding : int
        Requests in progress there.
    pending_tokens : int
        Prompt tokens waiting there, of requests at least as urgent.
    cached_tokens : int
        Leading tokens of the prompt that it has cached.
    slowness : float
        Observed time relative to the nominal time.
    is_measured : bool
        Whether `slowness` was observed, at it or at engines like it.
    blocking_tokens : int
        Tokens left of prompts in progress, whatever their urgency.
    is_remote : bool
        Whether it is in a data centre other than the instance's.
    wait : float
        Seconds until its rate limit and its pause let this instance send a
        request.
    committed_tokens : int
        KV cache that requests take there.
    free_tokens : float
        KV cache that this instance may use there; infinite if unknown.
    needed_tokens : int
        KV cache that the request would add there.
    """

    record: object
    outstanding: int
    pending_tokens: int = 0
    cached_tokens: int = 0
    slowness: float = 1.0
    is_measured: bool = True
    blocking_tokens: int = 0
    is_remote: bool = False
    wait: float = 0.0
    committed_tokens: int = 0
    free_tokens: float = math.inf
    needed_tokens: int = 0

    @property
    def has_room(self):
        """Return whether the request fits into the engine's memory.

        Only the engine itself can tell whether it would fit into an empty one.
        """
        return self.needed_tokens <= self.free_tokens or not self.committed_tokens


class Plan(NamedTuple):
    """Endpoints of one model request.

    Attributes
    ----------
    prefill : EndpointRecord or None
        Prefills the prompt; None if `decode` does.
    decode : EndpointRecord
    uncached_tokens : int
        Prompt tokens that have to be prefilled.
    expected : float
        Seconds from sending it until the prompt has been prefilled.
    is_measured : bool
        Whether `expected` follows from observed prefills.
    wait : float
        Seconds by which rate limits and pauses of its engines delay it.
    work : float
        Engine time in seconds that the prompt itself takes.
    engines : int
        Engines that were compared for the prefill.
    has_room : bool
        Whether an engine has room for the request.
    """

    prefill: object
    decode: object
    uncached_tokens: int
    expected: float
    wait: float = 0.0
    work: float = 0.0
    engines: int = 1
    is_measured: bool = True
    has_room: bool = True


def choose_least_loaded(views, *, rng):
    """Return the view with the fewest requests in progress per slot.

    Endpoints whose rate limit or pause makes a request wait come last. Ties go
    to an endpoint in the own data centre, then to a random one, so that
    instances with outdated loads of each other do not all choose the same
    endpoint.
    """
    return min(
        views,
        key=lambda view: (
            view.wait,
            view.slowness * view.outstanding / max(1, view.record.slots),
            view.is_remote,
            rng.random(),
        ),
    )


def sample_engines(views, *, rng):
    """Return a random sample of views for use with outdated loads.

    Prevents many instances that place requests at the same time from
    choosing the same engine. The sample includes engines of each stage, and
    those that have most of the prompt cached.
    """
    most_cached = max((view.cached_tokens for view in views), default=0)
    groups = defaultdict(list)
    for view in views:
        groups[view.record.stage, view.cached_tokens == most_cached].append(view)
    return [
        view
        for group in groups.values()
        for view in rng.sample(group, min(len(group), SAMPLED_ENGINES))
    ]


def choose_decode_engine(views, *, rng, data_centre, transfer_seconds):
    """Return the view that decodes first after prefill on another engine.

    Parameters
    ----------
    views : list of EngineView
    rng : random.Random
    data_centre : str
        Where the prompt is prefilled.
    transfer_seconds : float
        Seconds that the transfer of its KV cache takes within a data centre;
        it takes twice as long to another one.
    """

    def seconds_to_first_token(view):
        blocked = view.blocking_tokens / DECODE_ENGINE_PREFILL_RATE
        busy = view.slowness * (blocked + view.outstanding * STREAM_SECONDS)
        is_near = view.record.data_centre == data_centre
        return busy + view.wait + (0.0 if is_near else transfer_seconds)

    return min(views, key=lambda view: (seconds_to_first_token(view), rng.random()))


def _remote_seconds(view):
    return REMOTE_SECONDS if view.is_remote else 0.0


def _delay_of_others(view, prompt_tokens, most_cached, residence):
    """Return the seconds by which a prompt delays all other requests there.

    At an engine that only prefills, as many as are in progress come after it.
    They are delayed by what it prefills although another engine has it cached.
    At a decode engine no other request gets its first token during a prefill;
    by Little's law outstanding / residence of them arrive each second.
    """
    tokens = max(0, prompt_tokens - view.cached_tokens)
    if view.record.stage == PREFILL:
        recomputed = max(0, min(prompt_tokens, most_cached) - view.cached_tokens)
        return view.outstanding * _engine_seconds(view, recomputed)
    seconds = _engine_seconds(view, tokens)
    if not residence:
        return view.outstanding * seconds
    return view.outstanding / residence * seconds**2 / 2


def expected_prefill_seconds(view, prompt_tokens):
    """Return the expected seconds until an engine has prefilled a prompt.

    The time includes queueing: an engine with the shared parts in its cache
    is worth waiting for only while its queue takes less time than another
    engine needs to prefill them.
    """
    tokens = view.pending_tokens + max(0, prompt_tokens - view.cached_tokens)
    if view.record.stage == PREFILL:
        return HANDOVER_SECONDS + _engine_seconds(view, tokens)
    streams = view.slowness * view.outstanding * STREAM_SECONDS
    return streams + _engine_seconds(view, tokens)


def _engine_seconds(view, tokens):
    """Return the time that an engine takes to prefill some tokens."""
    is_prefill = view.record.stage == PREFILL
    rate = PREFILL_RATE if is_prefill else DECODE_ENGINE_PREFILL_RATE
    return view.slowness * tokens / rate


def plan_model_request(
    views,
    prompt_tokens,
    *,
    may_split,
    rng,
    is_load_outdated=False,
    transfer_seconds=0.0,
    residence=0.0,
):
    """Return the plan for a model request, or None without an endpoint.

    Parameters
    ----------
    views : list of EngineView
    prompt_tokens : int
    may_split : bool
        Whether a separate engine may prefill the prompt.
    rng : random.Random
    is_load_outdated : bool, optional
        Whether reported loads are outdated: many requests are placed before
        the next report arrives.
    transfer_seconds : float, optional
        Seconds that the transfer of the prompt's KV cache takes within a data
        centre.
    residence : float, optional
        Mean seconds that a request spends at a decode engine after its first
        token; 0 if unknown.

    Returns
    -------
    Plan or None
        None if no endpoint can decode the output.
    """
    all_decode_views = [view for view in views if view.record.stage != PREFILL]
    if not all_decode_views:
        return None
    decode_views = with_room(all_decode_views)
    has_room = bool(decode_views)
    decode_views = decode_views or all_decode_views
    most_cached = max(view.cached_tokens for view in views)

    def cost(view):
        seconds = expected_prefill_seconds(view, prompt_tokens) + _remote_seconds(view)
        seconds += _delay_of_others(view, prompt_tokens, most_cached, residence)
        return seconds + view.wait, rng.random()

    candidates, engines = decode_views, len(decode_views)
    if may_split:
        # A KV cache is used only by the software version that made it.
        versions = {view.record.software_version for view in decode_views} - {""}
        prefill_views = [
            view
            for view in with_room(views)
            if view.record.stage == PREFILL and view.record.software_version in versions
        ]
        candidates = prefill_views + decode_views
        engines = len(candidates)
    if is_load_outdated:
        candidates = sample_engines(candidates, rng=rng)
    best = min(candidates, key=cost)
    uncached_tokens = max(0, prompt_tokens - best.cached_tokens)
    expected = expected_prefill_seconds(best, prompt_tokens)
    work = _engine_seconds(best, uncached_tokens)
    if best.record.stage == PREFILL:
        version = best.record.software_version
        decode_views = [v for v in decode_views if v.record.software_version == version]
        if is_load_outdated:
            decode_views = sample_engines(decode_views, rng=rng)
        decode = choose_decode_engine(
            decode_views,
            rng=rng,
            data_centre=best.record.data_centre,
            transfer_seconds=transfer_seconds,
        )
        wait = max(best.wait, decode.wait - expected)
        engine, decode_engine = best.record, decode.record
    else:
        engine, decode_engine, wait = None, best.record, best.wait
    return Plan(
        prefill=engine,
        decode=decode_engine,
        uncached_tokens=uncached_tokens,
        expected=expected,
        wait=wait,
        work=work,
        engines=engines,
        is_measured=best.is_measured,
        has_room=has_room,
    )
