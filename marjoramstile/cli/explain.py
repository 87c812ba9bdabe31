"""Finds the log lines about a request in collected log files.

The scheduler of a pool logs the id of a placement (``place`` or ``lease``) instead of
the request's id. The daemon that serves the request logs both.
"""

import re
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

# A log collector may prepend fields to a line, such as a time and a VM's name.
_LINE = re.compile(r"(?P<origin>.*?)\bts=(?P<ts>\d+\.\d+) (?P<rest>.*)")
_PLACEMENT_ID = re.compile(r"\bplace=(\S+)")
_DROPPED_LINE_EVENTS = ("log_lines_left_out", "log_lines_dropped")


@dataclass(frozen=True)
class Step:
    """One log line about a request.

    ``origin`` is the last word before the line's own fields, such as a VM's name, or
    the name of the log file if there is none.
    """

    ts: float
    origin: str
    text: str


@dataclass(frozen=True)
class Explanation:
    """The lines about a request, ordered by time, and what the logs lack."""

    steps: tuple[Step, ...]
    missing: tuple[str, ...]


def explain(request_id: str, files: Iterable[Path]) -> Explanation:
    """Collect the lines about a request, ordered by time.

    Raises OSError if a file can't be read.
    """
    files = tuple(files)
    wanted = re.compile(rf"\brequest={re.escape(request_id)}(?:\s|$)")
    steps = _steps(files, wanted)
    placement_ids = {id_ for step in steps for id_ in _PLACEMENT_ID.findall(step.text)}
    if placement_ids:
        names = "|".join(re.escape(id_) for id_ in sorted(placement_ids))
        of_placements = re.compile(rf"\b(?:place|lease)=(?:{names})(?:\s|$)")
        steps += [step for step in _steps(files, of_placements) if step not in steps]
    steps.sort(key=lambda step: step.ts)
    return Explanation(
        tuple(steps), tuple(_missing(steps, _files_with_dropped_lines(files)))
    )


def _steps(files: Iterable[Path], wanted: re.Pattern[str]) -> list[Step]:
    """Return the lines of all files that match a pattern."""
    steps: list[Step] = []
    for path in files:
        with path.open(errors="replace") as lines:
            steps += [_step(path, line) for line in lines if wanted.search(line)]
    return steps


def _files_with_dropped_lines(files: Iterable[Path]) -> list[str]:
    """Return the names of files in which the daemon reports dropped lines."""
    names = []
    for path in files:
        text = path.read_text(errors="replace")
        if any(f"event={event}" in text for event in _DROPPED_LINE_EVENTS):
            names.append(path.name)
    return names


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
        yield "no end: the daemon stopped before the request, or its log is truncated"
    for name in sorted(set(incomplete)):
        yield (
            f"{name}: the daemon dropped lines;"
            " see log_lines_left_out and log_lines_dropped"
        )
