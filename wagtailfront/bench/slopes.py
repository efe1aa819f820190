"""Linear fits of measured costs, and functions that measure them."""

import gc
import statistics
import time
import tracemalloc
from typing import NamedTuple

__all__ = [
    "Slope",
    "fit",
    "measure",
    "memory_of",
    "processor_time_of",
    "time_per_run",
    "parse_metrics",
    "render",
]

REPEATS = 5
MICROSECONDS_PER_SECOND = 1e6


class Slope(NamedTuple):
    """A cost that grows by `slope` per unit of size.

    Attributes
    ----------
    quantity : str
    unit : str
        Unit of the values and the intercept.
    per : str
        Unit of the sizes.
    error : float
        Largest relative deviation of the line from a value.
    """

    quantity: str
    unit: str
    per: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    slope: float
    intercept: float
    error: float

    def at(self, size):
        """Return the fitted value at a size."""
        return self.intercept + self.slope * size


def fit(quantity, unit, per, sizes, values):
    """Return the `Slope` fitted to values at three sizes or more.

    Raises
    ------
    ValueError
        If there are fewer sizes.

    Examples
    --------
    >>> line = fit("state", "bytes", "engine", [1, 2, 3], [15, 25, 35])
    >>> line.slope, line.intercept, line.error
    (10.0, 5.0, 0.0)
    """
    if len(sizes) < 3:
        raise ValueError("a fit needs three sizes or more")
    slope, intercept = statistics.linear_regression(sizes, values)
    errors = [
        abs(intercept + slope * size - value) / abs(value)
        for size, value in zip(sizes, values, strict=True)
        if value
    ]
    return Slope(
        quantity=quantity,
        unit=unit,
        per=per,
        sizes=tuple(sizes),
        values=tuple(values),
        slope=slope,
        intercept=intercept,
        error=max(errors, default=0.0),
    )


def measure(quantity, unit, per, sizes, cost_at):
    """Return the `Slope` fitted to `cost_at(size)` over the sizes."""
    return fit(quantity, unit, per, sizes, [cost_at(size) for size in sizes])


def memory_of(make):
    """Return the bytes that the result of `make()` occupies."""
    gc.collect()
    tracemalloc.start()
    try:
        before, _peak = tracemalloc.get_traced_memory()
        result = make()
        gc.collect()
        after, _peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del result
    return after - before


def processor_time_of(run, *, repeats=REPEATS):
    """Return the least processor time of `run()` in microseconds.

    Other processes on the core can only lengthen a run, so the least of a
    few repeats is nearest to the cost.
    """
    return min(_processor_time(run) for _ in range(repeats)) * MICROSECONDS_PER_SECOND


def time_per_run(run, count):
    """Return the mean processor time of `count` runs in microseconds."""
    return processor_time_of(lambda: [run() for _ in range(count)]) / count


def _processor_time(run):
    gc.collect()
    gc.disable()
    try:
        begin = time.process_time()
        run()
        return time.process_time() - begin
    finally:
        gc.enable()


def parse_metrics(text):
    """Return the samples of a page in the Prometheus text format.

    Returns
    -------
    dict of str to float
        Sum over all label values, by name of the sample.

    Examples
    --------
    >>> lines = ["# HELP a A.", 'a{b="x y"} 1', 'a{b="z"} 2.5']
    >>> parse_metrics(chr(10).join(lines))
    {'a': 3.5}
    """
    totals = {}
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        name, _, rest = line.partition("{")
        if rest:
            value = rest.rpartition("}")[2].split()[0]
        else:
            name, value = line.split()[:2]
        totals[name] = totals.get(name, 0.0) + float(value)
    return totals


def render(slopes):
    """Return a table of the slopes as lines of text."""
    lines = [f"{'quantity':44} {'unit':9} {'per':20} {'slope':>10} "]
    lines[0] += f"{'intercept':>11} {'error':>6}  sizes"
    for line in slopes:
        sizes = ", ".join(f"{size:g}" for size in line.sizes)
        lines.append(
            f"{line.quantity:44} {line.unit:9} {line.per:20} {line.slope:10.4g} "
            f"{line.intercept:11.4g} {line.error:6.1%}  {sizes}"
        )
    return lines
