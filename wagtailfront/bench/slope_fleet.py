"""Configurations of any size for measurements of costs."""

from wagtailfront.authority.config_state import (
    EMPTY,
    Batch,
    Engine,
    JoinRoster,
    PutEngine,
    PutService,
    PutWorkspace,
    RosterMember,
    Service,
    Workspace,
    apply_change,
)

__all__ = [
    "DATA_CENTRES",
    "make_fleet",
    "make_member",
    "make_workspaces",
    "with_roster",
]

DATA_CENTRES = 19
MODELS = 27


def make_fleet(engines, *, models=MODELS):
    """Return a configuration with `engines` engines over all data centres.

    Each model has its own service.
    """
    services = [
        PutService(
            service=Service(
                name=f"service-{number}", kind="model", models=(f"model-{number}",)
            )
        )
        for number in range(models)
    ]
    members = [
        PutEngine(
            engine=Engine(
                name=f"engine-{number}",
                service=f"service-{number % models}",
                address=f"10.{number // 62500}.{number // 250 % 250}.{number % 250 + 1}"
                ":8000",
                data_centre=f"centre-{number % DATA_CENTRES}",
                model=f"model-{number % models}",
                version="1",
            )
        )
        for number in range(engines)
    ]
    return apply_change(EMPTY, Batch(changes=(*services, *members)))


def make_workspaces(count):
    """Return a configuration with `count` workspaces."""
    changes = [
        PutWorkspace(
            workspace=Workspace(
                name=f"workspace-{number}",
                requests_per_s=10.0,
                burst=20.0,
                key_digest=f"{number:064x}",
            )
        )
        for number in range(count)
    ]
    return apply_change(EMPTY, Batch(changes=tuple(changes)))


def make_member(number):
    """Return a roster member with names of the usual lengths."""
    return RosterMember(
        incarnation=f"{number:016x}",
        instance=f"entry-{number}",
        address=f"10.1.{number // 250}.{number % 250 + 1}:8002",
        data_centre=f"centre-{number % DATA_CENTRES}",
    )


def with_roster(config, count):
    """Return `config` with `count` roster members."""
    for number in range(count):
        config = apply_change(config, JoinRoster(member=make_member(number)))
    return config
