"""Tests of the load program."""

import json

import pytest

from wagtailfront.exception import SettingsError
from wagtailfront.programs import load


def test_decisions_prints_the_same_json_for_a_seed(capsys):
    """Guards against measures that differ between runs with one seed."""
    for _ in range(2):
        load.decisions(scenario="calm", seed=5, seconds=5.0, json=True)
    first, second = capsys.readouterr().out.splitlines()
    assert first == second
    assert json.loads(first)["scenario"] == "calm"


@pytest.mark.parametrize("wrong", [{"policy": "none"}, {"mix": "none"}])
def test_unknown_name_is_a_settings_error(wrong):
    """Guards against a traceback instead of a list of the known names."""
    with pytest.raises(SettingsError, match="known: "):
        load.decisions(scenario="calm", **wrong)
