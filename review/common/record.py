"""The record of a run: what was sent, answered and run, with times."""

import json
import time
from dataclasses import dataclass, field
from pathlib import Path


@dataclass
class Record:
    """Events of a run in order; ``at`` is in seconds from the start."""

    events: list[dict] = field(default_factory=list)
    began: float = field(default_factory=time.monotonic)

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return round(time.monotonic() - self.began, 4)

    def add(self, event: str, **fields) -> float:
        """Add an event; return its time."""
        self.events.append({"at": self.now, "event": event, **fields})
        return self.events[-1]["at"]

    def of(self, event: str, **fields) -> list[dict]:
        """Return the events of a kind that have these fields."""
        return [
            item
            for item in self.events
            if item["event"] == event
            and all(item.get(key) == value for key, value in fields.items())
        ]

    def write(self, path: Path) -> None:
        """Write one line an event."""
        lines = [json.dumps(item) for item in self.events]
        path.write_text("\n".join(lines) + "\n")
