"""Test of a real process before callers that want more than its memory.

These tests run one at a time, also in several workers, since each sends as
much as a processor handles and keeps hundreds of megabytes in its crowd.
"""

import fcntl
import pathlib
import signal
import tempfile
import time

import pytest

from wagtailfront.programs.tests.caller_crowd import CROWDS, CrowdRun
from wagtailfront.programs.tests.forward_site import (
    REQUEST,
    ForwardSite,
    free_port,
    read_answer,
)

LOCK = pathlib.Path(tempfile.gettempdir()) / "wagtailfront-callers-memory.lock"
MEGABYTE = 1_000_000
KIB = 1024
MAX_DESCRIPTORS = 250  # open; the crowd, as many to endpoints, and its own
FROZEN_SECONDS = 2.0  # less than a caller waits for a piece to be taken
UNREAD_SECONDS = 1.0  # until answers that are not read have piled up


@pytest.fixture(autouse=True)
def alone():
    """Wait until no other test of this module runs."""
    with LOCK.open("w") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


def peak_memory(pid):
    """Return the largest resident size of a process in bytes."""
    lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    (line,) = (line for line in lines if line.startswith("VmHWM:"))
    return int(line.split()[1]) * KIB


def open_descriptors(pid):
    """Return the number of descriptors that a process has open."""
    return len(list(pathlib.Path(f"/proc/{pid}/fd").iterdir()))


@pytest.fixture
def start(process, tmp_path):
    """Return a function that starts an instance for a crowd."""
    sites = []

    def begin(crowd):
        site = ForwardSite([crowd.endpoint])
        sites.append(site)
        site.ports["proxy"] = free_port()
        site.change(limits=crowd.limits)
        settings = tmp_path / "settings"
        settings.write_text(f"limits.memory-mb={crowd.memory_mb}\n")
        return site, process(site, settings=str(settings))

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


def check_bounds(name, site, child):
    """Check what an instance takes, and that it serves another caller."""
    crowd = CROWDS[name]
    descriptors = open_descriptors(child.pid)
    with site.connect() as connection:
        connection.sendall(REQUEST % b"ordinary")
        answer = read_answer(connection)
    peak = peak_memory(child.pid)
    print(f"{name}: peak {peak / MEGABYTE:.1f} MB, {descriptors} descriptors")
    assert child.poll() is None
    assert answer == (b"HTTP/1.1 200 OK", b"ok")
    assert descriptors < MAX_DESCRIPTORS
    assert peak < crowd.memory_mb * MEGABYTE
