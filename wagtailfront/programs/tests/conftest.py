"""Fixtures for tests of real processes."""

import os
import resource
import subprocess
import sys
import urllib.request

import pytest

from wagtailfront.forwarding.tests.socket_instance import wait_for
from wagtailfront.platform.paths import READY_PATH


@pytest.fixture
def process():
    """Return a function that starts the program at a site, with options.

    `data_limit` is the process's RLIMIT_DATA in bytes.
    """
    started = []

    def start(site, *, data_limit=resource.RLIM_INFINITY, **options):
        environ = {
            f"WAGTAILFRONT_{name.upper()}": f"127.0.0.1:{port}"
            for name, port in site.ports.items()
        }
        environ |= {
            "WAGTAILFRONT_INSTANCE": "i1",
            "WAGTAILFRONT_DATA_CENTRE": "a",
            "WAGTAILFRONT_STORE": f"127.0.0.1:{site.store.address[1]}",
        }
        environ |= {
            f"WAGTAILFRONT_{name.upper()}": value for name, value in options.items()
        }
        child = subprocess.Popen(
            [sys.executable, "-m", "wagtailfront.programs.forward"],
            env=os.environ | environ,
            stdout=subprocess.DEVNULL,
            preexec_fn=lambda: resource.setrlimit(
                resource.RLIMIT_DATA, (data_limit, resource.RLIM_INFINITY)
            ),
        )
        started.append(child)
        wait_for(lambda: is_ready(site))
        return child

    yield start
    for child in started:
        child.kill()
        child.wait()


def is_ready(site):
    """Return whether the instance is ready."""
    url = f"http://127.0.0.1:{site.ports['status']}{READY_PATH}"
    try:
        return urllib.request.urlopen(url, timeout=1.0).status == 200
    except OSError:
        return False
