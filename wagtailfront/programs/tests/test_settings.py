"""Tests of flags, environment variables and their error lines."""

import pathlib
import subprocess
import sys
from typing import Literal

import pytest
from hypothesis import given, strategies as st

from wagtailfront.exception import SettingsError
from wagtailfront.programs import settings
from wagtailfront.programs.settings import Address, Count, HostPort, Seconds, Share


def program(
    *,
    bind: Address,
    peers: list[Address] = (),
    timeout: Seconds = 1.5,
    share: Share | None = None,
    retries: Count = 3,
    verbose: bool = False,
    role: Literal["engine", "service"] = "engine",
    file: pathlib.Path | None = None,
):
    """Serve requests.

    Parameters
    ----------
    bind : Address
        Address to listen on.
    peers : list[Address]
        Other instances.
    timeout : Seconds
        Time limit in seconds, counted
        from the sending.
    """
    seen.append((bind, peers, timeout, share, retries, verbose, role, file))
    if bind.port in {peer.port for peer in peers}:
        raise SettingsError("--bind and --peers use the same port")


seen = []


def run(*argv, **environ):
    seen.clear()
    environ = {f"WAGTAILFRONT_{name}": value for name, value in environ.items()}
    return settings.run(program, prog="program", argv=list(argv), environ=environ)


def test_flags_override_environment():
    """Guards against an environment variable that overrides a flag."""
    status = run(
        *["--bind", "127.0.0.1:1", "--peers", "127.0.0.1:2", "[::1]:3", "--verbose"],
        BIND="127.0.0.1:9",
        TIMEOUT="0.25",
        SHARE="0.5",
        ROLE="service",
    )
    expected_peers = [HostPort("127.0.0.1", 2), HostPort("::1", 3)]
    bind = HostPort("127.0.0.1", 1)
    assert status == 0
    assert seen == [(bind, expected_peers, 0.25, 0.5, 3, True, "service", None)]


def test_required_flag_from_environment():
    """Guards against a required flag that no variable can set."""
    assert run(BIND="127.0.0.1:9", VERBOSE="yes", PEERS="127.0.0.1:2,127.0.0.1:3") == 0
    assert seen[0][1] == [HostPort("127.0.0.1", 2), HostPort("127.0.0.1", 3)]
    assert seen[0][5] is True


@pytest.mark.parametrize(
    "argv, environ, named",
    [
        ([], {}, "--bind"),
        (["--bind", "localhost:1"], {}, "--bind"),
        (["--bind", "127.0.0.1:70000"], {}, "--bind"),
        (["--bind", "127.0.0.1:1", "--timeout", "-1"], {}, "--timeout"),
        (["--bind", "127.0.0.1:1", "--timeout", "nan"], {}, "--timeout"),
        (["--bind", "127.0.0.1:1", "--share", "1.5"], {}, "--share"),
        (["--bind", "127.0.0.1:1", "--retries", "2.5"], {}, "--retries"),
        (["--bind", "127.0.0.1:1", "--role", "x"], {}, "--role"),
        (["--bind", "127.0.0.1:1", "--unknown", "x"], {}, "--unknown"),
        (["--bind", "127.0.0.1:1", "--peers", "127.0.0.1:1"], {}, "--peers"),
        (["--bind", "127.0.0.1:1"], {"RETRIES": "many"}, "WAGTAILFRONT_RETRIES"),
    ],
)
def test_bad_setting_is_one_line(argv, environ, named, capsys):
    """Guards against tracebacks and usage texts for an invalid setting."""
    assert run(*argv, **environ) == 2
    output = capsys.readouterr()
    assert output.out == ""
    assert output.err.startswith("program: ")
    assert output.err.count("\n") == 1
    assert named in output.err


@given(text=st.text(max_size=12))
def test_parse_errors_contain_the_text(text):
    """Guards against other exceptions, and errors without the text."""
    for annotation in settings.PARSERS:
        try:
            settings.parse_value(annotation, text)
        except ValueError as error:
            assert repr(text) in str(error)


def test_help_shows_variables_and_defaults(capsys):
    """Guards against a flag without its variable, unit or default in help."""
    with pytest.raises(SystemExit) as exit_call:
        run("--help", TIMEOUT="0.25")
    text = capsys.readouterr().out
    assert exit_call.value.code == 0
    assert "from the sending. [WAGTAILFRONT_TIMEOUT]" in text
    assert "(default: 0.25)" in text


def test_settings_from_the_environment_need_no_parser_of_flags(monkeypatch):
    """Guards the time of a start, of which parsing no flags took a fifth."""
    monkeypatch.setitem(sys.modules, "defopt", None)
    code = "import sys, wagtailfront.programs.forward; print('defopt' in sys.modules)"
    output = subprocess.run([sys.executable, "-c", code], capture_output=True)
    assert output.stdout.strip() == b"False"
    assert run(BIND="127.0.0.1:9", TIMEOUT="0.25") == 0
    bind = HostPort("127.0.0.1", 9)
    assert seen == [(bind, (), 0.25, None, 3, False, "engine", None)]
