"""The `wagtailfront-forward` program: a forwarding instance."""

import pathlib
import signal
import sys

from wagtailfront.programs.settings import (
    Address,
    Count,
    Name,
    Rate,
    Seconds,
    Share,
    Size,
    run,
)

__all__ = ["main", "forward"]


def forward(
    *,
    instance: Name,
    data_centre: Name,
    callers: Address,
    status: Address,
    store: Address,
    peers: Address,
    metrics: Address | None = None,
    proxy: Address | None = None,
    drain_timeout: Seconds = 8.0,
    registry_gap: Seconds = 0.3,
    config_apply: Seconds = 2.0,
    settings: pathlib.Path | None = None,
    prefill_share: Share = 0.0,
    repeat_share: Share = 0.2,
    repeat_slack: Rate = 50.0,
    repeat_window: Seconds = 10.0,
    max_descriptors: Count = 4096,
    memory: Size | None = None,
):
    """Forward callers' requests to endpoints by the configured routes.

    Parameters
    ----------
    instance : Name
        Name of this instance.
    data_centre : Name
        Data centre that this instance runs in.
    callers : Address
        IP address and port for callers.
    status : Address
        IP address and port of the readiness page.
    store : Address
        IP address and port of the platform's store.
    peers : Address
        IP address and port for the other instances.
    metrics : Address
        IP address and port of the metrics page.
    proxy : Address
        IP address and port for requests of other instances that reach no
        endpoint of a service; by default a free port after that of `peers`.
    drain_timeout : Seconds
        Seconds from SIGTERM until the process is killed.
    registry_gap : Seconds
        Seconds between a response of the registry and the next watch, to
        batch changes that come close together.
    config_apply : Seconds
        Seconds within which a confirmed change of the configuration must be
        in force; a value in the file `settings` goes first.
    settings : Path
        The platform's settings file.
    prefill_share : Share
        Share of a service's engines that is set to the prefill stage before
        the first request arrives; 0 leaves all stages unchanged.
    repeat_share : Share
        Repeated attempts per request that all instances together may make.
    repeat_slack : Rate
        Repeated attempts in `repeat_window` that all instances together may
        make beyond the share.
    repeat_window : Seconds
        Seconds over which repeated attempts are counted.
    max_descriptors : Count
        File descriptors that the process may open.
    memory : Size
        Memory that the process may take; `limits.memory-mb` in the file
        `settings` goes first. By default that of the machine, but no more
        than 1024 MB. Of it 35% of what exceeds 48 MB is for callers' requests
        and unread answers. With 1024 MB these are 342 MB, or 54 bodies of
        the default limit of 4 MiB that arrive at once.
    """
    # These imports take most of the time of a start; main() is called first.
    from wagtailfront.intake.allocator import return_large_blocks
    from wagtailfront.observe.decision_log import standard_output_log
    from wagtailfront.observe.log import start_logging
    from wagtailfront.platform.settings_file import read_platform_settings
    from wagtailfront.programs.forward_tree import ForwardSettings, ForwardTree
    from wagtailfront.transport.supervisor import make_root

    start_logging(level="warning", form="json")
    return_large_blocks()
    platform = read_platform_settings(settings, config_apply=config_apply)
    if platform.memory_bytes is None:
        platform = platform._replace(memory_bytes=memory)
    forward_settings = ForwardSettings(
        instance=instance,
        data_centre=data_centre,
        callers=callers,
        status=status,
        store=store,
        peers=peers,
        metrics=metrics,
        proxy=proxy,
        drain_timeout=drain_timeout,
        registry_gap=registry_gap,
        platform=platform,
        prefill_share=prefill_share,
        repeat_share=repeat_share,
        repeat_slack=repeat_slack,
        repeat_window=repeat_window,
        max_descriptors=max_descriptors,
    )
    log = standard_output_log(instance)
    root = make_root(ForwardTree(settings=forward_settings, log=log).build())
    log.decision("start", outcome="started", data_centre=data_centre)
    root.run()


def main():
    """Run the program `wagtailfront-forward`."""
    # The default action would end a program that is not set up yet.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sys.exit(run(forward, prog="wagtailfront-forward"))


if __name__ == "__main__":
    main()
