"""Leases, orders, configuration and claims."""

from wagtailfront.authority.change_rows import Change, ChangeLimits, Step
from wagtailfront.authority.claim_rows import Claim, RecordedAnswer, claim_key
from wagtailfront.authority.claims import ClaimMachine, ClaimTimes
from wagtailfront.authority.engine_change import ChangeMachine
from wagtailfront.authority.group_machine import GroupMachine
from wagtailfront.authority.lease import (
    Grant,
    Lease,
    LeaseMachine,
    LeaseTimes,
    candidates,
    lease_key,
)
from wagtailfront.authority.order_rows import (
    EngineState,
    Order,
    Target,
    order_number,
)
from wagtailfront.authority.orders import OrderMachine, OrderTimes

__all__ = [
    "Change",
    "ChangeLimits",
    "ChangeMachine",
    "Claim",
    "ClaimMachine",
    "ClaimTimes",
    "EngineState",
    "Grant",
    "GroupMachine",
    "Lease",
    "LeaseMachine",
    "LeaseTimes",
    "Order",
    "OrderMachine",
    "OrderTimes",
    "RecordedAnswer",
    "Step",
    "Target",
    "candidates",
    "claim_key",
    "lease_key",
    "order_number",
]
