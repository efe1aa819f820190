"""Subcommand that measures how the costs of an instance scale."""

import pathlib

import msgspec

from wagtailfront.bench import live_slopes, slope_measures
from wagtailfront.bench.slopes import render
from wagtailfront.exception import SettingsError
from wagtailfront.programs.settings import Address, Count, Seconds

__all__ = ["slopes"]


def slopes(
    *,
    instance: Address | None = None,
    metrics: Address | None = None,
    engine: list[Address] = (),
    model: str = "",
    duration: Seconds = 10.0,
    idle: Seconds = 20.0,
    seed: Count = 1,
    json: pathlib.Path | None = None,
):
    """Measure how the costs of an instance scale and print the slopes.

    Parameters
    ----------
    instance : Address
        Callers' address of a running instance; without it only costs within
        this process are measured.
    metrics : Address
        Operators' address of the same instance, which serves its metrics.
    engine : list[Address]
        Engines that also get direct requests, to compare first-token times.
    model : str
        Model of the completion requests.
    duration : Seconds
        Seconds of load per rate, both through the instance and direct.
    idle : Seconds
        Seconds without load in which background costs are measured.
    seed : Count
        Seed of arrivals and prompts.
    json : Path
        File for the results as JSON.
    """
    if instance is not None and (metrics is None or not model):
        raise SettingsError("--instance needs --metrics and --model")
    lines = list(slope_measures.measure_all())
    print("\n".join(render(lines)), flush=True)
    results = {"slopes": [line._asdict() for line in lines]}
    if instance is not None:
        target = live_slopes.LiveTarget(instance, metrics, list(engine), model)
        results |= _measure_live(target, duration=duration, idle=idle, seed=seed)
    if json is not None:
        json.write_bytes(msgspec.json.format(msgspec.json.encode(results)))
    return 0


def _measure_live(target, *, duration, idle, seed):
    baseline = live_slopes.measure_idle(target.metrics, idle)
    print(
        f"\nidle {baseline.seconds:.1f} s: {baseline.cores:.2%} of a core, "
        f"{baseline.peer_bytes_per_s:.0f} B/s and {baseline.peer_messages_per_s:.1f} "
        f"messages/s between instances, {baseline.store_requests_per_s:.2f} store "
        f"requests/s, {baseline.memory_bytes / 2**20:.0f} MiB"
    )
    phases = []
    for phase in live_slopes.measure_live(target, duration=duration, seed=seed):
        phases.append(phase)
        print(_phase_line(phase), flush=True)
    fits = [
        live_slopes.fit_processor_time(phases, mix)
        for mix in ("long_draft", "brief_draft")
    ]
    print("\n".join(render(fits)))
    per_token, per_request = live_slopes.split_costs(*fits)
    print(f"per token {per_token:.0f} us, per request {per_request:.0f} us")
    added = live_slopes.added_first_token(phases)
    for rate, (p50, p99) in added.items():
        print(
            f"first token at {rate:.0f} tokens/s: the instance adds "
            f"{p50 * 1e3:.1f} ms at p50, {p99 * 1e3:.1f} ms at p99"
        )
    return {
        "idle": baseline._asdict(),
        "phases": [phase._asdict() for phase in phases],
        "live_slopes": [line._asdict() for line in fits],
        "us_per_token": per_token,
        "us_per_request": per_request,
        "added_first_token_s": [
            {"tokens_per_s": rate, "p50": p50, "p99": p99}
            for rate, (p50, p99) in added.items()
        ],
    }


def _phase_line(phase):
    return (
        f"{phase.way:8} {phase.mix:11} {phase.requests_per_s:6.2f} requests/s "
        f"{phase.tokens / phase.seconds:7.0f} tokens/s {phase.answered:4}/"
        f"{phase.requests} answered, {phase.cores:6.1%} of a core, first token "
        f"p50 {phase.first_p50 * 1e3:6.1f} ms p99 {phase.first_p99 * 1e3:6.1f} ms, "
        f"sent late p99 {phase.late_p99 * 1e3:.1f} ms"
    )
