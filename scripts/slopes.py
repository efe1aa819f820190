"""Start a fleet and measure how the costs of an instance grow with load."""

import argparse
import subprocess
import sys
import time

import fleet

SETTLE_SECONDS = 3.0  # until the traffic of the configuration change has ended


def engine_addresses(system, model):
    """Return the addresses of the engines that serve the model."""
    engines = system.content["engines"].values()
    return [engine["address"] for engine in engines if engine["model"] == model]


def run(arguments):
    """Measure the first instance of a fleet; return the exit status."""
    system = fleet.Fleet(arguments.deployment)
    print(f"logs are in {system.logs}")
    try:
        system.start()
        system.apply()
        time.sleep(SETTLE_SECONDS)
        _service, model = system.load_targets()
        first = system.instances[0]
        command = [
            fleet.BINARIES / "wagtailfront-load",
            "slopes",
            "--instance",
            f"{fleet.HOST}:{first.callers}",
            "--metrics",
            f"{fleet.HOST}:{first.operators}",
            "--engine",
            *engine_addresses(system, model),
            "--model",
            model,
            "--duration",
            str(arguments.duration),
        ]
        if arguments.json is not None:
            command += ["--json", arguments.json]
        status = subprocess.run(command).returncode
    finally:
        statuses = system.stop()
    print("exit statuses:", dict(sorted(statuses.items())))
    return status


def main():
    """Parse the command line and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=fleet.BASE_PORTS, default="association")
    parser.add_argument(
        "--duration",
        type=float,
        default=10.0,
        help="seconds of load per rate and route (direct or through the instance)",
    )
    parser.add_argument("--json", help="file for the results")
    sys.exit(run(parser.parse_args()))


if __name__ == "__main__":
    main()
