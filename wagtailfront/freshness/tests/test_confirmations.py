"""Tests of when an instance asks the store for changes by itself."""

from hypothesis import given, strategies as st

from wagtailfront.forwarding.tests.builders import make_confirmations
from wagtailfront.forwarding.tests.fleet import Fleet
from wagtailfront.freshness.confirmations import TURN_SECONDS, Confirmations

BOUND = 4.0  # seconds
ADDRESSES = st.sets(st.text(min_size=1, max_size=8), min_size=1, max_size=60)


def make_fleet(addresses):
    """Return the Confirmations of each instance, all in touch."""
    return [
        Confirmations(
            tables=("routing",),
            bound=BOUND,
            address=address,
            find_live=lambda: set(addresses),
        )
        for address in addresses
    ]


@given(ADDRESSES)
def test_all_ask_within_the_bound_and_the_first_ones_in_turn(addresses):
    """Guards against a rush of calls, and against an instance that waits."""
    fleet = make_fleet(addresses)
    for each in fleet:
        each.record_answer("routing", now=0.0)
    dues = sorted(each.due("routing") for each in fleet)
    assert dues[0] == BOUND / 2
    assert dues[-1] <= 3 * BOUND / 4
    pairs = zip(dues[:10], dues[1:10], strict=False)
    assert all(later - due > TURN_SECONDS / 2 for due, later in pairs)


@given(st.floats(0.0, 60.0), st.floats(0.0, 60.0))
def test_an_answer_to_a_peer_never_makes_knowledge_older(age, other_age):
    """Guards against reports that arrive in another order."""
    confirmations = make_confirmations("routing", bound=BOUND)
    dues = []
    for each in (age, other_age):
        confirmations.record_peer((each,), is_level=(True,), now=100.0)
        dues.append(confirmations.due("routing"))
    assert dues == sorted(dues)
    assert dues[-1] == 100.0 - min(age, other_age) + BOUND / 2


def test_a_peer_that_knows_a_later_change_confirms_nothing():
    """Guards against trust in what is known to be old."""
    confirmations = make_confirmations("routing", "registry", bound=BOUND)
    for table in ("routing", "registry"):
        confirmations.record_answer(table, now=0.0)
    confirmations.record_peer((0.0, 0.0), is_level=(False, True), now=50.0)
    assert confirmations.due("routing") == BOUND / 2
    assert confirmations.due("registry") == 50.0 + BOUND / 2


def test_a_peer_of_an_older_release_confirms_nothing():
    """Guards against trust in a peer that does not tell its ages."""
    confirmations = make_confirmations("routing", bound=BOUND)
    confirmations.record_answer("routing", now=0.0)
    confirmations.record_peer((), is_level=(True,), now=50.0)
    assert confirmations.due("routing") == BOUND / 2


def test_the_age_of_an_answer_reaches_all_instances():
    """Guards against reports that leave the ages out, direct or relayed."""
    for size in (3, 40):
        fleet = Fleet(size)
        fleet.discover_peers()
        fleet.run(2.0)
        first, *others = fleet.instances.values()
        answered_at = fleet.timers.now
        first.confirmations.record_answer("routing", now=answered_at)
        fleet.run(2.0)
        for each in others:
            confirmed = each.confirmations.confirmed_at["routing"]
            # A report that is relayed takes up to two sends.
            assert answered_at - 0.01 <= confirmed <= answered_at + 0.5
