"""An entry instance with a platform and a plain service on real sockets."""

import contextlib
import json
import os
import pathlib
import socket
import subprocess
import sys
import urllib.error
import urllib.request

from circuits import handler

from wagtailfront.callers.tests.builders import running
from wagtailfront.forwarding.tests.socket_instance import wait_for
from wagtailfront.operators.operator_tokens import token_digest
from wagtailfront.programs.tests.caller_crowd import LONG_ANSWER
from wagtailfront.programs.tests.forward_site import free_port
from wagtailfront.standins.platform import StandinPlatform
from wagtailfront.standins.service import StandinService

__all__ = ["EntrySite"]

TIMEOUT = 60.0  # seconds
TOKEN = "token"
NAMES = ("callers", "operators", "peers")
DEPLOYMENT = """
[services.orders]
kind = "plain"

[endpoints.orders-1]
service = "orders"
address = "127.0.0.1:{port}"
data_centre = "a"
"""


class LongAnswers(StandinService):
    """Answers GET at length, and other requests as its base does."""

    @handler("request", override=True)
    def _on_request(self, req, res):
        if req.method == "GET" and req.path.startswith("/a"):
            res.body = LONG_ANSWER
            return res
        return super()._on_request(req, res)


class EntrySite:
    """Stand-ins and the program `wagtailfront-entry` in a process.

    Parameters
    ----------
    folder : Path
        For the files of the instance.

    Attributes
    ----------
    ports : dict of str to int
    """

    def __init__(self, *, folder):
        self.folder = folder
        self.ports = {name: free_port() for name in (*NAMES, "platform", "service")}

    def address(self, name):
        """Return the address of a port as text."""
        return f"127.0.0.1:{self.ports[name]}"

    @contextlib.contextmanager
    def run(self, **options):
        """Run the instance with options; yield its process once it serves."""
        bind = ("127.0.0.1", self.ports["platform"])
        platform = StandinPlatform(bind=bind)
        bind = ("127.0.0.1", self.ports["service"])
        service = LongAnswers(bind=bind, name="orders-1", channel="orders-1")
        with running(platform, service):
            self.add_to_list()
            child = self.start_instance(options)
            try:
                wait_for(lambda: self.is_well("live"))
                self.apply()
                wait_for(lambda: self.is_well("ready"))
                yield child
            finally:
                child.kill()
                child.wait()

    def add_to_list(self):
        """Add the instance to the platform's list."""
        entry = {"address": self.address("peers"), "data_centre": "a", "state": "live"}
        url = f"http://{self.address('platform')}/instances/i1"
        call = urllib.request.Request(url, json.dumps(entry).encode(), method="PUT")
        urllib.request.urlopen(call, timeout=TIMEOUT)

    def start_instance(self, options):
        """Start the instance's process."""
        tokens = self.folder / "tokens"
        tokens.write_text(f"operator {token_digest(TOKEN)}\n")
        platform = self.address("platform")
        values = {
            "instance": "i1",
            "data_centre": "a",
            "table": platform,
            "objects": platform,
            "instance_list": platform,
            "operator_tokens": str(tokens),
            **{name: self.address(name) for name in NAMES},
            **options,
        }
        environ = {f"WAGTAILFRONT_{key.upper()}": each for key, each in values.items()}
        return subprocess.Popen(
            [program("entry")], env=os.environ | environ, stdout=subprocess.DEVNULL
        )

    def apply(self):
        """Apply a deployment of one plain service."""
        deployment, token = self.folder / "deployment.toml", self.folder / "token"
        deployment.write_text(DEPLOYMENT.format(port=self.ports["service"]))
        token.write_text(TOKEN)
        options = ["--instances", self.address("operators"), "--token-file", token]
        subprocess.run(
            [program("ctl"), "apply", deployment, *options],
            check=True,
            stdout=subprocess.DEVNULL,
        )

    def is_well(self, check):
        """Return whether a health check at the operators' port succeeds."""
        url = f"http://{self.address('operators')}/health/{check}"
        try:
            return urllib.request.urlopen(url, timeout=TIMEOUT).status == 200
        except OSError:
            return False

    def connect(self, name="callers"):
        """Return a connection to a port of the instance."""
        address = ("127.0.0.1", self.ports[name])
        return socket.create_connection(address, timeout=TIMEOUT)

    def order(self, body=b"hi"):
        """Return the status of a service call, and the body that it echoes."""
        url = f"http://{self.address('callers')}/services/orders/a"
        try:
            with urllib.request.urlopen(url, body, timeout=TIMEOUT) as answer:
                return answer.status, json.load(answer)["body"].encode()
        except urllib.error.HTTPError as error:
            return error.code, error.read()


def program(name):
    """Return the path of a program of this project."""
    return pathlib.Path(sys.executable).parent / f"wagtailfront-{name}"
