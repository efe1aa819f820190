"""Duties of a whole instance, and their absence where there are none."""

import signal

import pytest

from wagtailfront.forwarding.tests.socket_instance import wait_for
from wagtailfront.platform.duty_client import USAGE_PATH
from wagtailfront.platform.settings_file import PlatformSettings
from wagtailfront.platform.tests.duty_api import DutyApi
from wagtailfront.programs.tests.forward_site import ForwardSite

USAGE = frozenset({"usage"})


@pytest.fixture
def site():
    """Return a site without endpoints' answers."""
    hangup = signal.getsignal(signal.SIGHUP)
    site = ForwardSite([lambda connection, request_id, request: True])
    yield site
    site.close()
    signal.signal(signal.SIGHUP, hangup)


@pytest.fixture
def api():
    """Return the platform's API."""
    api = DutyApi()
    yield api
    api.close()


def make_platform(**fields):
    """Return settings with short windows."""
    return PlatformSettings(
        config_apply=2.0, usage_window=1.0, usage_due=4.0, duty_rate=50.0, **fields
    )


@pytest.mark.parametrize(
    "fields",
    [{}, {"duties": USAGE}, {"duty_address": ("127.0.0.1", 9)}],
)
def test_without_duties_nothing_runs_reads_or_writes(site, fields):
    """Guards deployments without duties, or without their address."""
    with site.run_tree(platform=make_platform(**fields)) as (tree, root):
        wait_for(lambda: tree.contact.own_age(now=0.0) is not None)
        tree.forwarder.context.record_run("w", age=0.0)
        assert tree.duties is None
        assert not {"duties", "fleet_size"} & {
            type(part).__module__.split(".")[1] for part in tree.digest_parts
        }
        assert tree.store.on_clock is None
        assert not {"duty_calls", "duty_holder", "usage"} & set(root.live)
        tables = {table for table, _key in site.store.rows.rows}
        assert not tables & {"leases", "usage"}


def test_an_instance_reports_its_windows(site, api):
    """Guards the path from a run to the platform over real connections."""
    platform = make_platform(duties=USAGE, duty_address=api.address)
    with site.run_tree(platform=platform) as (tree, _root):
        wait_for(lambda: tree.duties.hold.grant())
        for _ in range(3):
            tree.timers.after(
                0.0, lambda: tree.forwarder.context.record_run("w", age=0.0)
            )
        wait_for(lambda: any(api.windows().values()))
        wait_for(lambda: len(api.windows()) >= 5)
        windows = api.windows()
        assert sum(counts.get("w", 0) for counts in windows.values()) == 3
        assert sorted(windows) == list(range(min(windows), max(windows) + 1))
        path, holder, fencing, _body = api.calls[0]
        assert (path, holder) == (USAGE_PATH, "i1")
        assert fencing > 0
        assert tree.render_metrics()[0] == 200
        kinds = set(tree.log.kinds())
        assert {"duty_holder", "usage"} <= kinds


@pytest.mark.parametrize("child", ["duty_calls", "duty_holder", "usage"])
def test_a_part_of_the_duties_that_fails_starts_again(site, api, child):
    """Guards against reports that end with a component."""
    platform = make_platform(duties=USAGE, duty_address=api.address)
    with site.run_tree(platform=platform) as (tree, root):
        wait_for(lambda: len(api.windows()) >= 2)
        tree.timers.after(0.0, lambda: root.fail_child(child))
        seen = len(api.windows())
        wait_for(lambda: len(api.windows()) >= seen + 3)
        numbers = [fencing for _, _, fencing, _ in api.calls]
        assert numbers == sorted(numbers)
