"""Follows a request's id through collected log files."""

import re
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

# A line may be preceded by what a collector adds, such as a time and a VM's name.
_LINE = re.compile(r"(?P<origin>.*?)\bts=(?P<ts>\d+\.\d+) (?P<rest>.*)")
_LEFT_OUT_EVENTS = ("log_lines_left_out", "log_lines_dropped")


@dataclass(frozen=True)
class Step:
    """One line about a request; ``origin`` is the log file or the VM it names."""

    ts: float
    origin: str
    text: str


@dataclass(frozen=True)
class Explanation:
    """The lines about a request in order, and what the logs can't tell."""

    steps: tuple[Step, ...]
    missing: tuple[str, ...]


def explain(request_id: str, files: Iterable[Path]) -> Explanation:
    """Collect the way of a request from log files; raises OSError."""
    wanted = re.compile(rf"\brequest={re.escape(request_id)}(?:\s|$)")
    steps: list[Step] = []
    incomplete: list[str] = []
    for path in files:
        with path.open(errors="replace") as lines:
            for line in lines:
                if wanted.search(line):
                    steps.append(_step(path, line))
                elif any(f"event={event}" in line for event in _LEFT_OUT_EVENTS):
                    incomplete.append(path.name)
    steps.sort(key=lambda step: step.ts)
    return Explanation(tuple(steps), tuple(_missing(steps, incomplete)))


def _step(path: Path, line: str) -> Step:
    found = _LINE.match(line)
    if found is None:
        return Step(0.0, path.name, line.strip())
    words = found["origin"].split()
    origin = words[-1] if words else path.name
    return Step(float(found["ts"]), origin, found["rest"].strip())


def _missing(steps: list[Step], incomplete: list[str]) -> Iterable[str]:
    if not steps:
        yield "no line about this request: its daemon's log is not among the files"
    elif not any("event=request_ended" in step.text for step in steps):
        yield "no end: the daemon ended before the request, or its log is cut"
    for name in sorted(set(incomplete)):
        yield f"{name}: lines were left out, see its log_lines events"
