"""Tests of the index of the engines that accept new work."""

from hypothesis import given, strategies as st

from wagtailfront.authority.config_state import (
    MarkEngine,
    SetEngineState,
    apply_change,
)
from wagtailfront.authority.engine_marks import EngineTarget
from wagtailfront.bench.slope_fleet import make_fleet
from wagtailfront.callers.policy_scheduler import PolicyScheduler

NAMES = st.sampled_from([f"engine-{number}" for number in range(6)])
MODELS = [f"model-{number}" for number in range(4)]
TARGETS = st.builds(
    EngineTarget,
    st.sampled_from(MODELS),
    st.just("2"),
    st.lists(st.sampled_from(MODELS), max_size=2).map(tuple),
)
CHANGES = st.one_of(
    st.builds(
        SetEngineState,
        name=NAMES,
        state=st.sampled_from(["serving", "draining", "withdrawn"]),
    ),
    st.builds(
        MarkEngine,
        name=NAMES,
        revision=st.just(1),
        draining=st.booleans(),
        running=TARGETS,
    ),
)


@given(changes=st.lists(CHANGES, max_size=12))
def test_index_follows_every_configuration(changes):
    """Guards against new work for an engine that no longer serves a model."""
    config = make_fleet(6, models=3)
    scheduler = PolicyScheduler()
    scheduler.configure(config)
    for change in changes:
        config = apply_change(config, change)
        scheduler.configure(config)
        for model in MODELS:
            serving = {engine.name for engine in scheduler.calls.serving.get(model, ())}
            assert serving == {
                name
                for name, engine in config.engines.items()
                if engine.state == "serving"
                and not config.engine_marks[name].draining
                and model
                in (
                    config.engine_marks[name].running.model,
                    *config.engine_marks[name].running.adapters,
                )
            }
