"""Costs of components of an entry instance, measured in one process."""

import itertools
import random

from wagtailfront.authority.config_log import ConfigLog, LogEntry, encode_entry
from wagtailfront.authority.config_state import (
    SetEngineState,
    apply_change,
    decode_configuration,
    encode_configuration,
)
from wagtailfront.bench.slope_authority import authority_costs
from wagtailfront.bench.slope_fleet import make_fleet, make_workspaces
from wagtailfront.bench.slope_membership import membership_costs
from wagtailfront.bench.slope_store import store_costs
from wagtailfront.bench.slopes import (
    measure,
    memory_of,
    processor_time_of,
    time_per_run,
)
from wagtailfront.callers.completion_request import parse_completion
from wagtailfront.callers.policy_scheduler import PolicyScheduler
from wagtailfront.decisions.work import LoadReport, Role
from wagtailfront.membership.messages import ConfigChange, encode_message

__all__ = ["measure_all"]

FLEET_SIZES = (275, 550, 825, 1100)
SERVICE_SIZES = (41, 275, 550, 1100)
WORKSPACES = (110, 220, 430)
CHANGES = (250, 500, 1000)
NOW = 1000.0


def measure_all():
    """Yield a `Slope` per quantity."""
    yield from _engine_costs()
    yield from _decision_costs()
    yield from _configuration_costs()
    yield from authority_costs()
    yield from membership_costs()
    yield from store_costs()


def _make_scheduler(config):
    """Return a scheduler that has received a load report of every engine."""
    scheduler = PolicyScheduler(rng=random.Random(1), clock=lambda: NOW)
    scheduler.configure(config)
    for name in config.engines:
        report = LoadReport(NOW - 5.0, 8, 1, 900, Role.MIXED, True)
        scheduler.handle_load_report(name, report, NOW)
    return scheduler


def _engine_costs():
    texts = {size: encode_configuration(make_fleet(size)) for size in FLEET_SIZES}
    configs = {size: decode_configuration(text) for size, text in texts.items()}
    yield measure(
        "memory of Configuration",
        "bytes",
        "engine",
        FLEET_SIZES,
        lambda size: memory_of(lambda: decode_configuration(texts[size])),
    )
    yield measure(
        "memory of PolicyScheduler",
        "bytes",
        "engine",
        FLEET_SIZES,
        lambda size: memory_of(lambda: _make_scheduler(configs[size])),
    )
    yield measure(
        "PolicyScheduler.configure",
        "us",
        "engine",
        FLEET_SIZES,
        lambda size: processor_time_of(lambda: _make_scheduler(configs[size])),
    )
    yield measure(
        "read of a whole configuration",
        "us",
        "engine",
        FLEET_SIZES,
        lambda size: processor_time_of(lambda: decode_configuration(texts[size])),
    )
    yield measure(
        "size of a whole configuration",
        "bytes",
        "engine",
        FLEET_SIZES,
        lambda size: len(texts[size]),
    )
    yield measure(
        "PolicyScheduler.tick",
        "us",
        "engine",
        FLEET_SIZES,
        lambda size: _tick_time(configs[size]),
    )


def _tick_time(config):
    scheduler = _make_scheduler(config)
    return time_per_run(lambda: scheduler.tick(NOW), 20)


def _decision_costs():
    for label, models, sizes in (
        ("routing decision, 27 models", 27, FLEET_SIZES),
        ("routing decision, one model", 1, SERVICE_SIZES),
    ):
        yield measure(
            label,
            "us",
            "engine",
            sizes,
            lambda size, models=models: _decision_time(make_fleet(size, models=models)),
        )


def _decision_time(config, count=40):
    scheduler = _make_scheduler(config)
    body = b'{"model":"model-0","prompt":"plum sorbet","max_tokens":100}'
    request = parse_completion(body, {}, chat=False)
    names = (f"request-{number}" for number in itertools.count())

    def decide():
        name = next(names)
        scheduler.choose(request, request_id=name, attempt=1, exclude=(), now=NOW)
        scheduler.failed(name, NOW)

    return time_per_run(decide, count)


def _make_entry(version):
    change = SetEngineState(
        name=f"engine-{version % 100}", state=("serving", "draining")[version % 2]
    )
    return LogEntry(
        version=version, change_id=f"{version:032x}", author="operator", change=change
    )


def _configuration_costs():
    yield measure(
        "memory of workspaces",
        "bytes",
        "workspace",
        WORKSPACES,
        _workspaces_memory,
    )
    configs = {size: make_fleet(size) for size in FLEET_SIZES}
    change = SetEngineState(name="engine-1", state="draining")
    yield measure(
        "apply_change",
        "us",
        "engine",
        FLEET_SIZES,
        lambda size: time_per_run(lambda: apply_change(configs[size], change), 50),
    )
    small = configs[FLEET_SIZES[0]]
    yield measure(
        "memory of ConfigLog entries",
        "bytes",
        "change",
        CHANGES,
        lambda size: memory_of(lambda: _make_log(small, size)),
    )
    yield measure(
        f"ConfigLog.add, {FLEET_SIZES[-1]} engines",
        "us",
        "change",
        CHANGES,
        lambda size: processor_time_of(
            lambda: _make_log(configs[FLEET_SIZES[-1]], size)
        ),
    )
    yield measure(
        "size of ConfigChange messages",
        "bytes",
        "change",
        CHANGES,
        lambda size: sum(
            len(encode_message(ConfigChange(entry=_make_entry(number))))
            for number in range(1, size + 1)
        ),
    )
    yield measure(
        "size of change rows in the table",
        "bytes",
        "change",
        CHANGES,
        lambda size: sum(len(encode_entry(_make_entry(n))) for n in range(1, size + 1)),
    )


def _workspaces_memory(size):
    text = encode_configuration(make_workspaces(size))
    return memory_of(lambda: decode_configuration(text))


def _make_log(config, count):
    log = ConfigLog(config=config)
    for version in range(config.version + 1, config.version + count + 1):
        log.add(_make_entry(version))
    return log
