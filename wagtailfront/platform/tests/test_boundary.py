"""The platform's names stay in the adapter, and it takes no decisions."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parents[2]
ADAPTER = ROOT / "platform"
# X-Request-Id is left out: wagtailfront's own interface has it too.
WIRE_NAMES = re.compile(
    r"X-Response-Stamp|X-Not-Executed|X-Expect-Instance|X-Kv-|"
    r"Server-Limit|Server-Leaving|Store-Era|X-Prompt-Prefix|X-Token-Count|X-Stage|X-Request-Priority|Last-Event-Id|"
    r"X-Tenant|api-keys|now-ms|WWW-Authenticate|"
    r"rows-(?:tx|get|feed)|op/config|servers/|fencing-token|/api/|"
    r"X-Lease-Holder|X-Fencing-Token|\"/(?:usage|scale)\"|window-id|now-ms"
)
DECISION_MODULES = re.compile(
    r"wagtailfront\.(decisions|authority|callers|programs)|"
    r"forwarding\.(placement|admission|forward_task|attempt|endpoint_health)"
)


def sources(folder):
    """Return the modules below a folder without those of tests."""
    return [path for path in folder.rglob("*.py") if "tests" not in path.parts]


def test_wire_names_stay_in_the_adapter():
    """Guards against the platform's names outside of the adapter."""
    found = {
        str(path.relative_to(ROOT)): sorted(set(WIRE_NAMES.findall(path.read_text())))
        for path in ROOT.rglob("*.py")
        if ADAPTER not in path.parents and WIRE_NAMES.search(path.read_text())
    }
    assert found == {}


def test_adapter_imports_no_decision_modules():
    """Guards against decisions that are moved into the adapter."""
    found = [
        path.name
        for path in sources(ADAPTER)
        if DECISION_MODULES.search(path.read_text())
    ]
    assert found == []
