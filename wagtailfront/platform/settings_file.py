"""Bounds in the settings file that the platform gives to a process."""

import logging
import math

__all__ = ["read_config_apply"]

logger = logging.getLogger(__name__)

CONFIG_APPLY = "bounds.config-apply-ms"
MS_PER_SECOND = 1000


def read_config_apply(path, *, default):
    """Return the seconds within which a change must be in force.

    Parameters
    ----------
    path : Path or None
        The settings file, with lines of the form `a.b=value`.
    default : float
        Result if the file does not say, or cannot be read.

    Returns
    -------
    float
    """
    if path is None:
        return default
    try:
        pairs = (line.partition("=") for line in path.read_text().splitlines())
        values = {name.strip(): value.strip() for name, _separator, value in pairs}
        seconds = float(values[CONFIG_APPLY]) / MS_PER_SECOND
        if not 0.0 < seconds < math.inf:
            raise ValueError(f"{CONFIG_APPLY} is {values[CONFIG_APPLY]}")
    except (OSError, KeyError, ValueError) as error:
        logger.warning("[settings] no bound in %s: %r", path, error)
        return default
    return seconds
