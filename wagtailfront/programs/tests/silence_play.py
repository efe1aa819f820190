"""Play of sound endpoints that fall silent beside configuration changes."""

import asyncio
import random
import signal
import time
from typing import NamedTuple

from wagtailfront.platform.tests.builders import make_registration
from wagtailfront.platform.tests.silent_store import HOST
from wagtailfront.programs.tests.answer_checker import AnswerChecker, read_decisions
from wagtailfront.programs.tests.kept_caller import MODEL_PATHS, PATHS, KeptCaller
from wagtailfront.programs.tests.known_limits import KnownLimits
from wagtailfront.programs.tests.process_fleet import ProcessFleet
from wagtailfront.programs.tests.silent_endpoint import SilentEndpoint

__all__ = ["PlayResult", "SilenceFleet", "play"]

INSTANCES = 3
CALLERS = 60
WARM_UP = 2.0  # seconds
CHANGE_INTERVAL = 1.0  # seconds
LARGE = 350  # routes
NARROW = {"idle-timeout-ms": 400, "header-timeout-ms": 400, "max-body-bytes": 4000}
WIDE = {"idle-timeout-ms": 3000, "header-timeout-ms": 2000, "max-body-bytes": 100_000}
ENGINES = [("m", "decode")] * 4 + [("m", "prefill")] * 2 + [("m", "")] * 2
OTHERS = [("n", "")] * 2 + [("p", "")] * 3 + [("q", "")] * 2


class PlayResult(NamedTuple):
    """Outcome of one play."""

    checker: AnswerChecker
    decisions: dict


class SilenceFleet(ProcessFleet):
    """Instances before endpoints that fall silent for a second or so.

    Parameters
    ----------
    half_closed : float, optional
        Share of exchanges after whose requests the caller ends its side.
    """

    def __init__(self, *, half_closed=0.0, **options):
        super().__init__(**options)
        self.half_closed = half_closed
        self.answers = AnswerChecker()
        self.known = KnownLimits()
        self.version = 0

    async def prepare(self):
        """Write a configuration and start the endpoints."""
        await self.change(limits=WIDE, size=0)
        for number, (service, stage) in enumerate(ENGINES + OTHERS):
            rng = random.Random(self.rng.random())
            endpoint = SilentEndpoint(
                name=f"e{number}", version="v1", rng=rng, checker=self.answers
            )
            await endpoint.start()
            self.endpoints[endpoint.name] = endpoint
            row = make_registration(
                address=f"{HOST}:{endpoint.port}",
                service=service,
                stage=stage,
                slots=64,
            )
            await self.store.write("servers", endpoint.name, row)

    async def change(self, *, limits, size):
        """Write the next version of the configuration.

        Parameters
        ----------
        limits : dict
        size : int
            Number of routes that no caller uses.
        """
        self.version += 1
        self.known.add(limits)
        routes = [self._make_route(path) for path in PATHS]
        timeouts = {route["prefix"]: route["timeout-ms"] / 1000 for route in routes}
        unused = [
            {**routes[0], "name": f"u{number}", "prefix": f"/u{number}/"}
            for number in range(size)
        ]
        config = {
            "version": self.version,
            "routes": routes + unused,
            "services": [
                {"name": "m", "max-connections": 600, "engine": self._engine()},
                {"name": "n", "max-connections": 600, "engine": self._engine()},
                {"name": "p", "max-connections": self.rng.choice([96, 500])},
                {"name": "q", "max-connections": self.rng.choice([96, 500])},
            ],
            "limits": limits,
            "quotas": [{"caller": "c", "rate": self.rng.randint(1, 100)}],
        }
        self.answers.record_change(timeouts, at=time.monotonic())
        await self.store.write("op", "config", config)

    def _engine(self):
        return {"kv-capacity-tokens": self.rng.choice([100_000, 1_000_000])}

    def _make_route(self, path):
        is_model = path in MODEL_PATHS
        kinds = {"/book/": "unsafe", "/look/": "safe"}
        choose = self.rng.choice
        return {
            "name": path.strip("/"),
            "host": "h",
            "prefix": path,
            "kind": kinds.get(path, "streaming"),
            "resumable": path in ("/chat/", "/batch/"),
            "traffic-split": [
                {"service": "m" if is_model else "p", "weight": choose([1, 50, 100])},
                {"service": "n" if is_model else "q", "weight": choose([0, 1, 50])},
            ],
            "timeout-ms": choose([3000, 5000, 6000] if is_model else [1000, 3000]),
            "target-latency-ms": choose([250, 400] if is_model else [100, 300]),
            "priority": choose([0, 1, 2]),
            "gap-aim-ms": 250,
            "max-attempts": 1 if path in ("/tag/", "/book/") else choose([2, 3]),
        }


async def _change_often(fleet, until):
    while time.monotonic() < until:
        limits, size = fleet.rng.choice([NARROW, WIDE]), fleet.rng.choice([0, 3, LARGE])
        await fleet.change(limits=limits, size=size)
        for child in fleet.children:
            if fleet.rng.random() < 0.5:
                child.send_signal(signal.SIGHUP)
        await asyncio.sleep(CHANGE_INTERVAL)


async def _silence_often(fleet, until):
    """Let one endpoint fall silent, or several at once or in a row."""
    while time.monotonic() < until:
        count = fleet.rng.choice([1, 2, 2, 3, len(fleet.endpoints)])
        gap = fleet.rng.choice([0.0, 0.2, 1.0, 1.3])
        gap = 0.0 if count > 3 else gap
        for name in fleet.rng.sample(sorted(fleet.endpoints), count):
            fleet.endpoints[name].silence()
            await asyncio.sleep(gap)
        await asyncio.sleep(fleet.rng.uniform(1.0, 3.0))


async def _crash(fleet, after):
    """Kill an instance after some seconds."""
    await asyncio.sleep(after)
    fleet.children[0].kill()


async def _play(seed, seconds, folder, half_closed, has_crash):
    options = {"seed": seed, "log_folder": folder, "half_closed": half_closed}
    async with SilenceFleet(size=INSTANCES, **options) as fleet:
        await asyncio.sleep(WARM_UP)
        until = time.monotonic() + seconds
        callers = [
            KeptCaller(
                fleet=fleet, label=f"c{number}", rng=random.Random(f"{seed}/{number}")
            )
            for number in range(CALLERS)
        ]
        crashes = [_crash(fleet, seconds / 2)] if has_crash else []
        await asyncio.gather(
            _change_often(fleet, until),
            _silence_often(fleet, until),
            *crashes,
            *(caller.run(until) for caller in callers),
        )
        ended = [child.returncode for child in fleet.children if child.poll()]
        if len(ended) > has_crash:
            raise RuntimeError(f"instances ended with {ended}")
    return PlayResult(fleet.answers, read_decisions(folder))


def play(*, seed, seconds, folder, half_closed=0.0, has_crash=False):
    """Play one seed and return its PlayResult.

    Parameters
    ----------
    seed : int
    seconds : float
    folder : pathlib.Path
        Where the decision logs are kept.
    half_closed : float, optional
        As of SilenceFleet.
    has_crash : bool, optional
        Whether an instance is killed halfway.

    Raises
    ------
    RuntimeError
        If an instance has ended by itself.
    """
    return asyncio.run(_play(seed, seconds, folder, half_closed, has_crash))
