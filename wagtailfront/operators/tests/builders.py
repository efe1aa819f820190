"""Hypothesis strategies for configurations and changes."""

from hypothesis import strategies as st

from wagtailfront.authority import config_state as state
from wagtailfront.authority.engine_marks import target_of
from wagtailfront.exception import ConfigurationError

__all__ = ["changes", "configurations", "deployments", "entries"]

SERVICES = ["assist", "ledger"]
NAMES = ["a", "b", "c"]
MODELS = ["m1", "m2"]
ADAPTERS = ["x", "y"]

addresses = st.sampled_from([f"127.0.0.1:{port}" for port in range(9001, 9006)])
member_states = st.sampled_from(["serving", "draining", "withdrawn"])
objectives = st.builds(
    state.Objective,
    request_class=st.sampled_from(["short", "long"]),
    latency=st.floats(0.001, 100.0),
    latency_share=st.sampled_from([0.5, 0.95, 1.0]),
    availability=st.sampled_from([0.5, 0.999, 1.0]),
)


def subsets(values, *, min_size=0):
    """Return a strategy of tuples of distinct values."""
    lists = st.lists(st.sampled_from(values), unique=True, min_size=min_size)
    return lists.map(tuple)


model_services = st.builds(
    state.Service,
    name=st.just("assist"),
    kind=st.just("model"),
    models=subsets(MODELS, min_size=1),
    adapters=subsets(ADAPTERS),
    min_serving=st.none() | st.integers(0, 5),
    non_idempotent=st.just(()),
    objectives=st.lists(objectives, max_size=2).map(tuple),
)
plain_services = st.builds(
    state.Service,
    name=st.just("ledger"),
    kind=st.just("plain"),
    models=st.just(()),
    adapters=st.just(()),
    min_serving=st.none() | st.integers(0, 5),
    objectives=st.lists(objectives, max_size=2).map(tuple),
    non_idempotent=st.just((state.NonIdempotentRule(("POST",), "/bookings"),)),
)
engines = st.builds(
    state.Engine,
    name=st.sampled_from(NAMES),
    service=st.just("assist"),
    address=addresses,
    data_centre=st.sampled_from(["brum", "leic"]),
    model=st.sampled_from(MODELS),
    version=st.sampled_from(["1", "2"]),
    adapters=subsets(ADAPTERS),
    role=st.sampled_from(["mixed", "prefill", "decode"]),
    checks_fencing=st.booleans(),
    state=member_states,
)
endpoints = st.builds(
    state.Endpoint,
    name=st.sampled_from(NAMES),
    service=st.just("ledger"),
    address=addresses,
    data_centre=st.sampled_from(["brum", "leic"]),
    state=member_states,
)
workspaces = st.builds(
    state.Workspace,
    name=st.sampled_from(NAMES),
    requests_per_s=st.floats(0.1, 1e6),
    burst=st.floats(1.0, 1e6),
    queue_share=st.floats(0.01, 1.0),
    key_digest=st.sampled_from(["", "0" * 64]),
)
entries = st.one_of(model_services, plain_services, engines, endpoints, workspaces)
names = st.sampled_from(NAMES)
changes = st.one_of(
    st.builds(state.PutService, service=model_services | plain_services),
    st.builds(state.DeleteService, name=st.sampled_from(SERVICES)),
    st.builds(state.PutEngine, engine=engines),
    st.builds(state.DeleteEngine, name=names),
    st.builds(state.SetEngineState, name=names, state=member_states),
    st.builds(
        state.MarkEngine,
        name=names,
        revision=st.integers(0, 9),
        draining=st.booleans(),
        running=st.none() | engines.map(target_of),
    ),
    st.builds(state.PutEndpoint, endpoint=endpoints),
    st.builds(state.DeleteEndpoint, name=names),
    st.builds(state.SetEndpointState, name=names, state=member_states),
    st.builds(state.PutWorkspace, workspace=workspaces),
    st.builds(state.DeleteWorkspace, name=names),
)


def apply_valid(wanted):
    """Return the configuration after applying the valid changes."""
    config = state.EMPTY
    for change in wanted:
        try:
            config = state.apply_change(config, change)
        except ConfigurationError:
            continue
    return config


@st.composite
def configurations(draw):
    """Draw a configuration made by valid changes."""
    return apply_valid(
        [
            *draw(st.lists(model_services.map(lambda s: state.PutService(service=s)))),
            *draw(st.lists(plain_services.map(lambda s: state.PutService(service=s)))),
            *draw(st.lists(changes, max_size=12)),
        ]
    )


@st.composite
def deployments(draw):
    """Draw a configuration that a deployment file can describe.

    Unlike in a running configuration, no engine has an adapter that its
    service no longer offers, since services are added before engines.
    """
    config = draw(configurations())
    return apply_valid(
        [
            *(state.PutService(service=entry) for entry in config.services.values()),
            *(state.PutEngine(engine=entry) for entry in config.engines.values()),
            *(state.PutEndpoint(endpoint=entry) for entry in config.endpoints.values()),
            *(
                state.PutWorkspace(workspace=entry)
                for entry in config.workspaces.values()
            ),
        ]
    )
