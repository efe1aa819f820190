"""The `wagtailfront-standin` program: engine, service and platform."""

import sys
from typing import Literal

from circuits import BaseComponent

from wagtailfront.observe.log import start_logging
from wagtailfront.programs.settings import (
    Address,
    Count,
    Name,
    Rate,
    Seconds,
    run,
)
from wagtailfront.standins.engine import EngineSettings, StandinEngine
from wagtailfront.standins.platform import platform
from wagtailfront.standins.service import StandinService
from wagtailfront.transport.supervisor import make_root

__all__ = ["main", "engine", "service", "platform"]

LogLevel = Literal["debug", "info", "warning", "error"]


def engine(
    *,
    bind: Address,
    model: str,
    version: str = "1",
    adapters: list[str] = (),
    role: Literal["mixed", "prefill", "decode"] = "mixed",
    step: Seconds = 0.02,
    prefill_rate: Rate = 20000.0,
    max_running: Count = 32,
    change_time: Seconds = 2.0,
    report_lag: Seconds = 0.0,
    checks_fencing: bool = True,
    log_level: LogLevel = "info",
):
    """Serve a stand-in model engine.

    Parameters
    ----------
    bind : Address
        IP address and port to listen on.
    model : str
        Model that is loaded at the start.
    version : str
        Version of the model.
    adapters : list[str]
        Adapters that are loaded at the start.
    role : Literal
        Role at the start.
    step : Seconds
        Seconds between decode steps.
    prefill_rate : Rate
        Prompt tokens prefilled per second.
    max_running : Count
        Requests that are decoded concurrently.
    change_time : Seconds
        Seconds that the engine is unavailable while it applies an order.
    report_lag : Seconds
        Seconds by which load reports are delayed.
    checks_fencing : bool
        Reject orders with an old fencing number.
    log_level : Literal
        Least severe level that is logged.
    """
    start_logging(level=log_level)
    settings = EngineSettings(
        step=step,
        prefill_rate=prefill_rate,
        max_running=max_running,
        change_time=change_time,
        report_lag=report_lag,
        checks_fencing=checks_fencing,
    )
    root = make_root(BaseComponent())
    StandinEngine(
        bind=bind,
        model=model,
        version=version,
        adapters=tuple(adapters),
        role=role,
        settings=settings,
    ).register(root)
    root.run()


def service(
    *,
    bind: Address,
    name: Name,
    service_time: Seconds = 0.005,
    log_level: LogLevel = "info",
):
    """Serve a stand-in plain service that records executed requests.

    Parameters
    ----------
    bind : Address
        IP address and port to listen on.
    name : Name
        Name of this endpoint, sent in every response.
    service_time : Seconds
        Seconds between a request and its response.
    log_level : Literal
        Least severe level that is logged.
    """
    start_logging(level=log_level)
    root = make_root(BaseComponent())
    StandinService(bind=bind, name=name, service_time=service_time).register(root)
    root.run()


def main():
    """Run the program `wagtailfront-standin`."""
    sys.exit(run([engine, service, platform], prog="wagtailfront-standin"))
