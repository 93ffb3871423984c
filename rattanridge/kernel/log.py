"""Logs: one line of key=value pairs for each event, through logbook."""

import json
import sys

import logbook

PLAIN = set("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-/:+,@")
FORMAT = (
    "time={record.time:%Y-%m-%dT%H:%M:%S.%fZ} level={record.level_name} "
    "{record.message}"
)


def quote(value: object) -> str:
    """Return the value as one token; anything unusual becomes a JSON string."""
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if text and PLAIN.issuperset(text):
        return text
    return json.dumps(text)


def pairs(event: str, fields: dict[str, object]) -> str:
    """Return ``event=... key=value ...`` on one line."""
    items = [f"event={quote(event)}"]
    items.extend(f"{key}={quote(value)}" for key, value in fields.items())
    return " ".join(items)


class Log:
    """Writes events of one part of the system.

    :param part: the part's name, a pair on each line.
    :param node: the node's name, if any.
    """

    def __init__(self, part: str, node: str = ""):
        self.logger = logbook.Logger(part)
        self.fixed = {"part": part, "node": node} if node else {"part": part}

    def log(self, level: str, event: str, **fields: object) -> None:
        """Write an event at the level of that name."""
        number = logbook.lookup_level(level.upper())
        self.logger.log(number, pairs(event, self.fixed | fields))

    def debug(self, event: str, **fields: object) -> None:
        if self.logger.level <= logbook.DEBUG:
            self.logger.debug(pairs(event, self.fixed | fields))

    def info(self, event: str, **fields: object) -> None:
        self.logger.info(pairs(event, self.fixed | fields))

    def warn(self, event: str, **fields: object) -> None:
        self.logger.warning(pairs(event, self.fixed | fields))

    def error(self, event: str, **fields: object) -> None:
        self.logger.error(pairs(event, self.fixed | fields))


def configure(level: str = "info") -> None:
    """Send all events of at least ``level`` to standard error."""
    logbook.set_datetime_format("utc")
    handler = logbook.StreamHandler(
        sys.stderr, level=logbook.lookup_level(level.upper()), format_string=FORMAT
    )
    logbook.NullHandler().push_application()
    handler.push_application()
