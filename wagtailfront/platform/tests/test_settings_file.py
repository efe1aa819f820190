"""Tests of the bounds in the platform's settings file."""

import pytest

from wagtailfront.platform.settings_file import read_config_apply


def test_the_bound_of_the_deployment_is_read(tmp_path):
    """Guards against a constant in place of what the deployment says."""
    path = tmp_path / "boot.conf"
    path.write_text("node=n1\nbounds.drain-ms=3000\nbounds.config-apply-ms=4000\n")
    assert read_config_apply(path, default=2.0) == 4.0


@pytest.mark.parametrize(
    "text", ["", "node=n1\n", "bounds.config-apply-ms=x\n", "bounds.config-apply-ms=0"]
)
def test_a_file_without_the_bound_leaves_the_default(tmp_path, text):
    """Guards against a start that fails by an odd settings file."""
    path = tmp_path / "boot.conf"
    path.write_text(text)
    assert read_config_apply(path, default=2.0) == 2.0
    assert read_config_apply(tmp_path / "none", default=2.0) == 2.0
    assert read_config_apply(None, default=3.0) == 3.0
