"""Tests of the state that a forwarding instance shares between components."""

from wagtailfront.forwarding.interfaces import EndpointNotice
from wagtailfront.forwarding.tests.builders import LogLines, make_record
from wagtailfront.programs.forward_tree import ForwardTree
from wagtailfront.programs.tests.forward_site import make_settings

ADDRESS = ("127.0.0.1", 1)
NAMES = ("callers", "status", "store", "peers", "metrics")


def make_tree():
    """Return the tree of an instance that was not started."""
    settings = make_settings(**dict.fromkeys(NAMES, ADDRESS))
    return ForwardTree(settings=settings, log=LogLines())


def test_metrics_count_the_endpoints_that_leave_and_that_pause():
    """Guards operators against capacity that is gone without a figure."""
    tree = make_tree()
    records = [make_record(f"e{number}") for number in range(4)]
    tree.directory.replace(records, now=0.0)
    record_answer = tree.forwarder.context.notices.record_answer
    for record in records[:2]:
        record_answer(record, EndpointNotice(is_leaving=True), status=200)
    record_answer(records[2], EndpointNotice(retry_after=60.0), status=503)
    tree.directory.replace(records[1:], now=1.0)
    page = tree.render_metrics()[2].decode()
    assert "wagtailfront_leaving_endpoints 1" in page
    assert "wagtailfront_paused_endpoints 1" in page
    assert 'wagtailfront_endpoint_notices_total{notice="leaving"} 2' in page
    assert 'wagtailfront_endpoint_notices_total{notice="pause"} 1' in page


def test_no_connection_to_a_leaving_endpoint_is_kept():
    """Guards against new work on connections from before the notice."""
    tree = make_tree()
    record = make_record("e1")
    tree.forwarder.context.notices.record_answer(
        record, EndpointNotice(is_leaving=True), status=200
    )
    assert tree._max_idle(record) == 0
