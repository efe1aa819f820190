"""Tests of the process `wagtailfront-forward`."""

import subprocess
import sys

START = """
import signal, sys
from wagtailfront.programs import forward

def run(function, *, prog):
    print(signal.getsignal(signal.SIGHUP) == signal.SIG_IGN)
    print("wagtailfront.programs.forward_tree" in sys.modules)

forward.run = run
forward.main()
"""


def test_a_reload_during_the_start_does_not_end_the_process():
    """Guards the time until the program's own handler is installed."""
    done = subprocess.run(
        [sys.executable, "-c", START], capture_output=True, text=True, check=False
    )
    assert done.stdout.split() == ["True", "False"], done.stderr
