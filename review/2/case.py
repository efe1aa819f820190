"""A request that crashes each engine in the first event of its answer."""

import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import crashing  # noqa: E402
import harness  # noqa: E402


def play(world):
    """Send the same request again and again, at any instance."""
    return crashing.CrashCase(
        world,
        whole_events=0,
        crashing_prompt=lambda number: f"{crashing.SHARED},deadbeef:1110",
        crashing_body=lambda number: b"the same body",
        counted_crash=3,
        allowed=3,
    ).play()


if __name__ == "__main__":
    harness.run(play, HERE)
