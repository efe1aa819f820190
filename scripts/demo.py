"""Start a complete deployment, configure it and send real requests."""

import argparse
import json
import sys
import time

import fleet

RATE = 20  # requests per second over all instances
DURATION = 8  # seconds of load
DEADLINE = 55  # seconds that a successful demo may take


def print_heading(title):
    """Print a heading."""
    print(f"\n== {title}", flush=True)


def post(system, path, body, **headers):
    """Send a request to the first instance and print the response."""
    port = system.instances[0].callers
    status, data = fleet.request(
        port, "POST", path, json.dumps(body), headers, timeout=20.0
    )
    print(f"POST {path} -> {status} {data.decode()[:300]}")
    return status, data


def send_samples(system):
    """Send sample requests; return whether a repeat got the same answer."""
    service, model = system.load_targets()
    prompt = "Draft a stall label for plum sorbet tokens=12"
    post(system, "/v1/completions", {"model": model, "prompt": prompt})
    booking = {"slot": 7, "member": "M-1042"}
    path = f"/services/{service}/bookings"
    first = post(system, path, booking, **{"Idempotency-Key": "demo-booking"})
    again = post(system, path, booking, **{"Idempotency-Key": "demo-booking"})
    return first == again and first[0] == 200


def run(deployment):
    """Run the demo and return whether it succeeded."""
    started = time.monotonic()
    system = fleet.Fleet(deployment)
    print(f"logs are in {system.logs}")
    try:
        print_heading(f"starting {deployment}: stand-ins and six entry instances")
        system.start()
        print_heading("applying the configuration through the operator interface")
        print(system.apply())
        print_heading("sample requests; the repeated booking gets the first answer")
        is_deduplicated = send_samples(system)
        print_heading(f"load: {RATE} requests/s for {DURATION} s through all instances")
        load = system.load("--rate", RATE, "--duration", DURATION)
        output, _ = load.communicate()
        print(output)
        print_heading("status and burn report")
        print(system.ctl("status"))
        print(system.ctl("burn"))
    finally:
        statuses = system.stop()
    print_heading("shutdown")
    print("exit statuses:", dict(sorted(statuses.items())))
    seconds = time.monotonic() - started
    print(f"total time: {seconds:.0f} s")
    clean = set(statuses.values()) == {0}
    return is_deduplicated and load.returncode == 0 and clean and seconds < DEADLINE


def main():
    """Parse the command line and run the demo."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=fleet.BASE_PORTS, default="association")
    sys.exit(0 if run(parser.parse_args().deployment) else 1)


if __name__ == "__main__":
    main()
