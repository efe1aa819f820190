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

from wagtailfront.authority.claims import ClaimMachine
from wagtailfront.authority.config_log import ConfigLog
from wagtailfront.authority.config_state import apply_change
from wagtailfront.authority.engine_change import ChangeMachine
from wagtailfront.authority.freshness import Freshness
from wagtailfront.authority.lease import LeaseMachine, candidates
from wagtailfront.authority.orders import OrderMachine
from wagtailfront.decisions.admission import Admission, TokenBucket
from wagtailfront.decisions.crash_evidence import CrashEvidence
from wagtailfront.decisions.hedging import HedgePlanner
from wagtailfront.decisions.length_prediction import LengthPredictor
from wagtailfront.decisions.outlier_detection import SlowDetector
from wagtailfront.decisions.policy import ExpectedFinish
from wagtailfront.decisions.prefix_affinity import PrefixMap
from wagtailfront.decisions.retry_budget import (
    RetryAllowance,
    RetryBudget,
    retry_delay,
)
from wagtailfront.decisions.role_planning import RolePlanner
from wagtailfront.decisions.silence import EndpointSilence
from wagtailfront.decisions.subsetting import subset
from wagtailfront.outcome import Answered, Failed, Refused, Verdict

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
