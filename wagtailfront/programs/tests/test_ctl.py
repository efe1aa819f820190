"""Tests of the operators' commands against a server in this process."""

import pathlib
import threading

import pytest
from circuits import BaseComponent

from wagtailfront.authority import config_effects as effects, config_state as state
from wagtailfront.operators import wagtailfront_pb2 as pb
from wagtailfront.operators.operator_server import OperatorServer, token_digest
from wagtailfront.operators.tests.fake_configuration import FakeConfiguration
from wagtailfront.outcome import Verdict
from wagtailfront.programs import ctl, settings
from wagtailfront.programs.ctl_output import status_text
from wagtailfront.transport.supervisor import make_root

EXAMPLE = pathlib.Path(__file__).parents[3] / "examples" / "association.toml"
COMMANDS = [ctl.apply, ctl.status, ctl.drain, ctl.withdraw, ctl.set_engine, ctl.burn]


class Server:
    """Operator server whose event loop runs in a thread."""

    def __init__(self, folder):
        self.fake = FakeConfiguration()
        root = make_root(BaseComponent())
        self.server = OperatorServer(
            bind=("127.0.0.1", 0),
            tokens={token_digest("secret"): "alice"},
            propose=self.fake.propose,
            read_status=self.fake.read_status,
        ).register(root)
        self.root = root
        self.token_file = folder / "token"
        self.token_file.write_text("secret\n")
        self.thread = threading.Thread(target=root.run, daemon=True)
        self.thread.start()

    def run(self, *argv, instances=None):
        address = f"127.0.0.1:{self.server.port}"
        flags = ["--token-file", str(self.token_file)]
        flags += ["--instances", *(instances or [address])]
        arguments = [*argv, *flags]
        return settings.run(COMMANDS, prog="ctl", argv=arguments, environ={})


@pytest.fixture
def server(tmp_path):
    server = Server(tmp_path)
    yield server
    server.root.stop()
    server.thread.join(timeout=5)


def test_apply_shows_and_makes_the_difference(server, capsys):
    """Guards against an apply that makes changes without showing them."""
    assert server.run("apply", str(EXAMPLE), "--dry-run") == 0
    shown = capsys.readouterr().out
    assert "engine desk-1: add" in shown
    assert server.fake.config == state.EMPTY
    assert server.run("apply", str(EXAMPLE)) == 0
    assert capsys.readouterr().out.startswith(shown)
    assert len(server.fake.config.engines) == 6
    assert server.run("drain", "desk-1") == 0
    assert server.run("set-engine", "desk-2", "--version", "2") == 0
    capsys.readouterr()
    assert server.run("apply", str(EXAMPLE), "--dry-run") == 0
    assert capsys.readouterr().out == "engine desk-2: version '2' -> '1'\n"
    assert server.fake.config.engines["desk-1"].state == "draining"


def test_status_and_burn(server, capsys):
    """Guards against output without the version, engines or burn rates."""
    server.run("apply", str(EXAMPLE))
    capsys.readouterr()
    assert server.run("status") == 0
    text = capsys.readouterr().out
    assert "version 1, confirmed" in text and "desk-6: desk-assist" in text
    assert server.run("burn") == 0
    assert capsys.readouterr().out.startswith("service")


def test_status_of_several_instances():
    """Guards against outdated configuration or load in the status."""
    replies = [
        pb.StatusReply(instance="i1", confirmed=True),
        pb.StatusReply(instance="i2"),
    ]
    for version, reply in enumerate(replies, start=1):
        engine = pb.Engine(name="e1", model="m", version=str(version))
        reply.configuration.version = version
        reply.configuration.engines.append(engine)
        reply.endpoints.add(name="e1", running=version, report_age=9.0 / version)
    replies[0].endpoints[0].ejected = True
    running = pb.EngineTarget(model="m", version="1")
    mark = pb.EngineMark(revision=2, running=running, draining=True)
    replies[1].configuration.engine_marks["e1"].CopyFrom(mark)
    lines = status_text(replies).splitlines()
    assert "version 1, confirmed" in lines[0]
    assert "version 2, NOT CONFIRMED" in lines[1]
    assert "m 1 mixed, to be m 2 mixed, draining for the change" in lines[2]
    assert "2 running, 0 waiting, EJECTED by i1" in lines[2]


@pytest.mark.parametrize(
    "outcome, exit_status, text",
    [
        (effects.Pending(version=9, missing=("i2",)), 3, "not yet confirmed by: i2"),
        (effects.Conflict(changes=()), 4, "conflict"),
        (
            effects.Unavailable(reason="store", verdict=Verdict.MAY_HAVE_RUN),
            5,
            "store (may_have_run)",
        ),
        (effects.Invalid(reason="no"), 1, "invalid_argument: no"),
    ],
)
def test_outcomes_have_exit_statuses(server, capsys, outcome, exit_status, text):
    """Guards against a failed change that exits like a committed one."""
    server.run("apply", str(EXAMPLE))
    server.fake.outcome = outcome
    assert server.run("withdraw", "desk-1") == exit_status
    output = capsys.readouterr()
    assert text in output.out + output.err


def test_other_instances_are_tried(server, capsys):
    """Guards against a command that fails while another instance serves."""
    instances = ["127.0.0.1:1", f"127.0.0.1:{server.server.port}"]
    assert server.run("apply", str(EXAMPLE), instances=instances) == 0
    assert server.run("status", instances=["127.0.0.1:1"]) == 5
    assert server.run("drain", "desk-1", instances=["127.0.0.1:1"]) == 5
    assert "127.0.0.1:1" in capsys.readouterr().err


@pytest.mark.parametrize(
    "argv",
    [
        ["apply", "missing.toml"],
        ["set-engine", "desk-1"],
        ["set-engine", "desk-1", "--role", "chief"],
        ["drain"],
        ["drain", "a b"],
    ],
)
def test_bad_settings_are_one_line(server, argv, capsys):
    """Guards against a traceback for an invalid command line."""
    assert server.run(*argv) == 2
    error = capsys.readouterr().err
    assert error.startswith("ctl: ") and error.count("\n") == 1


def test_explain_prints_the_lines_of_a_request(tmp_path, capsys):
    """Guards against log lines of a request that are missing or misordered."""
    log = tmp_path / "bench.log"
    log.write_text(
        "3.0 i1 "
        '{"time":3,"instance":"i1","kind":"sent","outcome":"run","request":"r1",'
        '"endpoint":"e1"}\n'
        '{"time":1,"instance":"i1","kind":"endpoint_added","outcome":"e1"}\n'
        '{"time":2,"instance":"i2","kind":"configuration","outcome":"applied"}\n'
        '{"time":4,"instance":"i1","kind":"failed","outcome":"reset","requ\n'
        '{"time":4,"instance":"i1","kind":"failed","outcome":"reset","request":"r1"}\n'
    )
    assert ctl.explain("r1", log) == 0
    lines = capsys.readouterr().out.splitlines()
    assert [line.split("  ")[-1] for line in lines[:1]] == ["endpoint_added: e1"]
    assert "sent: run" in lines[1]
    assert "failed: reset" in lines[2]
    assert ctl.explain("r2", log) == 1
