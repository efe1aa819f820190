"""Plays of real processes that lose their links to endpoints, by seeds."""

import asyncio

from wagtailfront.programs.tests.fleet_soak import SoakResult
from wagtailfront.programs.tests.loopback_proxy import HANG, REFUSE, RESET
from wagtailfront.programs.tests.process_fleet import ProcessFleet

__all__ = ["play_cuts"]

WARM_UP = 3.0  # seconds until the instances know each other
CUTS, MAX_CUT_SECONDS, MAX_CALM_SECONDS = 4, 3.0, 1.0
CALL_GAP = 0.05  # seconds between the calls at one instance
ROUTE = {"timeout-ms": 1500, "target-latency-ms": 200, "max-attempts": 2}
PATHS = ("/a/", "/stream/", "/order/")
LEAVING_SHARE = 0.1  # of the callers of streams


async def _cut_links(fleet):
    """Cut random instances off from random endpoints, several at once."""
    rng = fleet.rng
    for _ in range(CUTS):
        links = [
            link
            for number in rng.sample(range(fleet.size), rng.randint(1, fleet.size - 1))
            for link in fleet.endpoint_links[number].values()
            if rng.random() < 0.95
        ]
        how = rng.choice([HANG, RESET, REFUSE])
        for link in links:
            await link.cut(how)
        await asyncio.sleep(rng.uniform(0.5, MAX_CUT_SECONDS))
        for link in links:
            await link.heal()
        await asyncio.sleep(rng.uniform(0.0, MAX_CALM_SECONDS))


async def _call_instance(fleet, instance, is_over):
    calls = []
    while not is_over.is_set():
        path = fleet.rng.choice(PATHS)
        leaves = path == "/stream/" and fleet.rng.random() < LEAVING_SHARE
        call = fleet.call(instance, f"{path}{len(calls)}", events=3 if leaves else None)
        calls.append(asyncio.ensure_future(call))
        await asyncio.sleep(CALL_GAP)
    await asyncio.gather(*calls)


async def _play(size, seed):
    fleet = ProcessFleet(
        size=size, seed=seed, cut_off=range(size), limit=1.5, route=ROUTE
    )
    async with fleet:
        await fleet.configure(2, *PATHS)
        await asyncio.sleep(WARM_UP)
        is_over = asyncio.Event()
        calls = [
            asyncio.ensure_future(_call_instance(fleet, number, is_over))
            for number in range(size)
        ]
        await _cut_links(fleet)
        is_over.set()
        await asyncio.gather(*calls)
        checker = fleet.checker
        served = sum(status == 200 for status in checker.statuses.values())
        streams = sum(
            path.startswith("/stream")
            for _at, _instance, path in checker.requests.values()
        )
        return SoakResult(checker.find_violations(), served, streams)


def play_cuts(*, size, seed, has_trouble=True):
    """Play one seed with `size` instances and return its SoakResult.

    Always with trouble; `has_trouble` is as of the other play.
    """
    return asyncio.run(_play(size, seed))
