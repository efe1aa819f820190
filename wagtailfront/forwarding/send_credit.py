"""Sends that one request may make before it draws on the repeat budget."""

__all__ = ["SendCredit"]


class SendCredit:
    """Charges the sends of one request beyond the first to the budget.

    Parameters
    ----------
    budget : AttemptBudget
    clock : callable

    Attributes
    ----------
    sends : int
        Sends that are already paid for; the first one is free.
    is_prefilled : bool
        Whether an engine has accepted a separate prefill. The first one is
        free, as it replaces the prefill by the engine that decodes.

    Notes
    -----
    Endpoints count each request that reaches them, also one that they
    refuse. A send that failed before its first byte keeps its credit.

    Examples
    --------
    >>> from wagtailfront.forwarding.attempt_budget import AttemptBudget
    >>> credit = SendCredit(
    ...     budget=AttemptBudget(share=0.2, window=10.0), clock=lambda: 0.0
    ... )
    >>> credit.reserve(1)
    True
    >>> credit.record_run()
    >>> credit.reserve(1)
    False
    """

    def __init__(self, *, budget, clock):
        self.budget = budget
        self.clock = clock
        self.sends = 1
        self.is_prefilled = False

    def cost(self, *, is_split):
        """Return the sends to pay for; `is_split` for a separate prefill."""
        return 2 if is_split and self.is_prefilled else 1

    def reserve(self, sends):
        """Return whether so many sends may be made, and pay for them."""
        missing = sends - self.sends
        if missing > 0 and not self.budget.spend(missing, now=self.clock()):
            return False
        self.sends = max(self.sends, sends)
        return True

    def record_run(self):
        """Record that a run has reached an endpoint."""
        self.sends -= 1

    def record_prefill(self, *, is_accepted):
        """Record that a separate prefill has reached an engine."""
        if is_accepted and not self.is_prefilled:
            self.is_prefilled = True
        else:
            self.sends -= 1
