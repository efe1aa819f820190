"""Test of a real process before callers that want more than its memory.

These tests run one at a time, also in several workers, since each sends as
much as a processor handles and keeps hundreds of megabytes in its crowd.
"""

import signal
import time

import pytest

from wagtailfront.programs.tests.caller_crowd import (
    CROWDS,
    Crowd,
    CrowdRun,
    body_in_pieces,
    large_chunks,
    length_head,
    whole_body,
)
from wagtailfront.programs.tests.forward_site import (
    REQUEST,
    ForwardSite,
    free_port,
    read_answer,
)
from wagtailfront.programs.tests.process_bounds import (
    MEGABYTE,
    alone,
    data_size,
    open_descriptors,
    peak_memory,
    unread_bytes,
)

MAX_DESCRIPTORS = 250  # open; the crowd, as many to endpoints, and its own
DATA_HEADROOM = 100 * MEGABYTE  # that a limit of the process leaves
USABLE_SHARE = 0.75  # of the headroom, until allocations may fail
FROZEN_SECONDS = 2.0  # less than a caller waits for a piece to be taken
UNREAD_SECONDS = 1.0  # until answers that are not read have piled up


@pytest.fixture(autouse=True)
def one_at_a_time():
    """Keep tests with crowds apart."""
    with alone():
        yield


@pytest.fixture
def start(process, tmp_path):
    """Return a function that starts an instance for a crowd."""
    sites = []

    def begin(crowd, **options):
        site = ForwardSite([crowd.endpoint])
        sites.append(site)
        site.ports["proxy"] = free_port()
        site.change(limits=crowd.limits)
        if crowd.memory_mb is not None:
            settings = tmp_path / "settings"
            settings.write_text(f"limits.memory-mb={crowd.memory_mb}\n")
            options["settings"] = str(settings)
        return site, process(site, **options)

    yield begin
    for site in sites:
        site.close()


@pytest.mark.parametrize("name", CROWDS)
def test_a_crowd_leaves_memory_and_other_requests(name, start):
    """Guards an instance's memory, and other callers, against one kind."""
    crowd = CROWDS[name]
    site, child = start(crowd)
    run = CrowdRun(crowd, ("127.0.0.1", site.ports[crowd.port]))
    run.send()
    time.sleep(UNREAD_SECONDS)
    check_bounds(name, site, child)
    run.close()


@pytest.mark.parametrize("name", ["bodies-in-pieces", "endless-chunks"])
def test_an_instance_that_was_frozen_keeps_the_bound(name, start):
    """Guards against reading all at once what has piled up."""
    crowd = CROWDS[name]
    site, child = start(crowd)
    child.send_signal(signal.SIGSTOP)
    run = CrowdRun(crowd, ("127.0.0.1", site.ports[crowd.port]))
    run.begin()
    time.sleep(FROZEN_SECONDS)
    child.send_signal(signal.SIGCONT)
    run.wait()
    check_bounds(name, site, child)
    run.close()


def test_a_frozen_instance_keeps_the_bound_in_the_kernel(start):
    """Guards the machine against what waits unread in sockets' buffers."""
    crowd = Crowd(body_in_pieces, callers=400, memory_mb=80)
    site, child = start(crowd)
    child.send_signal(signal.SIGSTOP)
    with CrowdRun(crowd, ("127.0.0.1", site.ports["callers"])) as run:
        run.begin()
        time.sleep(FROZEN_SECONDS)
        unread = unread_bytes(site.ports["callers"])
        print(f"kernel: {unread / MEGABYTE:.1f} MB unread")
        assert unread + peak_memory(child.pid) < crowd.memory_mb * MEGABYTE
        child.send_signal(signal.SIGCONT)
        run.wait()
        check_ordinary_request(site, child)


def test_the_largest_legal_body_fits_in_calm(start):
    """Guards one body of the limit, alone, against a copy of it."""
    size = 64 * 1024 * 1024
    crowd = Crowd(whole_body, limits={"max-body-bytes": size}, memory_mb=160)
    site, child = start(crowd)
    with site.connect() as connection:
        connection.sendall(length_head(size))
        connection.sendall(b"x" * size)
        status, _body = read_answer(connection)
    print(f"one body: peak {peak_memory(child.pid) / MEGABYTE:.1f} MB")
    assert status == b"HTTP/1.1 200 OK"
    assert peak_memory(child.pid) < crowd.memory_mb * MEGABYTE
    check_ordinary_request(site, child)


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_a_body_that_can_never_fit_is_refused(framing, start):
    """Guards memory if the configuration permits more than fits."""
    size = 400 * 1024 * 1024
    kind = {"length": whole_body, "chunks": large_chunks}[framing]
    crowd = Crowd(kind, size, 1, limits={"max-body-bytes": size}, memory_mb=160)
    site, child = start(crowd)
    with CrowdRun(crowd, ("127.0.0.1", site.ports["callers"])) as run:
        run.send()
        (sock,) = run.sockets
        assert sock.recv(12) == b"HTTP/1.1 413"
        assert peak_memory(child.pid) < crowd.memory_mb * MEGABYTE
        check_ordinary_request(site, child)


def test_the_limit_of_the_process_counts_as_its_memory(start):
    """Guards a process whose limit is smaller than its machine."""
    crowd = Crowd(body_in_pieces, callers=120, memory_mb=None)
    site, child = start(crowd)
    idle, limit = peak_memory(child.pid), data_size(child.pid) + DATA_HEADROOM
    child.kill()
    child.wait()
    site, child = start(crowd, data_limit=limit)
    with CrowdRun(crowd, ("127.0.0.1", site.ports["callers"])) as run:
        run.send()
        check_ordinary_request(site, child)
    used = peak_memory(child.pid) - idle
    print(f"beyond an idle process: {used / MEGABYTE:.1f} MB")
    assert used < DATA_HEADROOM * USABLE_SHARE


def check_ordinary_request(site, child):
    """Check that an instance lives and serves another caller."""
    with site.connect() as connection:
        connection.sendall(REQUEST % b"ordinary")
        answer = read_answer(connection)
    assert child.poll() is None
    assert answer == (b"HTTP/1.1 200 OK", b"ok")


def check_bounds(name, site, child):
    """Check what an instance takes, and that it serves another caller."""
    crowd = CROWDS[name]
    descriptors = open_descriptors(child.pid)
    check_ordinary_request(site, child)
    peak = peak_memory(child.pid)
    print(f"{name}: peak {peak / MEGABYTE:.1f} MB, {descriptors} descriptors")
    assert descriptors < MAX_DESCRIPTORS
    assert peak < crowd.memory_mb * MEGABYTE
