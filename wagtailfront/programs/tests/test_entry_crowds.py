"""Test of an entry instance before callers that want more than its memory."""

import time

import pytest

from wagtailfront.programs.tests.caller_crowd import CROWDS, CrowdRun
from wagtailfront.programs.tests.entry_site import EntrySite
from wagtailfront.programs.tests.process_bounds import (
    MEGABYTE,
    alone,
    open_descriptors,
    peak_memory,
)

MIB = 1024 * 1024
MEMORY_MB = 160
MAX_DESCRIPTORS = 250
UNREAD_SECONDS = 1.0  # until answers that are not read have piled up
# Bytes of a body that a port permits.
SIZES = {"callers": 8 * MIB, "operators": 2 * MIB}
AT_CALLERS = (
    "whole-bodies",
    "bodies-in-pieces",
    "large-chunks",
    "tiny-chunks",
    "announced-too-large",
    "endless-chunks",
    "endless-trailers",
    "pipelined",
    "unread-answers",
    "long-heads",
)
AT_OPERATORS = ("bodies-in-pieces", "large-chunks", "tiny-chunks", "endless-chunks")
CASES = [("callers", name) for name in AT_CALLERS]
CASES += [("operators", name) for name in AT_OPERATORS]


@pytest.fixture(autouse=True)
def one_at_a_time():
    """Keep tests with crowds apart."""
    with alone():
        yield


@pytest.fixture
def site(tmp_path):
    return EntrySite(folder=tmp_path)


@pytest.mark.parametrize(("port", "name"), CASES)
def test_a_crowd_leaves_memory_callers_and_operators(port, name, site):
    """Guards an entry instance's memory, callers and operators."""
    crowd = CROWDS[name]
    size = max(crowd.size * SIZES[port] // (4 * MIB), 65536)
    memory = MEMORY_MB * MEGABYTE
    with site.run(memory=str(memory)) as child:
        run = CrowdRun(crowd._replace(size=size), ("127.0.0.1", site.ports[port]))
        run.send()
        time.sleep(UNREAD_SECONDS)
        descriptors = open_descriptors(child.pid)
        assert site.is_well("live")
        assert site.order() == (200, b"hi")
        peak = peak_memory(child.pid)
        run.close()
        print(f"{port} {name}: {peak / MEGABYTE:.1f} MB, {descriptors} descriptors")
        assert child.poll() is None
        assert descriptors < MAX_DESCRIPTORS
        assert peak < memory


def test_the_largest_legal_body_is_served_in_calm(site):
    """Guards the largest body inside the limits, with its echo."""
    body = b"x" * (SIZES["callers"] - 1)
    with site.run(memory=str(MEMORY_MB * MEGABYTE)) as child:
        assert site.order(body) == (200, body)
        assert peak_memory(child.pid) < MEMORY_MB * MEGABYTE
