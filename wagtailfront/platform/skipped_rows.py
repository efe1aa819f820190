"""Log of rows that cannot be used."""

__all__ = ["SkippedRows"]


class SkippedRows:
    """Logs each skipped row of a table once for each reason.

    Parameters
    ----------
    kind : str
        Kind of the lines.
    log : DecisionLog

    Attributes
    ----------
    reasons : dict of str to str
        Reasons by key, in the latest read.
    """

    def __init__(self, *, kind, log):
        self.kind = kind
        self.log = log
        self.reasons = {}

    def replace(self, reasons):
        """Replace the skipped rows by those of a read of the whole table."""
        for key, reason in reasons.items() - self.reasons.items():
            self.log.decision(self.kind, outcome=key, reason=reason)
        self.reasons = reasons
