"""Tests of decoding the rows that endpoints and operators write."""

import pytest
from hypothesis import given, strategies as st

from wagtailfront.forwarding.routes import RequestKind, Scaling, ServiceShare
from wagtailfront.platform.rows import read_registry, read_routing, read_rows
from wagtailfront.platform.tests.builders import (
    make_config,
    make_registration,
    make_row,
)
from wagtailfront.workspaces.keys import KeyedWorkspace, key_digest

JUNK = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=5,
)


def test_reads_an_endpoint():
    """Guards the meaning of each field of a registration."""
    (record,) = read_registry([make_row("i-1", make_registration(state="draining"))])
    assert record.endpoint_id == "i-1"
    assert (record.host, record.port, record.service) == ("10.0.0.9", 80, "s")
    assert (record.data_centre, record.slots, record.stage) == ("a", 8, "decode")
    assert record.is_leaving
    assert record.incarnation == "i-1/5"
    assert record.software_version == "v1"


def test_an_engine_of_an_unreadable_version_is_kept():
    """Guards against a loss of engines, and versions that match by chance."""
    row = make_row("i-1", make_registration(version="v" * 200))
    (record,) = read_registry([row])
    assert record.software_version == ""


@pytest.mark.parametrize("version", [None, 2, ["v1"], {}])
def test_an_entry_with_a_version_of_another_type_names_no_engine(version):
    """Guards against engines that another writer has entered."""
    row = make_row("i-1", make_registration(version=version))
    assert read_registry([row]) == []


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\x00",
        b"{",
        {},
        make_registration(address="nowhere"),
        make_registration(address="10.0.0.9:0"),
        make_registration(address="an-engine.invalid:80"),
        make_registration(address=":80"),
        make_registration(state="asleep"),
        make_registration(slots="many"),
        make_registration(service=""),
        make_registration(service=7),
    ],
)
def test_only_an_unreadable_registration_is_skipped(value):
    """Guards against a malformed registration that hides the others."""
    skipped = {}
    rows = [make_row("bad", value), make_row("good", make_registration())]
    records = read_registry(rows, skipped=skipped)
    assert [record.endpoint_id for record in records] == ["good"]
    assert list(skipped) == ["bad"]


@given(value=JUNK)
def test_no_registration_raises(value):
    """Guards against JSON values that raise an exception."""
    read_registry([make_row("i", value)])


def test_reads_a_configuration():
    """Guards units and meaning of the fields of a configuration."""
    config = read_routing([make_row("config", make_config())])
    (route,) = config.routes
    assert config.version == 7
    assert (route.timeout, route.target_latency, route.gap_target) == (5.0, 0.4, 0.25)
    assert route.kind is RequestKind.STREAMING
    assert route.shares == (ServiceShare("s", 90),)
    assert route.may_repeat
    assert config.services["s"].is_model
    assert not config.services["t"].is_model
    assert (config.limits.max_head, config.limits.idle_timeout) == (100, 1.5)


@pytest.mark.parametrize(
    ("engine", "seconds"),
    [
        ({"kv-token-bytes": 18432, "link-mbps": 1000.0}, 18432 * 8 / 1e9),
        ({"kv-token-bytes": 18432, "link-mbps": 0}, 0.0),
        ({"kv-token-bytes": 18432}, 0.0),
        ({}, 0.0),
    ],
)
def test_reads_the_time_of_a_transfer(engine, seconds):
    """Guards the choice between near and far engines against units."""
    services = [{"name": "s", "engine": engine}]
    config = read_routing([make_row("config", make_config(services=services))])
    read = config.services["s"].transfer_seconds_per_token
    assert read == pytest.approx(seconds)


@pytest.mark.parametrize(
    "value", [b"{", {"routes": []}, make_config(version="seven"), make_config(routes=3)]
)
def test_an_unreadable_configuration_is_an_error(value):
    """Guards the current configuration against a malformed replacement."""
    with pytest.raises(ValueError, match="unreadable configuration"):
        read_routing([make_row("config", value)])


def test_no_configuration_is_none():
    """Guards against a failure before the operator has written one."""
    assert read_routing([]) is None


def test_an_unreadable_response_of_the_store_is_an_error():
    """Guards against a truncated response that is taken as complete."""
    with pytest.raises(ValueError, match="unreadable rows"):
        read_rows(b'{"rows":[')


@pytest.mark.parametrize("order", [(0, 1, 2), (2, 0, 1)])
def test_the_latest_of_several_configurations_in_one_answer_is_taken(order):
    """Guards against a change that is lost behind an earlier one."""
    rows = [
        make_row("config", make_config(version=7 + 2 * number), ver=40 + number)
        for number in order
    ]
    assert read_routing(rows).version == 11


def read_config(**fields):
    return read_routing([make_row("config", {"version": 1, **fields})])


def test_keys_are_kept_as_digests():
    """Guards against a key in a log line that shows the configuration."""
    tenants = [{"name": "t", "api-keys": ["secret", "other"], "priority": 1}]
    config = read_config(tenants=tenants)
    workspace = KeyedWorkspace("t", 1)
    assert config.workspaces == {
        key_digest("secret"): workspace,
        key_digest("other"): workspace,
    }
    assert "secret" not in repr(config)


def test_no_workspaces_differ_from_an_empty_list():
    """Guards against public requests where every key has been removed."""
    assert read_config().workspaces is None
    assert read_config(tenants=[]).workspaces == {}


def test_reads_how_a_service_scales():
    engine = {"slots": 64, "kv-capacity-tokens": 439456}
    scaling = {"min": 1, "max": 30, "boot-s": 4.0, "spot-price": 0.18}
    service = {"name": "s", "engine": engine, "scaling": scaling}
    found = read_config(services=[service]).services["s"]
    assert found.engine_slots == 64
    assert found.scaling == Scaling(1, 30, 4.0, 0.18, {})


def test_reads_whether_an_engine_may_be_reclaimed():
    records = read_registry([make_row("i-1", make_registration(spot=True))])
    assert [record.is_spot for record in records] == [True]
