"""What a process takes of its machine, and tests that run alone."""

import contextlib
import fcntl
import pathlib
import tempfile

__all__ = [
    "MEGABYTE",
    "alone",
    "data_size",
    "open_descriptors",
    "peak_memory",
    "unread_bytes",
]

LOCK = pathlib.Path(tempfile.gettempdir()) / "wagtailfront-callers-memory.lock"
SOCKETS = pathlib.Path("/proc/net/tcp")
MEGABYTE = 1_000_000
KIB = 1024


@contextlib.contextmanager
def alone():
    """Wait until no other test with a crowd runs, also in other workers."""
    with LOCK.open("w") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


def peak_memory(pid):
    """Return the largest resident size of a process in bytes."""
    return status_size(pid, "VmHWM")


def data_size(pid):
    """Return the bytes of a process that count for RLIMIT_DATA."""
    return status_size(pid, "VmData")


def status_size(pid, name):
    """Return a size of a process's status page in bytes."""
    lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    (line,) = (line for line in lines if line.startswith(f"{name}:"))
    return int(line.split()[1]) * KIB


def open_descriptors(pid):
    """Return the number of descriptors that a process has open."""
    return len(list(pathlib.Path(f"/proc/{pid}/fd").iterdir()))


def unread_bytes(port):
    """Return the bytes in receive buffers of connections to a local port."""
    rows = [line.split() for line in SOCKETS.read_text().splitlines()[1:]]
    return sum(
        int(queues.partition(":")[2], 16)
        for _number, local, _remote, state, queues, *_rest in rows
        if int(local.partition(":")[2], 16) == port and state != "0A"  # listening
    )
