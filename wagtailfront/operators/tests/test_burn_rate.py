"""Tests of burn rates against an independent count."""

from html.parser import HTMLParser

from hypothesis import given, strategies as st

from wagtailfront.authority.config_state import Objective, Service
from wagtailfront.observe.request_observer import FinishedRequest
from wagtailfront.operators.burn_rate import (
    MIN_REQUESTS,
    WINDOW_LENGTHS,
    WINDOW_PAIRS,
    html_report,
    measure,
    merge,
    text_report,
)
from wagtailfront.outcome import Verdict

NOW = 10_000.0
OBJECTIVE = Objective("short", latency=0.77, latency_share=0.9, availability=0.99)
SERVICE = Service("<assist>", "model", ("m",), objectives=(OBJECTIVE,))

records = st.lists(
    st.builds(
        FinishedRequest,
        ended=st.floats(NOW - 2 * WINDOW_LENGTHS[-1], NOW),
        service=st.sampled_from(["<assist>", "other"]),
        request_class=st.sampled_from(["short", "long"]),
        first_token=st.none() | st.floats(0.0, 2.0),
        token_gap=st.none(),
        verdict=st.sampled_from(Verdict),
        answered=st.booleans(),
    ),
    max_size=60,
)


def answered_requests(*, slow, count=100, age=0.0):
    """Return answered requests; the share `slow` misses the latency."""
    return [
        FinishedRequest(
            ended=NOW - age,
            service="<assist>",
            request_class="short",
            first_token=5.0 if number < slow * count else 0.1,
            token_gap=None,
            verdict=Verdict.RAN,
            answered=True,
        )
        for number in range(count)
    ]


def alerts(requests):
    return {
        (burn.objective, burn.window)
        for burn in measure(requests, [SERVICE], now=NOW)
        if burn.alert
    }


@given(first=records, second=records)
def test_burns_count_what_the_objective_covers(first, second):
    """Guards against counts for a wrong window, class or objective."""
    burns = measure(first + second, [SERVICE], now=NOW)
    assert len(burns) == 2 * len(WINDOW_LENGTHS)
    for burn in burns:
        covered = [
            record
            for record in first + second
            if (record.service, record.request_class) == ("<assist>", "short")
            and NOW - record.ended <= burn.window
        ]
        if burn.objective == "latency":
            covered = [r for r in covered if r.answered and r.first_token is not None]
            bad = sum(record.first_token > 0.77 for record in covered)
        else:
            bad = sum(not record.answered for record in covered)
        assert (burn.requests, burn.bad) == (len(covered), bad)
        assert 0 <= burn.burn_rate <= 1 / (1 - burn.target) + 1e-6
    # Merging two instances' burns equals measuring all requests at once.
    parts = [measure(part, [SERVICE], now=NOW) for part in (first, second)]
    assert sorted(merge(parts[0] + parts[1])) == sorted(burns)


def test_alert_needs_both_windows():
    """Guards against alerts for a loss that has ended or is insignificant."""
    allowed_share = 1 - OBJECTIVE.latency_share
    assert alerts(answered_requests(slow=0.7)) == {
        ("latency", 3600.0),
        ("latency", 1800.0),
    }
    assert alerts(answered_requests(slow=5 * allowed_share)) == set()
    assert alerts(answered_requests(slow=0.7, age=WINDOW_PAIRS[1].short + 1)) == set()
    assert alerts(answered_requests(slow=1.0, count=MIN_REQUESTS - 1)) == set()


def test_reports_are_complete_and_escaped():
    """Guards against a page that loads other files or unescaped names."""
    burns = measure(answered_requests(slow=0.7), [SERVICE], now=NOW)
    lines = text_report(burns).splitlines()
    assert len(lines) == 1 + len(burns)
    assert sum("ALERT" in line for line in lines) == 2
    tags = []
    parser = HTMLParser()
    parser.handle_starttag = lambda tag, attributes: tags.append((tag, attributes))
    parser.feed(html_report(burns))
    names = [tag for tag, _attributes in tags]
    assert names.count("tr") == len(lines)
    assert not {"script", "link", "img", "assist"} & set(names)
    assert sum(("class", "alert") in attributes for _tag, attributes in tags) == 2
