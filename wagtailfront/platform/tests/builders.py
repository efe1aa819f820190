"""Builders of rows of the platform's store for tests."""

import base64

import msgspec

from wagtailfront.platform.rows import StoreRow


def make_row(key, value, ver=1):
    """Return a row with `value` as JSON, or unchanged if it is bytes."""
    data = value if isinstance(value, bytes) else msgspec.json.encode(value)
    return StoreRow(key=key, value=base64.b64encode(data).decode(), ver=ver)


def make_registration(**changes):
    """Return an engine's registration; keywords replace its fields."""
    fields = {
        "service": "s",
        "address": "10.0.0.9:80",
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "stage": "decode",
        "born": 5,
        "sequence": 4,
    }
    return {**fields, **changes}


def make_wire_route(**changes):
    """Return a route of the operator's; keywords replace its fields."""
    fields = {
        "name": "r",
        "host": "h.example",
        "prefix": "/a/",
        "kind": "streaming",
        "timeout-ms": 5000,
        "target-latency-ms": 400,
        "priority": 2,
        "traffic-split": [
            {"service": "s", "weight": 90},
            {"service": "t", "weight": 0},
        ],
        "max-attempts": 2,
        "resumable": True,
        "gap-aim-ms": 250,
    }
    return {**fields, **changes}


def make_config(**changes):
    """Return an operator's configuration; keywords replace its fields."""
    fields = {
        "version": 7,
        "routes": [make_wire_route()],
        "services": [
            {"name": "s", "max-connections": 9, "engine": {"kv-capacity-tokens": 5}},
            {"name": "t", "max-connections": 3},
        ],
        "limits": {"max-header-bytes": 100, "idle-timeout-ms": 1500},
    }
    return {**fields, **changes}
