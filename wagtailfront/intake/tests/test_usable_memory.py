"""Tests of the memory that a process may take."""

import resource

import pytest

from wagtailfront.intake.usable_memory import DEFAULT_MEMORY, usable_memory

KIB = 1024
MIB = 1024 * KIB
MACHINE = 4096 * MIB
UNLIMITED = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)


@pytest.fixture
def machine(tmp_path, monkeypatch):
    """Return a function that describes a machine and asks it."""
    limits = {}
    monkeypatch.setattr(resource, "getrlimit", lambda kind: limits.get(kind, UNLIMITED))
    folder, groups = tmp_path / "proc", tmp_path / "cgroup"
    (folder / "self").mkdir(parents=True)
    (folder / "meminfo").write_text(f"MemFree: 1 kB\nMemTotal:  {MACHINE // KIB} kB\n")
    status = f"VmSize: {300 * KIB} kB\nVmRSS: {40 * KIB} kB\nVmData: {30 * KIB} kB\n"
    (folder / "self" / "status").write_text(status)

    def ask(*, group="", files=(), **resources):
        (folder / "self" / "cgroup").write_text(group)
        for name, text in dict(files).items():
            path = groups / name
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(text)
        limits.clear()
        for name, limit in resources.items():
            limits[getattr(resource, name)] = (limit, resource.RLIM_INFINITY)
        return usable_memory(proc=folder, control_groups=groups)

    ask.folder = folder
    return ask


def test_without_limits_it_is_that_of_the_machine(machine):
    """Guards the memory of machines with one process."""
    files = {"a/memory.max": "max\n", "a/b/memory.max": "max\n"}
    assert machine(group="0::/a/b\n", files=files) == MACHINE


@pytest.mark.parametrize("text", [None, "MemTotal: much\n", "MemTotal: much kB\n"])
def test_a_machine_that_does_not_say_its_memory(text, machine):
    """Guards a start where /proc/meminfo is missing or of another form."""
    path = machine.folder / "meminfo"
    if text is None:
        path.unlink()
    else:
        path.write_text(text)
    assert machine() == DEFAULT_MEMORY


@pytest.mark.parametrize(
    ("group", "name"),
    [
        ("0::/a/b\n", "a/b/memory.max"),
        ("0::/a/b\n", "a/memory.max"),
        ("1:cpu:/x\n4:memory:/a\n", "memory/a/memory.limit_in_bytes"),
    ],
    ids=["own", "parent", "first version"],
)
def test_the_limit_of_a_control_group_is_kept(group, name, machine):
    """Guards a process whose group has less than its host."""
    assert machine(group=group, files={name: f"{200 * MIB}\n"}) == 200 * MIB


def test_a_resource_limit_leaves_what_is_not_in_use(machine):
    """Guards a process before allocations that fail."""
    # 100 MiB beside 30 MiB of data and 24 MB for threads, and 40 MiB resident.
    limit = 130 * MIB + 24_000_000
    assert machine(RLIMIT_DATA=limit) == 140 * MIB
    assert machine(RLIMIT_AS=400 * MIB + 160_000_000) == 140 * MIB
    assert machine(RLIMIT_DATA=0) == 40 * MIB
