"""Tests of the platform's settings file."""

import pytest

from wagtailfront.platform.settings_file import (
    PlatformSettings,
    read_platform_settings,
)

WHOLE = """
bounds.config-apply-ms=3000
bounds.strict-revoke=true
bounds.revoke-ms=5000
bounds.lease-ms=3000
bounds.report-window-s=5
bounds.usage-late-s=10
cloud.address=10.200.0.66:8780
cloud.duties=usage_report,scale,other
cloud.duty-per-s=50.0
limits.memory-mb=200
zones.muscat-b=muscat
zones.muscat-a=muscat
"""


def read(tmp_path, text, config_apply=2.0):
    path = tmp_path / "boot.conf"
    path.write_text(text)
    return read_platform_settings(path, config_apply=config_apply)


def test_the_bound_of_the_deployment_is_read(tmp_path):
    """Guards against a constant in place of what the deployment says."""
    text = "node=n1\nbounds.drain-ms=3000\nbounds.config-apply-ms=4000\n"
    assert read(tmp_path, text) == PlatformSettings(config_apply=4.0)


@pytest.mark.parametrize(
    "text", ["", "node=n1\n", "bounds.config-apply-ms=x\n", "bounds.config-apply-ms=0"]
)
def test_a_file_without_the_bound_leaves_the_default(tmp_path, text):
    """Guards against a start that fails by an odd settings file."""
    default = PlatformSettings(config_apply=2.0)
    assert read(tmp_path, text) == default
    assert read_platform_settings(tmp_path / "none", config_apply=2.0) == default
    assert read_platform_settings(None, config_apply=2.0) == default


def test_all_values_are_read(tmp_path):
    """Guards against a misspelled name, whose part would stay switched off."""
    assert read(tmp_path, WHOLE) == PlatformSettings(
        config_apply=3.0,
        revoke_within=5.0,
        memory_bytes=200_000_000,
        duty_address=("10.200.0.66", 8780),
        duties=frozenset({"usage", "fleet_size"}),
        duty_rate=50.0,
        usage_window=5.0,
        usage_due=10.0,
        holder_gap=3.0,
        data_centres=("muscat-a", "muscat-b"),
    )


def test_revocation_is_strict_only_where_it_is_asked_for(tmp_path):
    """Guards against refusals of keyed requests on other deployments."""
    text = "bounds.strict-revoke=false\nbounds.revoke-ms=5000\n"
    assert read(tmp_path, text).revoke_within is None


def test_a_malformed_address_switches_the_duties_off(tmp_path):
    """Guards against an instance that does not start by a wrong address."""
    assert read(tmp_path, "cloud.address=x:y\n").duty_address is None
