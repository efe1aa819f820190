"""Kill and pause processes of a deployment under load, and fail its stores.

Exits with status 1 if an answer was wrong, an answered booking was lost, a
booking ran twice, or a booking ran although its caller got `not_run`.
"""

import argparse
import json
import random
import signal
import sys
import threading
import time

import fleet

# Start of each fault, in seconds from the start of the load. The load lasts
# until the last fault is over.
SCHEDULE = {
    "rollout": 6.0,
    "kill": 8.0,
    "pause": 20.0,
    "term": 44.0,
    "store": 52.0,
    "engine": 86.0,
}
PAUSE_SECONDS = 14.0  # longer than a lease of 9 s and its margin
OUTAGE_SECONDS = 30.0
RESTART_AFTER = 4.0  # seconds
ROLLOUT_TRIES = 8  # per engine, 1 s apart
RATE = 55.0  # requests per second
DURATION = 95.0  # seconds
WRONG_RESULTS = ("wrong",)


class FaultRun:
    """Fault injection into a running fleet.

    Parameters
    ----------
    system : Fleet
    rng : random.Random
        Selects the process for each fault.
    """

    def __init__(self, *, system, rng):
        self.system = system
        self.rng = rng
        self.statuses = {}
        self.started = time.monotonic()

    def log(self, text):
        """Print a line with the time since the start of the load."""
        print(f"{time.monotonic() - self.started:6.1f} s  {text}", flush=True)

    def choose_instance(self):
        """Return a random running instance."""
        running = [
            instance
            for instance in self.system.instances
            if self.system.processes[instance.name].poll() is None
        ]
        return self.rng.choice(running)

    def kill(self):
        """SIGKILL an instance and restart it."""
        instance = self.choose_instance()
        self.log(f"SIGKILL {instance.name}")
        self.system.send_signal(instance.name, signal.SIGKILL)
        self.system.processes[instance.name].wait()
        self._restart(instance)

    def pause(self):
        """SIGSTOP an instance for longer than a lease, then SIGCONT it."""
        instance = self.choose_instance()
        self.log(f"SIGSTOP {instance.name} for {PAUSE_SECONDS:.0f} s")
        self.system.send_signal(instance.name, signal.SIGSTOP)
        time.sleep(PAUSE_SECONDS)
        self.system.send_signal(instance.name, signal.SIGCONT)
        self.log(f"SIGCONT {instance.name}")

    def term(self):
        """SIGTERM an instance, which must exit with status 0; restart it."""
        instance = self.choose_instance()
        self.log(f"SIGTERM {instance.name}")
        self.system.register_instance(instance, "leaving")
        self.system.send_signal(instance.name, signal.SIGTERM)
        status = self.system.processes[instance.name].wait(60)
        self.statuses[instance.name] = status
        self.log(f"{instance.name} ended with status {status}")
        self._restart(instance)

    def store(self):
        """Start an outage of the table, object store and instance list."""
        self.log(f"store outage for {OUTAGE_SECONDS:.0f} s")
        body = json.dumps({"kind": "outage", "seconds": OUTAGE_SECONDS, "seed": 1})
        fleet.request(self.system.platform_port, "POST", "/faults", body)
        time.sleep(OUTAGE_SECONDS)
        self.log("store outage over")

    def rollout(self):
        """Order a new version for each engine, one call after the other."""
        for name in self.system.content["engines"]:
            for _ in range(ROLLOUT_TRIES):
                output = self.system.ctl(
                    "set-engine", name, "--version", "2", check=False
                )
                if output.startswith("accepted"):
                    break
                time.sleep(1.0)
            self.log(f"set-engine {name}: {output.strip() or 'no answer'}")

    def engine(self):
        """SIGKILL an engine and restart it."""
        name = self.rng.choice(sorted(self.system.content["engines"]))
        self.log(f"SIGKILL engine {name}")
        self.system.send_signal(name, signal.SIGKILL)
        self.system.processes[name].wait()
        time.sleep(RESTART_AFTER)
        self.system.start_engine(name, self.system.content["engines"][name])
        self.log(f"started engine {name} with its initial version")

    def _restart(self, instance):
        self.system.unregister_instance(instance)
        time.sleep(RESTART_AFTER)
        self.system.start_instance(instance)
        self.log(f"started {instance.name}")

    def run(self, names):
        """Inject the named faults at their scheduled times."""
        threads = [
            threading.Thread(target=self._run_at, args=(SCHEDULE[name], name))
            for name in names
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _run_at(self, seconds, name):
        time.sleep(seconds)
        getattr(self, name)()


def read_versions(system):
    """Return the version and the number of orders of each engine."""
    found = {}
    for name, engine in system.content["engines"].items():
        port = int(engine["address"].rpartition(":")[2])
        load = json.loads(fleet.request(port, "GET", "/load")[1])
        orders = json.loads(fleet.request(port, "GET", "/record")[1])["orders"]
        found[name] = (load["version"], len(orders))
    return found


def report(summary, statuses):
    """Print the counts and return whether all guarantees held."""
    results, effects = summary["results"], summary["effects"]
    print(json.dumps({"requests": summary["requests"], **results, **effects}))
    print("codes:", json.dumps(summary["codes"]))
    clean = set(statuses.values()) == {0}
    print("exit statuses after SIGTERM:", statuses)
    violated = [name for name in WRONG_RESULTS if results.get(name)]
    violated += [
        name for name in ("duplicated", "lost", "not_run_but_ran") if effects[name]
    ]
    print("violated guarantees:", ", ".join(violated) or "none")
    return clean and not violated


def run(arguments):
    """Run the load with faults and return whether all guarantees held."""
    system = fleet.Fleet(arguments.deployment)
    print(f"logs are in {system.logs}")
    try:
        system.start()
        system.apply()
        load = system.load(
            "--rate",
            arguments.rate,
            "--duration",
            arguments.duration,
            "--seed",
            arguments.seed,
            "--deadline",
            20,
            "--results",
            system.logs / "results.json",
            "--page",
            system.logs / "report.html",
        )
        faults = FaultRun(system=system, rng=random.Random(arguments.seed))
        faults.run(arguments.faults)
        output, _ = load.communicate()
        print("versions and orders:", read_versions(system))
    finally:
        statuses = system.stop()
    summary = json.loads(output)
    print(output if arguments.verbose else "")
    return report(summary, statuses | faults.statuses)


def main():
    """Parse the command line and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=fleet.BASE_PORTS, default="association")
    parser.add_argument("--faults", nargs="*", choices=SCHEDULE, default=list(SCHEDULE))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rate", type=float, default=RATE, help="requests per second")
    parser.add_argument("--duration", type=float, default=DURATION, help="seconds")
    parser.add_argument("--verbose", action="store_true", help="print all figures")
    for name, seconds in SCHEDULE.items():
        parser.add_argument(
            f"--{name}-at", type=float, default=seconds, help="seconds into the load"
        )
    arguments = parser.parse_args()
    for name in SCHEDULE:
        SCHEDULE[name] = getattr(arguments, f"{name}_at")
    sys.exit(0 if run(arguments) else 1)


if __name__ == "__main__":
    main()
