"""Tests of the supervisor tree."""

from circuits import BaseComponent, Event, handler

from wagtailfront.transport.supervisor import MAX_FAILURES, ChildSpec, Supervisor


class fail(Event):
    """Make the worker raise an exception."""


class Worker(BaseComponent):
    """Raises an exception on a `fail` event."""

    channel = "worker"

    @handler("fail")
    def _on_fail(self):
        raise RuntimeError("worker failed")


class Sibling(BaseComponent):
    """Child without handlers."""


def make_tree(clock):
    root = BaseComponent()
    supervisor = Supervisor(
        label="test",
        children=[
            ChildSpec("first", Sibling),
            ChildSpec("worker", Worker),
            ChildSpec("last", Sibling),
        ],
        clock=clock,
    ).register(root)
    flush(root)
    return root, supervisor


def flush(root):
    while len(root):
        root.flush()


def test_failed_child_and_later_ones_are_restarted():
    """Guards against a child that stays stopped or refers to a stopped one."""
    root, supervisor = make_tree(lambda: 0.0)
    before = dict(supervisor.live)
    root.fire(fail(), "worker")
    flush(root)
    assert set(supervisor.live) == {"first"}
    supervisor._on_restart()
    flush(root)
    assert supervisor.live["first"] is before["first"]
    assert supervisor.live["worker"] is not before["worker"]
    assert supervisor.live["last"] is not before["last"]


def test_repeated_failures_stop_the_process():
    """Guards against endless restarts of a failing component."""
    root, supervisor = make_tree(lambda: 0.0)
    codes = []
    root.stop = codes.append
    for _ in range(MAX_FAILURES + 1):
        assert codes == []
        root.fire(fail(), "worker")
        flush(root)
        supervisor._on_restart()
        flush(root)
    assert codes == [1]


def test_request_failures_do_not_count():
    """Guards against a caller whose request can stop a component."""
    root, supervisor = make_tree(lambda: 0.0)

    class request(fail):
        """Event that a caller causes."""

    event = request()
    event.name = "request"
    worker = supervisor.live["worker"]
    supervisor._on_exception(
        RuntimeError, RuntimeError("x"), [], handler=worker._on_fail, fevent=event
    )
    assert supervisor.live["worker"] is worker
