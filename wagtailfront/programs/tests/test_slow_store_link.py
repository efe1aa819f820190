"""Test of a real process whose link to the store is slow."""

import asyncio

from wagtailfront.programs.tests.loopback_proxy import HANG
from wagtailfront.programs.tests.process_fleet import ProcessFleet

LINK = 10e6 / 8  # bytes per second
STABLE_WINDOW = 3.0  # seconds from the end of a cut until changes are in force
ROUTES, CHANGES, CHANGE_GAP = 1500, 30, 0.25


async def _play():
    async with ProcessFleet(size=2, seed=1, store_links={0: LINK}) as fleet:
        await asyncio.sleep(2.0)
        link = fleet.store_links[0]
        await link.cut(HANG)
        many = [f"/r{number}/" for number in range(ROUTES)]
        for change in range(CHANGES):
            await fleet.configure(2 + change, "/a/", "/stream/", "/new/", *many)
            await asyncio.sleep(CHANGE_GAP)
        await link.heal()
        await asyncio.sleep(STABLE_WINDOW)
        answers = [await fleet.call(number, "/new/x") for number in range(2)]
        return [status for _request, status, _data in answers]


def test_routes_added_during_a_cut_are_served_soon_after_it():
    """Guards against a gap whose answer takes longer than it may."""
    assert asyncio.run(_play()) == [200, 200]
