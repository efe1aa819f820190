"""Tests that fleets are sized only where a deployment asks for it."""

import pytest

from wagtailfront.forwarding.tests.builders import LogLines
from wagtailfront.platform.settings_file import PlatformSettings
from wagtailfront.programs import forward_tree
from wagtailfront.programs.tests.forward_site import make_settings


def make_tree(duties):
    """Return the tree of an instance in a deployment with these duties."""
    names = ("callers", "status", "store", "peers")
    settings = make_settings(**dict.fromkeys(names, ("127.0.0.1", 1)), metrics=None)
    platform = PlatformSettings(
        config_apply=2.0, duties=frozenset(duties), duty_address=("127.0.0.1", 1)
    )
    return forward_tree.ForwardTree(
        settings=settings._replace(platform=platform), log=LogLines()
    )


@pytest.mark.parametrize("duties", [(), ("usage",), ("usage", "fleet_size")])
def test_component_and_digests_need_the_duty(duties, monkeypatch):
    """Guards against orders or longer digests in other deployments."""
    monkeypatch.setattr(forward_tree, "Supervisor", lambda label, children: children)
    tree = make_tree(duties)
    is_on = "fleet_size" in duties
    assert (tree.work in tree.digest_parts) == is_on
    specs = {spec.name: spec.factory for spec in tree.build()}
    assert ("fleet_size" in specs) == is_on
    if is_on:
        specs["duty_holder"]()
        assert specs["fleet_size"]().find_services() == {}
