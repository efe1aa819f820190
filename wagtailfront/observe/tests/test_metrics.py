"""Tests of the metrics and their catalogue page."""

from wagtailfront.observe.metrics import Metrics, catalogue
from wagtailfront.observe.write_catalogue import PAGE


def test_catalogue_page_is_current():
    """Guards against a page that differs from the metrics in the code."""
    assert PAGE.read_text() == catalogue()


def test_render_gives_values():
    """Guards against metrics that a scraper cannot read."""
    metrics = Metrics()
    metrics.observe("first_token_seconds", 0.2, service="desk-assist")
    metrics.set("config_version", 7)
    text = metrics.render().decode()
    assert "wagtailfront_config_version 7" in text
    assert 'first_token_seconds_bucket{le="0.25",service="desk-assist"} 1' in text
    assert "wagtailfront_process_cpu_seconds" in text
