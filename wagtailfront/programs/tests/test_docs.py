"""Tests of commands, links and modules in the documentation."""

import pathlib
import re
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parents[3]
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
TEXT = {page.relative_to(ROOT): page.read_text() for page in PAGES}
DESIGN = pathlib.Path("docs/design/README.md")
PROGRAMS = {
    "wagtailfront-entry": "entry",
    "wagtailfront-forward": "forward",
    "wagtailfront-ctl": "ctl",
    "wagtailfront-load": "load",
    "wagtailfront-standin": "standin",
}


def help_of(program, *subcommand):
    """Return the help text of a program or one of its subcommands."""
    code = f"from wagtailfront.programs.{PROGRAMS[program]} import main; main()"
    done = subprocess.run(
        [sys.executable, "-c", code, *subcommand, "--help"],
        capture_output=True,
        text=True,
    )
    assert done.returncode == 0, done.stderr
    return done.stdout


def named_commands():
    """Return the programs, subcommands and flags of the pages' code blocks."""
    found = set()
    for text in TEXT.values():
        joined = text.replace("\\\n", " ")
        for line in re.findall(r"^ {4,}(wagtailfront-\S+.*)$", joined, re.M):
            program, *words = line.split()
            is_word = words and re.fullmatch(r"[a-z][a-z-]*", words[0])
            subcommand = (words[0],) if is_word else ()
            flags = tuple(sorted(set(re.findall(r"--[a-z-]+", line))))
            found.add((program, subcommand, flags))
    return sorted(found)


@pytest.mark.parametrize("command", named_commands(), ids=str)
def test_named_commands_exist(command):
    """Guards against pages that name a removed command or flag."""
    program, subcommand, flags = command
    text = help_of(program, *subcommand)
    assert [flag for flag in flags if flag not in text] == []


def test_named_make_targets_exist():
    """Guards against pages that name a removed make target."""
    targets = set(re.findall(r"^([a-z]+):", (ROOT / "Makefile").read_text(), re.M))
    named = {
        target
        for text in TEXT.values()
        for target in re.findall(r"(?:`| {4})make ([a-z]+)", text)
    }
    assert named
    assert named <= targets


def test_links_have_targets():
    """Guards against links to missing pages or files."""
    broken = [
        (str(page.relative_to(ROOT)), link)
        for page in PAGES
        for link in re.findall(r"\]\(([^)#:]+)\)", page.read_text())
        if not (page.parent / link).exists()
    ]
    assert broken == []


def test_design_names_the_modules_that_exist():
    """Guards against an outdated table of modules."""
    rows = re.findall(r"^\| `([a-z_]+)` \| (.*) \| (.*) \|$", TEXT[DESIGN], re.M)
    listed = {
        package: set(re.findall(r"`([a-z_0-9]+)`", pure + other))
        for package, pure, other in rows
        if (ROOT / "wagtailfront" / package).is_dir()
    }
    assert listed
    for package, names in listed.items():
        folder = ROOT / "wagtailfront" / package
        present = {path.stem for path in folder.glob("*.py")} - {"__init__"}
        assert names == present, package
