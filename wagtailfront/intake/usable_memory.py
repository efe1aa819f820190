"""How much memory a process may take on its machine."""

import logging
import pathlib
import resource

__all__ = ["usable_memory"]

logger = logging.getLogger(__name__)

MEGABYTE = 1_000_000
KIB = 1024
DEFAULT_MEMORY = 256 * MEGABYTE  # where the machine does not say
PROC = pathlib.Path("/proc")
CONTROL_GROUPS = pathlib.Path("/sys/fs/cgroup")
# The line of the process's status that each limit bounds, and what threads
# that start later take of it: their stacks, and the heaps that the allocator
# reserves for them.
LIMITS = {
    resource.RLIMIT_DATA: ("VmData", 24 * MEGABYTE),
    resource.RLIMIT_AS: ("VmSize", 160 * MEGABYTE),
}


def usable_memory(*, proc=PROC, control_groups=CONTROL_GROUPS):
    """Return the bytes that this process may take.

    The smallest of the machine's memory, the limits of the process's control
    groups, and what its resource limits leave beside what it takes now.

    Parameters
    ----------
    proc, control_groups : Path, optional
        Folders of the forms of /proc and /sys/fs/cgroup.
    """
    sizes = read_sizes(proc / "self" / "status")
    machine = read_sizes(proc / "meminfo").get("MemTotal", DEFAULT_MEMORY)
    bounds = [
        machine,
        *control_group_limits(proc / "self" / "cgroup", control_groups),
        *resource_limits(sizes),
    ]
    return min(bounds)


def read_sizes(path):
    """Return the sizes in bytes of a page whose lines are `name: N kB`."""
    try:
        fields = [line.split() for line in path.read_text().splitlines()]
        return {
            words[0].rstrip(":"): int(words[1]) * KIB
            for words in fields
            if len(words) == 3 and words[2] == "kB"
        }
    except (OSError, ValueError) as error:
        logger.warning("[intake] %s does not say the memory: %r", path, error)
        return {}


def resource_limits(sizes):
    """Yield the memory that each resource limit permits."""
    for kind, (name, later) in LIMITS.items():
        limit, _hard = resource.getrlimit(kind)
        if limit != resource.RLIM_INFINITY and name in sizes:
            yield max(0, limit - sizes[name] - later) + sizes.get("VmRSS", 0)


def control_group_limits(path, folder):
    """Yield the limits of the process's control groups and their parents.

    Parameters
    ----------
    path : Path
        Page that names the groups, see cgroups(7).
    folder : Path
        Where the groups of both versions are.
    """
    try:
        lines = path.read_text().splitlines()
    except OSError:  # a kernel without control groups
        return
    for line in lines:
        _number, controllers, group = line.split(":", 2)
        if controllers == "":
            top, name = folder, "memory.max"
        elif "memory" in controllers.split(","):
            top, name = folder / "memory", "memory.limit_in_bytes"
        else:
            continue
        inner = top / group.lstrip("/")
        for each in (inner, *inner.parents):
            if each.is_relative_to(top):
                yield from read_limit(each / name)


def read_limit(path):
    """Yield the number in a file, if it has one."""
    try:
        yield int(path.read_text())
    except (OSError, ValueError):  # the root has no such file; "max" is no limit
        return
