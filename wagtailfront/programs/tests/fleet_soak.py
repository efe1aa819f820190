"""Plays of real processes whose connections to the store fall silent."""

import asyncio
from typing import NamedTuple

from wagtailfront.programs.tests.process_fleet import ProcessFleet

__all__ = ["SoakResult", "play"]

WARM_UP = 6.0  # seconds until the watches of the instances are spread
ROUNDS, ROUND_SECONDS = 6, 1.0
TAKE_UPS, TAKE_UP_GAP = 150, 0.02
IN_FORCE = 3.05  # seconds from the silence until the rules hold


class SoakResult(NamedTuple):
    """Outcome of one play."""

    violations: list
    requests: int
    streams: int


async def _check_versions(fleet):
    """Let engines of a new version join, and take streams up elsewhere."""
    for number in range(4):
        await fleet.add_endpoint(f"n{number}", "v2")
    streams = []
    for _ in range(TAKE_UPS):
        begin_at, resume_at = fleet.rng.sample(range(fleet.size), 2)
        streams.append(asyncio.ensure_future(fleet.take_up(begin_at, resume_at)))
        await asyncio.sleep(TAKE_UP_GAP)
    await asyncio.gather(*streams)


async def _check_changes(fleet, silent_at):
    """Let an endpoint leave and add a route, then call all instances."""
    await asyncio.sleep(fleet.rng.choice([0.1, 0.5, 0.9]))
    await fleet.remove("e0", says_so=fleet.rng.random() < 0.5)
    await fleet.configure(2, "/a/", "/stream/", "/new/")
    loop = asyncio.get_running_loop()
    await asyncio.sleep(silent_at + IN_FORCE - loop.time())
    for _ in range(ROUNDS):
        await asyncio.gather(
            *(
                fleet.call_each(path, seconds=ROUND_SECONDS)
                for path in ("/a/x", "/new/x")
            )
        )


async def _play(size, seed, has_trouble):
    async with ProcessFleet(size=size, seed=seed) as fleet:
        await asyncio.sleep(WARM_UP + 3 * fleet.rng.random())
        silent_at = asyncio.get_running_loop().time()
        if has_trouble:
            fleet.silence()
        await asyncio.gather(_check_versions(fleet), _check_changes(fleet, silent_at))
        checker = fleet.checker
        served = sum(status == 200 for status in checker.statuses.values())
        return SoakResult(checker.find_violations(), served, len(checker.versions))


def play(*, size, seed, has_trouble=True):
    """Play one seed with `size` instances and return its SoakResult."""
    return asyncio.run(_play(size, seed, has_trouble))
