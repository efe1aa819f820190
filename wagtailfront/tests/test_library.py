"""Tests of the package as a library."""

import subprocess
import sys

import wagtailfront


def test_library_needs_no_event_loop():
    """Guards against an import that pulls in circuits or ZeroMQ."""
    code = "import sys, wagtailfront; print({'circuits', 'zmq'} & set(sys.modules))"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
    assert done.stdout.strip() == "set()", done.stderr


def test_exported_parts_have_examples():
    """Guards against an exported name without a doctest."""
    exported = [getattr(wagtailfront, name) for name in wagtailfront.__all__]
    documented = [
        value
        for value in exported
        if callable(value) and not value.__module__.endswith("outcome")
    ]
    without = [
        value.__name__ for value in documented if ">>>" not in (value.__doc__ or "")
    ]
    assert without == []
