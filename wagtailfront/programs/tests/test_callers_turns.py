"""Test of callers beside a crowd that occupies connections or time."""

import contextlib
import itertools

import pytest

from wagtailfront.programs.tests.caller_crowd import (
    ChunkFlood,
    ReturningCrowd,
    answer_late,
    open_connections,
)
from wagtailfront.programs.tests.entry_site import EntrySite
from wagtailfront.programs.tests.forward_site import (
    REQUEST,
    ForwardSite,
    free_port,
    read_answer,
)
from wagtailfront.programs.tests.process_bounds import (
    MEGABYTE,
    alone,
    open_descriptors,
    peak_memory,
)

MEMORY = 160 * MEGABYTE
ORDINARY = 3  # requests in a row
FLOOD_CALLERS = 1000
RETURNING = 60  # callers that come back
MANY = 10_000  # ordinary requests, until so many have come back
LEGAL = 4 * 1024 * 1024  # bytes of a body
# Of a forwarding instance; 1,200 of them are not for callers.
CONNECTIONS = 300
MAX_DESCRIPTORS = 1200 + CONNECTIONS
ENTRY_CONNECTIONS = 2000
PART_OF_A_HEAD = b"POST /services/orders/a HTTP/1.1\r\nHos"


@pytest.fixture(autouse=True)
def one_at_a_time():
    """Keep tests with crowds apart."""
    with alone():
        yield


@contextlib.contextmanager
def running_forward(process, tmp_path, **options):
    """Run a forwarding instance; yield its site, process and a request."""
    site = ForwardSite([answer_late])
    site.ports["proxy"] = free_port()

    def ask():
        with site.connect() as connection:
            connection.sendall(REQUEST % b"ordinary")
            return read_answer(connection) == (b"HTTP/1.1 200 OK", b"ok")

    with contextlib.closing(site):
        yield site, process(site, memory=str(MEMORY), **options), ask


@contextlib.contextmanager
def running_entry(process, tmp_path, **options):
    """Run an entry instance; yield its site, process and a request."""
    site = EntrySite(folder=tmp_path)
    with site.run(memory=str(MEMORY)) as child:
        yield site, child, lambda: site.order() == (200, b"hi")


PROGRAMS = {"forward": running_forward, "entry": running_entry}


@pytest.mark.parametrize("program", PROGRAMS)
def test_callers_are_answered_while_tiny_chunks_arrive(program, process, tmp_path):
    """Guards ordinary callers against bodies that are dear to read."""
    with PROGRAMS[program](process, tmp_path) as (site, child, ask):
        address = ("127.0.0.1", site.ports["callers"])
        with ChunkFlood(address=address, callers=FLOOD_CALLERS) as flood:
            assert all(ask() for _request in range(ORDINARY))
            assert not flood.has_ended
        assert child.poll() is None
        assert peak_memory(child.pid) < MEMORY


@pytest.mark.parametrize("program", PROGRAMS)
def test_callers_are_answered_beside_a_crowd_that_returns(program, process, tmp_path):
    """Guards memory and callers against refused ones that come back."""
    with PROGRAMS[program](process, tmp_path) as (site, child, ask):
        address = ("127.0.0.1", site.ports["callers"])
        with ReturningCrowd(address=address, callers=RETURNING, size=LEGAL) as crowd:
            answers = (ask() for _request in range(MANY))
            assert all(
                itertools.takewhile(lambda _: crowd.returned < RETURNING, answers)
            )
            assert crowd.returned >= RETURNING
            assert open_descriptors(child.pid) < 2 * RETURNING + 100
        assert ask()
        assert child.poll() is None
        assert peak_memory(child.pid) < MEMORY


@pytest.mark.parametrize("first", [b"", PART_OF_A_HEAD], ids=["idle", "part of a head"])
@pytest.mark.parametrize("program", PROGRAMS)
def test_callers_are_answered_beyond_the_connection_limit(
    program, first, process, tmp_path
):
    """Guards ordinary callers against connections that ask for nothing."""
    options = {"max_descriptors": str(MAX_DESCRIPTORS)}
    limit = {"forward": CONNECTIONS, "entry": ENTRY_CONNECTIONS}[program]
    with PROGRAMS[program](process, tmp_path, **options) as (site, child, ask):
        address = ("127.0.0.1", site.ports["callers"])
        crowd = open_connections(address, 2 * limit, first)
        assert all(ask() for _request in range(ORDINARY))
        assert open_descriptors(child.pid) < limit + 100
        assert child.poll() is None
        assert peak_memory(child.pid) < MEMORY
        for sock in crowd:
            sock.close()
