"""Timers that act after the reads which were due before them."""

__all__ = ["call_after_reads"]

MAX_LATENESS = 0.05  # seconds; timers that are later were held up by a stall
READ_DELAY = 0.02  # seconds until all that arrived during a stall is read


def call_after_reads(after, *, clock, delay, callback):
    """Call a function after a delay, but not before reads that are due.

    Timers are called before sockets are read. After a stall of the instance
    they would act on what it knew before the stall.

    Parameters
    ----------
    after : callable
        Calls a function after a delay.
    clock : callable
        Returns monotonic seconds.
    delay : float
        Seconds.
    callback : callable
    """
    due = clock() + delay

    def call():
        if clock() - due > MAX_LATENESS:
            after(READ_DELAY, callback)
        else:
            callback()

    after(delay, call)
