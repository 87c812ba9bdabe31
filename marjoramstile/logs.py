"""Structured logs: eliot messages written as one key=value line each."""

import sys
import time
from typing import Any, Protocol

from eliot import add_destinations, log_message, remove_destination
from logfmter import Logfmter

from marjoramstile.log_volume import VolumeLimit

LEVELS = ("debug", "info", "warning", "error")
_LEADING_KEYS = ("level", "event", "logger")
_HIDDEN_KEYS = frozenset({"timestamp", "task_uuid", "task_level", "message_type"})


class LineStream(Protocol):
    """A stream that a destination writes lines to."""

    def write(self, line: str) -> Any:
        """Write a line."""

    def flush(self) -> None:
        """Flush written lines."""


class Logger:
    """Logs the events of one module; each keyword becomes a field of the line."""

    def __init__(self, name: str):
        self._name = name

    def _log(self, level: str, event: str, fields: dict[str, Any]) -> None:
        log_message(
            message_type=event, event=event, level=level, logger=self._name, **fields
        )

    def debug(self, event: str, **fields: Any) -> None:
        """Log an event of interest to developers."""
        self._log("debug", event, fields)

    def info(self, event: str, **fields: Any) -> None:
        """Log an ordinary event."""
        self._log("info", event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Log an event that an operator may have to check."""
        self._log("warning", event, fields)

    def error(self, event: str, **fields: Any) -> None:
        """Log an event that an operator must check."""
        self._log("error", event, fields)


def get_logger(name: str) -> Logger:
    """Return the logger of the module ``name``."""
    return Logger(name)


class KeyValueDestination:
    """Eliot destination that writes messages of ``level`` or above to ``stream``."""

    def __init__(
        self, stream: LineStream, level: str = "info", limit: VolumeLimit | None = None
    ):
        self._stream = stream
        self._threshold = LEVELS.index(level)
        self._limit = limit

    def set_level(self, level: str) -> None:
        """Write messages of ``level`` or above from now on."""
        self._threshold = LEVELS.index(level)

    def __call__(self, message: dict[str, Any]) -> None:
        """Write ``message`` as one line."""
        level = message.get("level", "info")
        if LEVELS.index(level) < self._threshold:
            return
        if self._limit is not None:
            self._report_left_out()
            if not self._limit.admits(message.get("event", "-"), level):
                return
        self._write_line(level, message)

    def _report_left_out(self) -> None:
        for event, count in self._limit.collect_left_out().items():
            left_out = {"event": "log_lines_left_out", "of": event, "count": count}
            self._write_line("warning", {**left_out, "level": "warning"})

    def _write_line(self, level: str, message: dict[str, Any]) -> None:
        ordered = {"ts": f"{message.get('timestamp', time.time()):.3f}"}
        ordered.update({key: message.get(key, "-") for key in _LEADING_KEYS})
        for key, value in message.items():
            if key not in _HIDDEN_KEYS and key not in ordered:
                ordered[key] = value
        self._stream.write(_format(ordered) + "\n")
        self._stream.flush()


def _format(fields: dict[str, Any]) -> str:
    """Return a line without its end; a value that fails to print fails alone."""
    try:
        return Logfmter.format_params(fields)
    except Exception:
        printable = {key: _to_text(value) for key, value in fields.items()}
        return Logfmter.format_params(printable)


def _to_text(value: Any) -> str:
    try:
        return str(value)
    except Exception as error:
        return f"(unprintable {type(value).__name__}: {type(error).__name__})"


def start_logging(
    level: str, stream: LineStream | None = None, limit: VolumeLimit | None = None
) -> KeyValueDestination:
    """Log to ``stream`` (standard error by default); return the destination."""
    destination = KeyValueDestination(stream or sys.stderr, level, limit)
    add_destinations(destination)
    return destination


def stop_logging(destination: KeyValueDestination) -> None:
    """Stop writing to ``destination``."""
    remove_destination(destination)
