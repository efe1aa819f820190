"""Tests of real processes of which some reach no endpoint."""

import asyncio

import pytest

from wagtailfront.programs.tests.loopback_proxy import HANG, REFUSE, RESET
from wagtailfront.programs.tests.process_fleet import ProcessFleet
from wagtailfront.programs.tests.reach_checker import FirstTry, find_worse_served

SIZE, CUT_OFF = 4, (0, 1)
CUT_SECONDS, AFTER_SECONDS = 7.0, 3.0
CALL_GAP = 0.08  # seconds between the calls at one instance
ROUTE = {"timeout-ms": 1500, "target-latency-ms": 200, "max-attempts": 2}
PATHS = ("/a/x", "/stream/x")


class CutPlay:
    """Calls all instances while some of them are cut off.

    Parameters
    ----------
    fleet : ProcessFleet
    """

    def __init__(self, *, fleet):
        self.fleet = fleet
        self.tries = []
        self.is_over = False
        self.loop = asyncio.get_running_loop()

    async def run(self, how):
        """Cut instances off, then let them reach the endpoints again."""
        for instance in range(SIZE):
            await self._call(instance, PATHS[0])  # leaves a connection open
        begins = self.loop.time()
        await self._change_links(lambda link: link.cut(how))
        calls = [
            asyncio.ensure_future(self._call_often(instance))
            for instance in range(SIZE)
        ]
        await asyncio.sleep(CUT_SECONDS)
        ends = self.loop.time()
        await self._change_links(lambda link: link.heal())
        # Counted from here, as a busy machine may end the cut late.
        await asyncio.sleep(AFTER_SECONDS)
        self.is_over = True
        await asyncio.gather(*calls)
        return begins, ends

    async def _change_links(self, change):
        for number in CUT_OFF:
            for link in self.fleet.endpoint_links[number].values():
                await change(link)

    async def _call_often(self, instance):
        calls = []
        while not self.is_over:
            path = PATHS[len(calls) % len(PATHS)]
            calls.append(asyncio.ensure_future(self._call(instance, path)))
            await asyncio.sleep(CALL_GAP)
        await asyncio.gather(*calls)

    async def _call(self, instance, path):
        sent_at = self.loop.time()
        _request, status, data = await self.fleet.call(instance, path)
        is_whole = data.endswith((b"ok", b"0\r\n\r\n"))
        self.tries.append(FirstTry(sent_at, instance, status == 200 and is_whole))


async def _play(how):
    async with ProcessFleet(
        size=SIZE, seed=1, cut_off=CUT_OFF, limit=1.5, route=ROUTE
    ) as fleet:
        await asyncio.sleep(3.0)
        play = CutPlay(fleet=fleet)
        begins, ends = await play.run(how)
        return play.tries, begins, ends


@pytest.mark.parametrize("how", [HANG, RESET, REFUSE])
def test_callers_of_instances_without_endpoints_are_served(how):
    """Guards callers whose instance has lost its links to all endpoints."""
    tries, begins, ends = asyncio.run(_play(how))
    found = find_worse_served(tries, cut_off=CUT_OFF, begins=begins, ends=ends)
    assert found == ""
    after = [t for t in tries if t.sent_at > ends + 1.0 and t.instance in CUT_OFF]
    assert len(after) > 20
    assert sum(t.is_served for t in after) >= 0.9 * len(after)


def test_the_check_finds_instances_that_refuse_all():
    """Guards the check itself: a planted fault must be found."""
    tries = [FirstTry(5.0, number % 2, number % 2 == 1) for number in range(60)]
    found = find_worse_served(tries, cut_off=(0,), begins=0.0, ends=9.0)
    assert found == "0 of 30 served at cut instances, 30 of 30 at others"
