"""Log lines as text or JSON."""

import logging
import sys

import msgspec

__all__ = ["start_logging", "JsonFormatter"]

TEXT_FORMAT = "%(asctime)s %(levelname)s %(message)s"


class JsonFormatter(logging.Formatter):
    """Formats a record as JSON; a message's prefix becomes the field `part`.

    Examples
    --------
    >>> text, values = "[lease] Lost %s.", ("a",)
    >>> record = logging.LogRecord("x", 20, "", 0, text, values, None)
    >>> fields = msgspec.json.decode(JsonFormatter().format(record))
    >>> fields["part"], fields["message"]
    ('lease', 'Lost a.')
    """

    def format(self, record):
        """Return the record as JSON."""
        message = record.getMessage()
        part, separator, rest = message.removeprefix("[").partition("] ")
        if not (message.startswith("[") and separator):
            part, rest = "", message
        fields = {
            "time": self.formatTime(record),
            "level": record.levelname.lower(),
            "part": part,
            "message": rest,
        }
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)
        return msgspec.json.encode(fields).decode()


def start_logging(*, level="info", form="text"):
    """Write log lines to standard error.

    Parameters
    ----------
    level : str
        Name of the lowest level that is logged.
    form : str
        "text" or "json".
    """
    handler = logging.StreamHandler(sys.stderr)
    formatter = JsonFormatter() if form == "json" else logging.Formatter(TEXT_FORMAT)
    handler.setFormatter(formatter)
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
