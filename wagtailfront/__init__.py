"""Serving system for a fixed fleet of model engines and plain services.

The names exported here are the coordination algorithms as a library. They
open no sockets and need no event loop: the time and replies are passed as
arguments.

Examples
--------
>>> import wagtailfront as wf
>>> wf.subset(["e1", "e2", "e3"], key="instance-1", size=2)
['e1', 'e2']
"""

import importlib

__all__ = [
    "Admission",
    "Answered",
    "ChangeMachine",
    "ClaimMachine",
    "ConfigLog",
    "CrashEvidence",
    "EndpointSilence",
    "ExpectedFinish",
    "Failed",
    "Freshness",
    "HedgePlanner",
    "LeaseMachine",
    "LengthPredictor",
    "OrderMachine",
    "PrefixMap",
    "Refused",
    "RetryAllowance",
    "RetryBudget",
    "RolePlanner",
    "SlowDetector",
    "TokenBucket",
    "Verdict",
    "apply_change",
    "candidates",
    "retry_delay",
    "subset",
]

# Loaded on first use, as a program needs few of them and starts often.
MODULES = {
    "Admission": "decisions.admission",
    "Answered": "outcome",
    "ChangeMachine": "authority.engine_change",
    "ClaimMachine": "authority.claims",
    "ConfigLog": "authority.config_log",
    "CrashEvidence": "decisions.crash_evidence",
    "EndpointSilence": "decisions.silence",
    "ExpectedFinish": "decisions.policy",
    "Failed": "outcome",
    "Freshness": "authority.freshness",
    "HedgePlanner": "decisions.hedging",
    "LeaseMachine": "authority.lease",
    "LengthPredictor": "decisions.length_prediction",
    "OrderMachine": "authority.orders",
    "PrefixMap": "decisions.prefix_affinity",
    "Refused": "outcome",
    "RetryAllowance": "decisions.retry_budget",
    "RetryBudget": "decisions.retry_budget",
    "RolePlanner": "decisions.role_planning",
    "SlowDetector": "decisions.outlier_detection",
    "TokenBucket": "decisions.admission",
    "Verdict": "outcome",
    "apply_change": "authority.config_state",
    "candidates": "authority.lease",
    "retry_delay": "decisions.retry_budget",
    "subset": "decisions.subsetting",
}


def __getattr__(name):
    """Import an exported name from its module."""
    if name not in MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f"{__name__}.{MODULES[name]}"), name)
