"""The record of one run of a script."""

import time
from pathlib import Path


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path):
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def add(self, event: str, **fields: object) -> None:
        """Write one line."""
        values = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{time.monotonic() - self._began:8.3f} {event} {values}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write a line and print it."""
        self.add("note", text=text)
        print(text, flush=True)
