"""The platform's names stay in the adapter, and it decides nothing."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parents[2]
ADAPTER = ROOT / "platform"
# X-Request-Id is left out: the product's own interface has it too.
WIRE_NAMES = re.compile(
    r"X-Response-Stamp|X-Not-Executed|X-Expect-Instance|X-Kv-|"
    r"X-Prompt-Prefix|X-Token-Count|X-Stage|X-Request-Priority|Last-Event-Id|"
    r"rows-(?:tx|get|feed)|op/config|servers/|fencing-token|/api/"
)
DECIDING = re.compile(
    r"wagtailfront\.(decisions|authority|callers|programs)|"
    r"forwarding\.(placement|admission|forward_task|attempt|endpoint_health)"
)


def sources(folder):
    """Return the modules below a folder that are no tests."""
    return [path for path in folder.rglob("*.py") if "tests" not in path.parts]


def test_wire_names_stay_in_the_adapter():
    """Guards against the platform's names in the product and its tests."""
    found = {
        str(path.relative_to(ROOT)): sorted(set(WIRE_NAMES.findall(path.read_text())))
        for path in ROOT.rglob("*.py")
        if ADAPTER not in path.parents and WIRE_NAMES.search(path.read_text())
    }
    assert found == {}


def test_the_adapter_decides_nothing():
    """Guards against decisions that move into the adapter."""
    found = [
        path.name for path in sources(ADAPTER) if DECIDING.search(path.read_text())
    ]
    assert found == []
