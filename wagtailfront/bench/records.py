"""Requests of a simulation, and records of how they were served."""

from dataclasses import dataclass
from typing import NamedTuple

from wagtailfront.decisions.work import Work
from wagtailfront.outcome import Refused

__all__ = ["Arrival", "Network", "Record"]


class Arrival(NamedTuple):
    """A request as it reaches an instance, with its true output length.

    `client` names the closed-loop client that sends it, or is empty.
    """

    at: float
    instance: int
    work: Work
    output_tokens: int
    client: str = ""


class Network(NamedTuple):
    """Delays in seconds and shares of lost messages.

    Attributes
    ----------
    one_way : float
        Delay of a message between an instance and an engine or peer.
    report_interval : float
        Time between two load reports of an engine.
    report_lag, cache_event_lag : float
        Time until load reports and cache events reach the instances.
    cache_event_loss : float
        Share of cache events that an instance does not receive.
    kv_transfer : float
        Time to transfer a request's KV cache to the decode engine.
    """

    one_way: float = 0.0015
    report_interval: float = 1.0
    report_lag: float = 5.0
    cache_event_lag: float = 1.0
    cache_event_loss: float = 0.05
    kv_transfer: float = 0.030


@dataclass(kw_only=True, slots=True)
class Record:
    """Record of one request; times in virtual seconds or None.

    Attributes
    ----------
    prior_tokens : int
        Output tokens that earlier attempts generated.
    engines, sent_at : list
        Engine and time of each attempt.
    probes_at : list of float
        Times of the attempts that probed an engine.
    """

    arrival: Arrival
    first_token: float | None = None
    finished: float | None = None
    refused: Refused | None = None
    refused_at: float | None = None
    failed: bool = False
    prior_tokens: int = 0
    engines: list[str]
    sent_at: list[float]
    probes_at: list[float]

    @property
    def latency(self):
        """Return the seconds from arrival to last token, or None."""
        return None if self.finished is None else self.finished - self.arrival.at

    @property
    def met_deadline(self):
        """Return whether the last token was received by the deadline."""
        return self.finished is not None and (
            self.finished <= self.arrival.work.deadline
        )
