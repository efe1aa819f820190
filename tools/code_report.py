"""Warn about long files and a high share of test code."""

import itertools
import pathlib
import subprocess

LONG_FILE_LINES = 400
MAX_TEST_SHARE = 1 / 3


def main():
    """Print one warning line per finding; never fail the build."""
    listed = subprocess.run(
        ["git", "ls-files", "*.py"], capture_output=True, text=True, check=True
    )
    paths = [
        pathlib.Path(name)
        for name in listed.stdout.split()
        if not name.endswith("_pb2.py") and pathlib.Path(name).exists()
    ]
    lengths = {path: len(path.read_text().splitlines()) for path in paths}
    for path, lines in lengths.items():
        if lines > LONG_FILE_LINES:
            print(f"warning: {path} has {lines} lines, over {LONG_FILE_LINES}")
    total = sum(lengths.values())
    tests = sum(lines for path, lines in lengths.items() if "tests" in path.parts)
    if total and tests / total > MAX_TEST_SHARE:
        print(f"warning: tests are {tests} of {total} lines, over a third")
    by_package = itertools.groupby(
        sorted(lengths), key=lambda path: path.parts[:2] if len(path.parts) > 2 else ()
    )
    for package, members in by_package:
        name = "/".join(package) or "top"
        print(f"{name}: {sum(lengths[path] for path in members)} lines")


if __name__ == "__main__":
    main()
