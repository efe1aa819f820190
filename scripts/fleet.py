"""Start and stop the processes of a deployment on loopback addresses."""

import hashlib
import http.client
import json
import os
import pathlib
import secrets
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import NamedTuple

ROOT = pathlib.Path(__file__).parents[1]
BINARIES = pathlib.Path(sys.executable).parent
HOST = "127.0.0.1"
START_TIMEOUT = 20.0  # seconds
STOP_TIMEOUT = 45.0  # seconds
POLL_INTERVAL = 0.05  # seconds
INSTANCES = 6
LIST_LAG = 2.0  # seconds until readers of the platform's list see a change

# First ports of the entry instances, by deployment.
BASE_PORTS = {"association": 24000, "pettigrew": 25000}


class InstanceAddress(NamedTuple):
    """Addresses of one entry instance."""

    name: str
    data_centre: str
    callers: int
    operators: int
    peers: int


class Fleet:
    """The processes of one deployment: stand-ins and entry instances.

    Parameters
    ----------
    deployment : str
        Name of a file in examples/ without its extension.
    step : float
        Seconds between the decode steps of the stand-in engines.
    instances : int
        Number of entry instances.
    log_folder : path, optional
        Folder for the processes' logs; a temporary folder by default.
    entry_flags : sequence of str
        Additional flags of the entry instances.
    engine_flags : sequence of str
        Additional flags of the stand-in engines.
    """

    def __init__(
        self,
        deployment,
        *,
        step=0.01,
        instances=INSTANCES,
        log_folder=None,
        entry_flags=(),
        engine_flags=(),
    ):
        self.deployment = deployment
        self.file = ROOT / "examples" / f"{deployment}.toml"
        self.content = tomllib.loads(self.file.read_text())
        self.step = step
        self.count = instances
        self.entry_flags = list(entry_flags)
        self.engine_flags = list(engine_flags)
        self.processes = {}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="wagtailfront-"))
        self.logs = pathlib.Path(log_folder or self.folder)
        self.token = secrets.token_hex(16)
        base = BASE_PORTS[deployment]
        self.platform_port = base + 900
        centres = sorted({e["data_centre"] for e in self.content["engines"].values()})
        self.instances = [
            InstanceAddress(
                name=f"entry-{number}",
                data_centre=centres[number % len(centres)],
                callers=base + number,
                operators=base + 100 + number,
                peers=base + 200 + number,
            )
            for number in range(1, instances + 1)
        ]

    @property
    def token_file(self):
        """File with the operator's token."""
        return self.folder / "token"

    def start(self):
        """Start all processes and wait until the entry instances are live."""
        self._write_tokens()
        self._start_platform()
        for name, engine in self.content["engines"].items():
            self.start_engine(name, engine)
        for name, endpoint in self.content["endpoints"].items():
            self._spawn(
                name,
                "wagtailfront-standin",
                "service",
                "--bind",
                endpoint["address"],
                "--name",
                name,
            )
        for instance in self.instances:
            self.start_instance(instance)
        for instance in self.instances:
            wait_for(instance.operators, "/health/live")

    def _write_tokens(self):
        digest = hashlib.sha256(self.token.encode()).hexdigest()
        self.token_file.write_text(self.token + "\n")
        (self.folder / "tokens").write_text(f"operator {digest}\n")

    def _start_platform(self):
        self._spawn(
            "platform",
            "wagtailfront-standin",
            "platform",
            "--bind",
            f"{HOST}:{self.platform_port}",
            "--list-delay",
            str(LIST_LAG),
        )
        wait_for(self.platform_port, "/instances")

    def start_engine(self, name, engine):
        """Start a stand-in engine."""
        flags = [] if engine.get("checks_fencing", True) else ["--no-checks-fencing"]
        self._spawn(
            name,
            "wagtailfront-standin",
            "engine",
            "--bind",
            engine["address"],
            "--model",
            engine["model"],
            "--version",
            engine["version"],
            "--role",
            engine.get("role", "mixed"),
            "--adapters",
            *engine.get("adapters", ()),
            "--step",
            str(self.step),
            *flags,
            *self.engine_flags,
        )

    def start_instance(self, instance):
        """Add an entry instance to the platform's list and start it."""
        self.register_instance(instance, "live")
        platform = f"{HOST}:{self.platform_port}"
        self._spawn(
            instance.name,
            "wagtailfront-entry",
            "--instance",
            instance.name,
            "--data-centre",
            instance.data_centre,
            "--callers",
            f"{HOST}:{instance.callers}",
            "--operators",
            f"{HOST}:{instance.operators}",
            "--peers",
            f"{HOST}:{instance.peers}",
            "--table",
            platform,
            "--objects",
            platform,
            "--instance-list",
            platform,
            "--operator-tokens",
            str(self.folder / "tokens"),
            *self.entry_flags,
        )

    def register_instance(self, instance, state):
        """Add an instance to the platform's list, or change its state."""
        entry = {
            "address": f"{HOST}:{instance.peers}",
            "data_centre": instance.data_centre,
            "state": state,
        }
        request(
            self.platform_port, "PUT", f"/instances/{instance.name}", json.dumps(entry)
        )

    def unregister_instance(self, instance):
        """Remove an instance from the platform's list."""
        request(self.platform_port, "DELETE", f"/instances/{instance.name}")

    def _spawn(self, name, binary, *arguments):
        log = (self.logs / f"{name}.log").open("ab")
        environment = {
            key: value
            for key, value in os.environ.items()
            if not key.startswith("WAGTAILFRONT_")
        }
        self.processes[name] = subprocess.Popen(
            [BINARIES / binary, *arguments], stdout=log, stderr=log, env=environment
        )

    def ctl(self, *arguments, check=True):
        """Run wagtailfront-ctl and return its output."""
        addresses = [f"{HOST}:{instance.operators}" for instance in self.instances]
        command = [
            BINARIES / "wagtailfront-ctl",
            *map(str, arguments),
            "--instances",
            *addresses,
            "--token-file",
            str(self.token_file),
        ]
        done = subprocess.run(command, capture_output=True, text=True)
        if check and done.returncode != 0:
            raise RuntimeError(f"ctl {arguments[0]}: {done.stdout}{done.stderr}")
        return done.stdout

    def apply(self):
        """Apply the deployment file and wait until all instances are ready."""
        output = self.ctl("apply", self.file)
        for instance in self.instances:
            wait_for(instance.operators, "/health/ready")
        return output

    def load(self, *arguments):
        """Start the load generator against all instances."""
        service, model = self.load_targets()
        callers = [f"{HOST}:{instance.callers}" for instance in self.instances]
        records = [e["address"] for e in self.content["endpoints"].values()]
        return subprocess.Popen(
            [
                BINARIES / "wagtailfront-load",
                "run",
                "--instances",
                *callers,
                "--model",
                model,
                "--service",
                service,
                "--scenario",
                self.deployment,
                "--record-endpoints",
                *records,
                *map(str, arguments),
            ],
            stdout=subprocess.PIPE,
            text=True,
        )

    def load_targets(self):
        """Return the names of the plain service and the model to load."""
        services = self.content["services"]
        plain = next(n for n, s in services.items() if s["kind"] == "plain")
        engine = next(iter(self.content["engines"].values()))
        return plain, engine["model"]

    def send_signal(self, name, number):
        """Send a signal to a process that this fleet started."""
        self.processes[name].send_signal(number)

    def stop(self):
        """Stop all processes; return the entry instances' exit statuses."""
        entries = {instance.name for instance in self.instances}
        for name in entries & self.processes.keys():
            self.processes[name].send_signal(signal.SIGCONT)
            self.processes[name].send_signal(signal.SIGTERM)
        statuses = {name: self._wait(name) for name in entries & self.processes.keys()}
        for name in self.processes.keys() - entries:
            self.processes[name].terminate()
        for name in self.processes.keys() - entries:
            self._wait(name)
        return statuses

    def _wait(self, name):
        process = self.processes[name]
        try:
            return process.wait(STOP_TIMEOUT)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()


def request(port, method, path, body=None, headers=None, timeout=5.0):
    """Send an HTTP request; return the status and body of the response."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def wait_for(port, path, timeout=START_TIMEOUT):
    """Wait until a GET request to `path` returns status 200."""
    limit = time.monotonic() + timeout
    last = None
    while time.monotonic() < limit:
        try:
            last = request(port, "GET", path, timeout=1.0)
            if last[0] == 200:
                return
        except OSError as error:
            last = error
        time.sleep(POLL_INTERVAL)
    raise RuntimeError(
        f"GET {path} on port {port} not ready within {timeout} s: {last}"
    )
