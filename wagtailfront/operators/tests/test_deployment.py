"""Tests of deployment files and of the plans that apply them."""

import pathlib

import pytest
from hypothesis import given, strategies as st

from wagtailfront.authority import config_state as state
from wagtailfront.exception import DeploymentError
from wagtailfront.operators.deployment_diff import batches, describe, difference
from wagtailfront.operators.deployment_file import parse_deployment, read_deployment
from wagtailfront.operators.tests.builders import (
    changes,
    configurations,
    deployments,
)

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
FILE = """
[services.assist]
kind = "model"
models = ["m1"]
[[services.assist.objectives]]
request_class = "short"
latency = 0.77
latency_share = 0.95
availability = 0.999
[engines.e1]
service = "assist"
address = "127.0.0.1:9001"
data_centre = "brum"
model = "m1"
version = "1"
"""
ROUNDS = 4  # withdraw, delete, deferred changes, no change


def without_states(config):
    """Return the parts of a configuration that a deployment file states."""
    return [
        {name: entry._replace(state="serving") for name, entry in entries.items()}
        for entries in (config.engines, config.endpoints)
    ] + [config.services, config.workspaces]


@pytest.mark.parametrize(
    "name, engines, unfenced", [("association", 6, 2), ("pettigrew", 6, 1)]
)
def test_examples(name, engines, unfenced):
    """Guards against example files that differ from the documented fleets."""
    config = read_deployment(EXAMPLES / f"{name}.toml")
    listed = config.engines.values()
    assert len(listed) == engines
    assert sum(not engine.checks_fencing for engine in listed) == unfenced
    assert any(service.non_idempotent for service in config.services.values())
    assert difference(config, config) == ([], [])


@pytest.mark.parametrize(
    "old, new, named",
    [
        ('kind = "model"', 'kind = "modl"', "services.assist.kind: "),
        ('kind = "model"', "", "services.assist.kind: is missing"),
        ("0.77", '"fast"', "services.assist.objectives[0].latency: "),
        ("0.95", "2.0", "services.assist: the latency share"),
        ("latency_share", "latency_sahre", "objectives[0].latency_sahre: "),
        ('models = ["m1"]', 'models = "m1"', "services.assist.models: "),
        ('models = ["m1"]', "models = [1]", "services.assist.models[0]: "),
        ("127.0.0.1:9001", "localhost:9001", "engines.e1: "),
        ('model = "m1"', 'model = "m2"', "engines.e1: "),
        ('version = "1"', "version = 1", "engines.e1.version: "),
        ('version = "1"', 'version = "\\u0000"', "engines.e1.version: "),
        ('version = "1"', 'state = "serving"', "engines.e1.state: "),
        ("[engines.e1]", "[engine.e1]", "engine: "),
        ("[engines.e1]", "[engines]", "engines.service: is not a table"),
        ('"assist"', '"assist', "line 11, column 18"),
    ],
)
def test_errors_name_the_key(old, new, named):
    """Guards against an error message that does not locate the fault."""
    assert old in FILE
    with pytest.raises(DeploymentError) as error:
        parse_deployment(FILE.replace(old, new, 1))
    assert named in str(error.value)
    assert "\n" not in str(error.value)


@given(
    cut=st.integers(0, len(FILE)), junk=st.text(max_size=20), end=st.integers(0, 400)
)
def test_any_text_gives_a_deployment_error(cut, junk, end):
    """Guards against a traceback for a damaged file."""
    try:
        parse_deployment(FILE[:cut] + junk + FILE[end:])
    except DeploymentError:
        pass


@given(running=configurations(), wanted=deployments())
def test_plans_lead_to_the_wanted_configuration(running, wanted):
    """Guards against plans that are invalid or never converge."""
    for _round in range(ROUNDS):
        plan = difference(running, wanted)
        for change in plan.changes:
            assert describe(change, running)
            running = state.apply_change(running, change)
    if not plan.changes and not plan.deferred:
        assert without_states(running) == without_states(wanted)
    else:
        # Only entries that swap addresses with each other remain deferred.
        assert not plan.changes
        assert all("is taken by" in reason for _change, reason in plan.deferred)


@given(wanted=st.lists(changes, max_size=30))
def test_batches_keep_order_and_fit_a_commit(wanted):
    """Guards against a batch that is too large for a commit."""
    wanted = wanted * 40
    parts = list(batches(wanted))
    assert [change for part in parts for change in part] == wanted
    for part in parts:
        encoded = state.encode_change(state.Batch(changes=tuple(part)))
        assert len(encoded) <= 60 * 1024
