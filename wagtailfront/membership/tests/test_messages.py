"""Tests of the decoders of data from peers, stores and the platform."""

import random

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from wagtailfront.authority.config_log import ConfigLog, LogEntry, decode_entry
from wagtailfront.authority.config_state import (
    EMPTY,
    apply_change,
    decode_change,
    decode_configuration,
)
from wagtailfront.authority.snapshot import decode_snapshot, encode_snapshot
from wagtailfront.authority.tests.config_builders import (
    base_changes,
    limit_change,
    make_member,
)
from wagtailfront.exception import ConfigurationError, ProtocolError
from wagtailfront.membership import messages
from wagtailfront.membership.bus_keys import zap_reply
from wagtailfront.membership.member_list_poller import parse_list
from wagtailfront.membership.pinger import PINGED_PEERS, choose_peers

DECODERS = (
    messages.decode_message,
    decode_entry,
    decode_change,
    decode_configuration,
    decode_snapshot,
    parse_list,
)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(("type", "name", "version", "change", "instances", "nonce"))
            | st.text(max_size=4),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)
NAMES = st.text(max_size=130)
NUMBERS = st.integers(-1, 2**54)
PINGS = st.builds(
    messages.Ping,
    nonce=NUMBERS,
    incarnation=NAMES,
    instance=NAMES,
    address=NAMES,
    data_centre=NAMES,
    version=NUMBERS,
)


@settings(max_examples=300)
@given(
    data=st.binary(max_size=200)
    | JSON.map(msgspec.json.encode)
    | JSON.map(lambda value: msgspec.msgpack.encode(float_safe(value)))
)
def test_hostile_bytes_raise_protocol_errors_only(data):
    """Guards against a decoding error that stops a component."""
    for decode in DECODERS:
        try:
            decode(data)
        except ProtocolError:
            pass


def float_safe(value):
    """Return `value` without integers that msgpack cannot hold."""
    if isinstance(value, int) and not -(2**63) <= value < 2**64:
        return float(value % 2**62)
    if isinstance(value, list):
        return [float_safe(item) for item in value]
    if isinstance(value, dict):
        return {key: float_safe(item) for key, item in value.items()}
    return value


def test_deep_nesting_is_rejected():
    """Guards against a recursion error in a decoder."""
    for data in (b"[" * 100_000, b"\x91" * 90_000, b'{"type":' * 50_000):
        for decode in DECODERS:
            with pytest.raises(ProtocolError):
                decode(data)


@given(ping=PINGS)
def test_limits_hold_on_decoding(ping):
    """Guards against texts and numbers beyond the limits of the format."""
    texts = (ping.incarnation, ping.instance, ping.address, ping.data_centre)
    valid = all(len(text) <= 128 for text in texts) and all(
        0 <= number <= messages.MAX_NUMBER for number in (ping.nonce, ping.version)
    )
    data = messages.encode_message(ping)
    if valid:
        assert messages.decode_message(data) == ping
    else:
        with pytest.raises(ProtocolError):
            messages.decode_message(data)


def test_only_copies_may_be_large():
    """Guards against huge messages of a small type that exhaust memory."""
    messages.encode_message(messages.ConfigCopy(snapshot=bytes(200_000)))
    for size in (200_000, messages.MAX_MESSAGE_BYTES + 1):
        data = msgspec.msgpack.encode({"type": "Leaving", "x": bytes(size)})
        with pytest.raises(ProtocolError):
            messages.decode_message(data)


@given(position=st.integers(0, 10_000), bit=st.integers(0, 7))
def test_damaged_snapshot_is_rejected(position, bit):
    """Guards against a damaged snapshot that decodes as a configuration."""
    config = EMPTY
    for change in base_changes():
        config = apply_change(config, change)
    data = bytearray(encode_snapshot(config))
    assert decode_snapshot(bytes(data)) == config
    data[position % len(data)] ^= 1 << bit
    with pytest.raises(ProtocolError):
        decode_snapshot(bytes(data))
    with pytest.raises(ProtocolError):
        decode_snapshot(bytes(data)[: position % len(data)])


@given(order=st.permutations(range(8)), copies=st.lists(st.integers(0, 7)))
def test_log_is_applied_in_order_whatever_arrives(order, copies):
    """Guards against a version that is skipped, repeated or reverted."""
    changes = [limit_change("till", rate) for rate in range(1, 9)]
    log, seen = ConfigLog(retained=3), []
    for index in (*copies, *order, *copies):
        entry = LogEntry(
            version=index + 1, change_id=f"c{index}", author="a", change=changes[index]
        )
        seen += [done.version for done in log.add(entry)]
    assert seen == list(range(1, 9))
    assert log.config.workspaces["till"].requests_per_s == 8.0
    assert [entry.version for entry in log.entries_after(5)] == [6, 7, 8]
    assert log.entries_after(4) is None


def test_invalid_entry_is_not_applied():
    """Guards against an entry of newer software that is partly applied."""
    log = ConfigLog()
    bad = limit_change("till", -1)
    with pytest.raises(ConfigurationError):
        apply_change(EMPTY, bad)
    entry = LogEntry(version=1, change_id="c", author="a", change=bad)
    assert log.add(entry) == [] and log.version == 0 and log.rejected[0] == 1


def test_invalid_zap_requests_are_rejected():
    """Guards against accepting a request of another length or mechanism."""
    assert zap_reply([b"1.0"], frozenset()) is None
    request = [b"1.0", b"7", b"", b"", b"", b"NULL", b""]
    assert zap_reply(request, frozenset())[2] == b"400"


def test_peers_of_a_large_fleet():
    """Guards against peers that leave members or data centres isolated."""
    centres = tuple(f"dc{number}" for number in range(19))
    dice = random.Random(1)
    members = [
        make_member(number, centres=centres)._replace(address=f"10.1.0.1:{number + 1}")
        for number in range(340)
    ]
    dice.shuffle(members)
    chosen = {member: choose_peers(member, members) for member in members}
    for member, peers in chosen.items():
        others = {peer.data_centre for peer in peers} - {member.data_centre}
        assert len(peers) == PINGED_PEERS and len(others) >= 4
    reached, border = {members[0]}, [members[0]]
    while border:
        border = [peer for peer in chosen[border.pop()] if peer not in reached] + border
        reached.update(border)
    assert len(reached) == 340
