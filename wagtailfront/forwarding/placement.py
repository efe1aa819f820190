"""Choice of the endpoints that read a prompt and generate its output."""

from typing import NamedTuple

__all__ = [
    "PREFILL",
    "EngineView",
    "Plan",
    "choose_generator",
    "choose_least_loaded",
    "expected_read_seconds",
    "plan_model_request",
    "sample_engines",
]

PREFILL = "prefill"
# Prompt tokens that an engine of each kind reads a second, from the sheet of
# the engines: one that generates reads at half the speed, in short chunks
# between the tokens of other requests.
READ_RATE = 150_000.0
DECODE_READ_RATE = 50_000.0
# Seconds that a separate read adds: a call, a second one, the KV transfer.
HANDOVER_SECONDS = 0.015
# Seconds by which a request in progress delays the tokens of a new one.
STREAM_SECONDS = 0.0004
# The same for a KV cache that leaves its data centre: a long prompt's takes
# 7 ms more, and its bytes cost up to three times as much.
REMOTE_CACHE_SECONDS = 0.015
# Unread tokens above which a prompt is not read by an engine that generates:
# while it reads, no other request there gets its first token.
MAX_DIRECT_TOKENS = 5000
# Seconds of delay that a call to another data centre is taken to be worth: the
# way there and back, and the prompt's bytes on a link that is paid for.
REMOTE_SECONDS = 0.006
# Weight of shared tokens that another engine keeps and this one would read
# again: they take time from the requests that come after.
REREAD_WEIGHT = 2.5
# Engines that are compared where the loads that peers report are old: with
# all of them every instance would choose the same one until it hears of it.
SAMPLED_ENGINES = 3


class EngineView(NamedTuple):
    """What is known of one endpoint that may be chosen.

    Attributes
    ----------
    record : EndpointRecord
    outstanding : int
        Requests in progress there.
    pending_tokens : int
        Prompt tokens that wait there, of requests at least as urgent.
    cached_tokens : int
        Leading tokens of the prompt that it does not read again.
    slowness : float
        Time that it takes relative to the expected one.
    blocking_tokens : int
        Tokens left of prompts that it reads, whatever their urgency.
    is_remote : bool
        Whether it is in another data centre.
    """

    record: object
    outstanding: int
    pending_tokens: int = 0
    cached_tokens: int = 0
    slowness: float = 1.0
    blocking_tokens: int = 0
    is_remote: bool = False


class Plan(NamedTuple):
    """Endpoints of one model request.

    Attributes
    ----------
    prefill : EndpointRecord or None
        Reads the prompt first; None lets `decode` read it.
    decode : EndpointRecord
    uncached_tokens : int
        Prompt tokens that have to be read.
    expected : float
        Seconds until the prompt has been read.
    """

    prefill: object
    decode: object
    uncached_tokens: int
    expected: float


def choose_least_loaded(views, *, rng):
    """Return the view with the fewest requests in progress per place.

    Of equals one in the own data centre is chosen, else one at random, so
    that instances that know little of each other do not all choose the same
    endpoint.
    """
    return min(
        views,
        key=lambda view: (
            view.slowness * view.outstanding / max(1, view.record.slots),
            view.is_remote,
            rng.random(),
        ),
    )


def sample_engines(views, *, rng):
    """Return a few views to choose from where reported loads are old.

    Answers many instances that place at the same time. Those engines that
    keep most of the prompt stay in the choice.
    """
    most_kept = max((view.cached_tokens for view in views), default=0)
    groups = (
        [view for view in views if view.cached_tokens == most_kept],
        [view for view in views if view.cached_tokens != most_kept],
    )
    return [
        view
        for group in groups
        for view in rng.sample(group, min(len(group), SAMPLED_ENGINES))
    ]


def choose_generator(views, *, rng, data_centre):
    """Return the view that soonest generates for a prompt read elsewhere.

    Parameters
    ----------
    views : list of EngineView
    rng : random.Random
    data_centre : str
        Where the prompt was read.
    """

    def seconds_to_first_token(view):
        blocked = view.blocking_tokens / DECODE_READ_RATE
        busy = view.slowness * (blocked + view.outstanding * STREAM_SECONDS)
        is_near = view.record.data_centre == data_centre
        return busy + (0.0 if is_near else REMOTE_CACHE_SECONDS)

    return min(views, key=lambda view: (seconds_to_first_token(view), rng.random()))


def _remote_seconds(view):
    return REMOTE_SECONDS if view.is_remote else 0.0


def _reads_little(view, prompt_tokens):
    return prompt_tokens - view.cached_tokens <= MAX_DIRECT_TOKENS


def expected_read_seconds(view, prompt_tokens):
    """Return the seconds until an engine has read a prompt.

    Answers the load of prompts that queue: an engine that keeps the shared
    parts is worth waiting for only while its queue is shorter than the time
    that another engine needs to read them.
    """
    tokens = view.pending_tokens + max(0, prompt_tokens - view.cached_tokens)
    if view.record.stage == PREFILL:
        return HANDOVER_SECONDS + view.slowness * tokens / READ_RATE
    streams = view.outstanding * STREAM_SECONDS
    return view.slowness * (streams + tokens / DECODE_READ_RATE)


def plan_model_request(views, prompt_tokens, *, may_split, rng, is_load_old=False):
    """Return the plan for a model request, or None without an endpoint.

    Parameters
    ----------
    views : list of EngineView
    prompt_tokens : int
    may_split : bool
        Whether another engine may read the prompt.
    rng : random.Random
    is_load_old : bool, optional
        Whether many requests are placed before a load is heard of.

    Returns
    -------
    Plan or None
        None if no endpoint can generate the output.
    """
    decode_views = [view for view in views if view.record.stage != PREFILL]
    if not decode_views:
        return None
    most_kept = max(view.cached_tokens for view in views)

    def cost(view):
        read_again = (most_kept - view.cached_tokens) / READ_RATE
        seconds = expected_read_seconds(view, prompt_tokens) + _remote_seconds(view)
        return seconds + REREAD_WEIGHT * read_again, rng.random()

    readers = decode_views
    if may_split:
        prefill_views = [view for view in views if view.record.stage == PREFILL]
        short = [v for v in decode_views if _reads_little(v, prompt_tokens)]
        readers = prefill_views + short or decode_views
    if is_load_old:
        readers = sample_engines(readers, rng=rng)
        decode_views = sample_engines(decode_views, rng=rng)
    best = min(readers, key=cost)
    unread = max(0, prompt_tokens - best.cached_tokens)
    expected = expected_read_seconds(best, prompt_tokens)
    if best.record.stage == PREFILL:
        data_centre = best.record.data_centre
        decode = choose_generator(decode_views, rng=rng, data_centre=data_centre).record
        return Plan(best.record, decode, unread, expected)
    return Plan(None, best.record, unread, expected)
