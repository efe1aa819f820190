"""Subcommands that send load to running instances and compare results."""

import http.client
import pathlib
import sys
from collections import Counter
from typing import Literal

import msgspec
from circuits import BaseComponent, Event, Timer, handler

from wagtailfront.bench import load_report
from wagtailfront.bench.arrivals import LoadPlan
from wagtailfront.bench.effect_check import check_effects
from wagtailfront.bench.load_runner import LoadRunner, LoadTarget
from wagtailfront.exception import SettingsError
from wagtailfront.programs.settings import Address, Count, Rate, Seconds
from wagtailfront.transport.http_client import HttpPool
from wagtailfront.transport.supervisor import make_root

__all__ = ["run", "compare"]

PROGRESS_INTERVAL = 1.0  # seconds
EXIT_BREACH = 1
RECORD_TIMEOUT = 5.0  # seconds


class show_progress(Event):
    """Print the progress of the run."""


class Console(BaseComponent):
    """Shows progress on a terminal; stops the event loop after the run."""

    channel = "console"

    def __init__(self, *, runner, stream=sys.stderr):
        super().__init__()
        self.runner = runner
        self.stream = stream
        Timer(PROGRESS_INTERVAL, show_progress(), self.channel, persist=True).register(
            self
        )

    @handler("show_progress")
    def _on_show_progress(self):
        if not self.stream.isatty():
            return
        done = len(self.runner.outcomes)
        self.stream.write(
            f"\r{self.runner.now():6.1f} s  {done} ended, {self.runner.open} open "
        )
        self.stream.flush()

    @handler("finished", channel="*")
    def _on_finished(self):
        self.root.stop()


def read_effects(endpoints):
    """Return how often each effect ran according to the endpoints.

    Parameters
    ----------
    endpoints : list of HostPort
        Plain service stand-ins.
    """
    total = Counter()
    for host, port in endpoints:
        connection = http.client.HTTPConnection(host, port, timeout=RECORD_TIMEOUT)
        connection.request("GET", "/record")
        record = msgspec.json.decode(connection.getresponse().read())
        connection.close()
        total.update(record["effects"])
    return total


def run(
    *,
    instances: list[Address],
    model: str,
    service: str,
    scenario: Literal["association", "pettigrew"] = "association",
    rate: Rate = 20.0,
    duration: Seconds = 10.0,
    seed: Count = 1,
    peak_factor: Rate = 1.0,
    peak_start: Seconds = 0.0,
    peak_duration: Seconds = 0.0,
    shift_start: Seconds = 0.0,
    shift_end: Seconds = 0.0,
    deadline: Seconds = 30.0,
    record_endpoints: list[Address] = (),
    results: pathlib.Path | None = None,
    page: pathlib.Path | None = None,
):
    """Send a seeded open-loop load and report the results.

    Parameters
    ----------
    instances : list[Address]
        Callers' addresses of the entry instances.
    model : str
        Model of the completion requests.
    service : str
        Plain service that receives lookups and bookings.
    scenario : Literal
        Mix of request kinds.
    rate : Rate
        Requests per second outside the peak.
    duration : Seconds
        Seconds of offered load.
    seed : Count
        Seed of arrivals and prompts.
    peak_factor : Rate
        Factor on the rate during the peak.
    peak_start : Seconds
        Seconds from the start to the peak.
    peak_duration : Seconds
        Duration of the peak in seconds.
    shift_start : Seconds
        Seconds from the start to the shift of the mix.
    shift_end : Seconds
        Seconds from the start to the shift back.
    deadline : Seconds
        Deadline of each request in seconds.
    record_endpoints : list[Address]
        Plain service stand-ins whose records show what ran; without them
        the checks of bookings are not meaningful.
    results : Path
        File for the results as JSON.
    page : Path
        File for the report as HTML.
    """
    plan = LoadPlan(
        mix=scenario,
        rate=rate,
        duration=duration,
        peak_factor=peak_factor,
        peak_start=peak_start,
        peak_duration=peak_duration,
        shift_start=shift_start,
        shift_end=shift_end,
    )
    if not instances or duration <= 0 or rate <= 0:
        raise SettingsError("--instances, --rate and --duration must not be empty")
    target = LoadTarget(instances=list(instances), model=model, service=service)
    runner = _run_load(plan, target, seed=seed, deadline=deadline)
    breaches = check_effects(runner.outcomes, read_effects(record_endpoints), seed=seed)
    summary = load_report.summarize(
        runner.outcomes,
        duration=duration,
        lateness=runner.lateness,
        breaches=breaches,
    )
    data = load_report.encode_results(
        plan=plan, seed=seed, summary=summary, outcomes=runner.outcomes
    )
    if results is not None:
        results.write_bytes(data)
    if page is not None:
        page.write_text(load_report.render_page(load_report.decode_results(data)))
    print(msgspec.json.format(msgspec.json.encode(summary)).decode())
    counts = [breaches[name] for name in ("duplicated", "lost", "not_run_but_ran")]
    return EXIT_BREACH if any(counts) or "wrong" in summary["results"] else 0


def _run_load(plan, target, *, seed, deadline):
    root = make_root(BaseComponent())
    pool = HttpPool(max_idle=64).register(root)
    runner = LoadRunner(
        plan=plan, target=target, pool=pool, seed=seed, deadline=deadline
    ).register(root)
    Console(runner=runner).register(root)
    root.run()
    return runner


def compare(before: pathlib.Path, after: pathlib.Path):
    """Print the ratios of the measures in two results files.

    Parameters
    ----------
    before : Path
        JSON results of the first run.
    after : Path
        JSON results of the second run.
    """
    try:
        first, second = (
            load_report.decode_results(path.read_bytes()) for path in (before, after)
        )
    except (OSError, msgspec.DecodeError) as error:
        raise SettingsError(f"results file: {error}")
    print(f"{'':40} {'before':>12} {'after':>12} {'ratio':>7}")
    print("\n".join(load_report.compare(first.summary, second.summary)))
