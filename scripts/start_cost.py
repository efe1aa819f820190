"""Processor time of a start, beside that of an earlier commit."""

import contextlib
import os
import pathlib
import socket
import statistics
import subprocess
import sys
import tarfile
import tempfile
import time

ROOT = pathlib.Path(__file__).parents[1]
EARLIER = "366d8ff"
RUNS = 7
TIMEOUT = 30.0  # seconds
NS_PER_SECOND = 1e9
PORTS = {"callers": 0, "status": 1, "store": 2, "peers": 3}


def free_ports(count):
    """Return ports that nothing listens on."""
    with contextlib.ExitStack() as stack:
        servers = [
            stack.enter_context(socket.create_server(("127.0.0.1", 0)))
            for _number in range(count)
        ]
        return [server.getsockname()[1] for server in servers]


def processor_seconds(pid):
    """Return the processor time of a process so far in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/schedstat").read_text().split()
    return int(fields[0]) / NS_PER_SECOND


def wait_until_accepted(port, process):
    """Return once the process accepts connections."""
    deadline = time.monotonic() + TIMEOUT
    while time.monotonic() < deadline and process.poll() is None:
        with contextlib.suppress(OSError):
            socket.create_connection(("127.0.0.1", port), timeout=1.0).close()
            return
        time.sleep(0.002)
    raise SystemExit("the process does not accept connections")


def measure_start(source):
    """Return the processor seconds from a start to the first connection.

    Parameters
    ----------
    source : Path
        Folder with the package, whose modules have been compiled.
    """
    ports = free_ports(len(PORTS))
    settings = {
        "INSTANCE": "i1",
        "DATA_CENTRE": "dc",
        **{
            name.upper(): f"127.0.0.1:{ports[number]}" for name, number in PORTS.items()
        },
    }
    # Set as the platform does: the parser of flags takes time of its own.
    variables = {f"WAGTAILFRONT_{name}": value for name, value in settings.items()}
    process = subprocess.Popen(
        [sys.executable, "-m", "wagtailfront.programs.forward"],
        cwd=source,
        env={**os.environ, **variables, "PYTHONPATH": str(source)},
        stdout=subprocess.DEVNULL,
    )
    try:
        wait_until_accepted(ports[PORTS["callers"]], process)
        return processor_seconds(process.pid)
    finally:
        process.kill()
        process.wait()


def extract(commit, folder):
    """Write the package of a commit to a folder; return if it is known."""
    archive = folder / "source.tar"
    command = ["git", "archive", "-o", archive, commit, "wagtailfront"]
    if subprocess.run(command, cwd=ROOT, capture_output=True).returncode != 0:
        return False
    with tarfile.open(archive) as opened:
        opened.extractall(folder, filter="data")
    return True


def main():
    """Print the processor time of a start of both commits, and their ratio."""
    with tempfile.TemporaryDirectory() as name:
        earlier = pathlib.Path(name)
        if not extract(EARLIER, earlier):
            print(f"start: commit {EARLIER} is not in the history; not measured")
            return
        for folder in (earlier, ROOT):
            command = [sys.executable, "-m", "compileall", "-q", "wagtailfront"]
            subprocess.run(command, cwd=folder, check=True)
        # In turn, so that other load on the machine affects both alike.
        pairs = [(measure_start(earlier), measure_start(ROOT)) for _ in range(RUNS)]
    before, now = map(statistics.median, zip(*pairs, strict=True))
    print(f"start: {now:.3f} s of processor time to the first accepted connection;")
    print(f"  {before:.3f} s at {EARLIER}; ratio {now / before:.2f} (target 0.25)")


if __name__ == "__main__":
    main()
