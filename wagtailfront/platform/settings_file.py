"""Values in the settings file that the platform gives to a process."""

import logging
import math
from typing import NamedTuple

from wagtailfront.decoding import decode_address

__all__ = ["PlatformSettings", "read_platform_settings"]

logger = logging.getLogger(__name__)

MS_PER_SECOND = 1000
BYTES_PER_MEGABYTE = 1_000_000
DATA_CENTRE_PREFIX = "zones."
DUTIES = {"usage_report": "usage", "scale": "fleet_size"}


class PlatformSettings(NamedTuple):
    """What the settings file says of the deployment; times in seconds.

    Attributes
    ----------
    config_apply : float
        Within which a confirmed change of the configuration is in force.
    revoke_within : float or None
        Within which no instance serves a key that was removed, whatever it
        reaches; None if the deployment does not ask for it.
    memory_bytes : int or None
        Memory of the machine; None if the file does not say.
    duty_address : (str, int) or None
        Where the calls of duties go; None without duties.
    duties : frozenset of str
        Of "usage" and "fleet_size".
    duty_rate : float
        Calls of duties per second that all instances together may make.
    usage_window, usage_due : float
        Length of a usage window, and the time from its end in which its
        report is due.
    holder_gap : float
        Time in which no two changes of a duty's holder may happen.
    data_centres : tuple of str
        All data centres of the deployment, sorted.
    """

    config_apply: float
    revoke_within: float | None = None
    memory_bytes: int | None = None
    duty_address: tuple[str, int] | None = None
    duties: frozenset[str] = frozenset()
    duty_rate: float = 1.0
    usage_window: float = 60.0
    usage_due: float = 60.0
    holder_gap: float = 3.0
    data_centres: tuple[str, ...] = ()


def read_platform_settings(path, *, config_apply):
    """Return the PlatformSettings in a file.

    Parameters
    ----------
    path : Path or None
        The settings file, with lines of the form `a.b=value`.
    config_apply : float
        Used if the file does not say, or cannot be read.

    Returns
    -------
    PlatformSettings
        With the default of each value that is missing or malformed.
    """
    settings = PlatformSettings(config_apply=config_apply)
    if path is None:
        return settings
    try:
        pairs = (line.partition("=") for line in path.read_text().splitlines())
        values = {name.strip(): value.strip() for name, _separator, value in pairs}
    except (OSError, ValueError) as error:
        logger.warning("[settings] %s cannot be read: %r", path, error)
        return settings
    reader = _Reader(values=values, path=path)
    found = {
        "config_apply": reader.seconds("bounds.config-apply-ms", required=True),
        "usage_window": reader.seconds("bounds.report-window-s", unit=1),
        "usage_due": reader.seconds("bounds.usage-late-s", unit=1),
        "holder_gap": reader.seconds("bounds.lease-ms"),
        "duty_rate": reader.seconds("cloud.duty-per-s", unit=1),
        "duty_address": reader.address("cloud.address"),
    }
    if values.get("bounds.strict-revoke") == "true":
        found["revoke_within"] = reader.seconds("bounds.revoke-ms", required=True)
    memory = reader.seconds("limits.memory-mb", unit=1)
    if memory is not None:
        found["memory_bytes"] = int(memory * BYTES_PER_MEGABYTE)
    names = values.get("cloud.duties", "").split(",")
    return settings._replace(
        duties=frozenset(DUTIES[name] for name in names if name in DUTIES),
        data_centres=tuple(
            sorted(
                name.removeprefix(DATA_CENTRE_PREFIX)
                for name in values
                if name.startswith(DATA_CENTRE_PREFIX)
            )
        ),
        **{name: value for name, value in found.items() if value is not None},
    )


class _Reader:
    """Reads single values; a malformed one is logged and gives None."""

    def __init__(self, *, values, path):
        self.values = values
        self.path = path

    def seconds(self, name, *, unit=MS_PER_SECOND, required=False):
        """Return a positive number divided by `unit`, or None."""
        if not self.values.get(name) and not required:
            return None
        try:
            number = float(self.values[name]) / unit
            if not 0.0 < number < math.inf:
                raise ValueError(f"{name} is {self.values[name]}")
        except (KeyError, ValueError) as error:
            logger.warning("[settings] no %s in %s: %r", name, self.path, error)
            return None
        return number

    def address(self, name):
        """Return an address as (host, port), or None."""
        if not self.values.get(name):
            return None
        try:
            return decode_address(self.values[name])
        except ValueError as error:
            logger.warning("[settings] no %s in %s: %r", name, self.path, error)
            return None
