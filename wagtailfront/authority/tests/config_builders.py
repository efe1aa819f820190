"""Builders of configurations, changes and instances for tests."""

from wagtailfront.authority.config_state import (
    Endpoint,
    Engine,
    Objective,
    PutEndpoint,
    PutEngine,
    PutService,
    PutWorkspace,
    RosterMember,
    Service,
    SetEngineState,
    Workspace,
)

__all__ = ["ENGINES", "base_changes", "drain", "limit_change", "make_member"]

CENTRES = ("brum", "leic", "notts", "coven")
ENGINES = ("freezer-1", "freezer-2")


def make_engine(number):
    """Return an engine of desk-assist."""
    return Engine(
        name=ENGINES[number],
        service="desk-assist",
        address=f"10.1.1.{number + 1}:8000",
        data_centre=CENTRES[number],
        model="recipe-8b",
        version="3",
    )


def base_changes():
    """Return the changes that set up the Association's services."""
    return [
        PutService(
            service=Service(
                name="desk-assist",
                kind="model",
                models=("recipe-8b",),
                objectives=(Objective("short", 0.77, 0.95, 0.999),),
            )
        ),
        PutService(service=Service(name="member-ledger", kind="plain")),
        *(PutEngine(engine=make_engine(number)) for number in range(len(ENGINES))),
        PutEndpoint(
            endpoint=Endpoint("ledger-1", "member-ledger", "10.1.2.1:80", "brum")
        ),
    ]


def drain(engine, state="draining"):
    """Return a change of an engine's state, to draining by default."""
    return SetEngineState(name=engine, state=state)


def limit_change(name, rate):
    """Return a change of a workspace's request rate."""
    workspace = Workspace(name=name, requests_per_s=float(rate), burst=10.0)
    return PutWorkspace(workspace=workspace)


def make_member(number, *, generation=0, centres=CENTRES):
    """Return a roster member; each generation is another incarnation."""
    return RosterMember(
        incarnation=f"inc{number}g{generation}",
        instance=f"kiosk-{number}",
        address=f"10.0.{number // 200}.{number % 200 + 1}:7000",
        data_centre=centres[number % len(centres)],
    )
