"""Finds the requests that were lost, from what callers and replicas have seen.

A request is lost if its connection ends without a whole answer once the request has run
or later than the slack after it was sent. This is stricter than needed beside planned
work alone: it is asked at all times, and a kill excuses only its own VM's requests.
"""

import signal
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from soak.connections import CUT_ENDS, GAVE_UP, RESET, Attempt
from soak.launches import GRACE_S, Launch, SeriesFleet, describe_signals

LOSS_SLACK_S = 0.2
# A replica's last part of the grace, in which the end cuts what was sent early on.
LAST_SHARE = 1 / 6
EARLY_S = 3.0
SHOWN_GAVE_UP = 5


@dataclass(frozen=True)
class Evidence:
    """What the fleet knows beside the callers' own attempts."""

    fleet: SeriesFleet
    replicas_by_id: dict[str, set[str]]

    def launches(self, attempt: Attempt) -> list[Launch]:
        """Return the processes of the attempt's VM that were there meanwhile."""
        return [
            launch
            for launch in self.fleet.launches
            if self.fleet.vm_host(launch.vm) == attempt.host
            and launch.launched_at <= attempt.ended
            and (launch.ended_at is None or launch.ended_at >= attempt.sent)
        ]

    def excuse(self, attempt: Attempt) -> str | None:
        """Return why the end of an attempt is no loss, None if it is one."""
        taken_s = attempt.ended - attempt.sent
        replicas = self.replicas_by_id.get(attempt.id, set())
        if not replicas and taken_s - attempt.lag_s <= LOSS_SLACK_S:
            return "not passed on, within the slack"
        if not replicas and attempt.end == RESET:
            return "not read: a close with unread bytes resets the connection"
        if taken_s >= min(attempt.kind.deadline_s, attempt.kind.timeout_s):
            return "the deadline or the timeout was reached"
        if any(
            name in replicas and attempt.sent <= at <= attempt.ended
            for name, at in self.fleet.killed_replicas
        ):
            return "the replica broke off"
        for launch in self.launches(attempt):
            killed_at = launch.first(signal.SIGKILL)
            if (
                killed_at is not None
                and killed_at <= attempt.ended
                and not launch.outlived_grace
            ):
                return "the daemon was killed"
            stopped_at = launch.first(signal.SIGTERM)
            if stopped_at is None or not replicas:
                continue
            in_last_part = attempt.ended >= stopped_at + GRACE_S * (1 - LAST_SHARE)
            if in_last_part and attempt.sent <= stopped_at + EARLY_S:
                return "still at work at the end of the grace"
        return None

    def describe(self, attempt: Attempt) -> str:
        """Return one line on an attempt and on the signals of its daemon."""
        taken_s = attempt.ended - attempt.sent
        replicas = sorted(self.replicas_by_id.get(attempt.id, ()))
        sent_at = time.time() - time.monotonic() + attempt.sent
        signals = [
            f"{describe_signals(before, attempt.sent)}, gone {ended}"
            for before, ended in self._signals(attempt)
        ]
        return (
            f"{attempt.id} {attempt.kind.name} at {attempt.host} on a "
            f"{attempt.connection} connection, sent at {sent_at:.3f}, ended "
            f"+{taken_s:.3f} ({attempt.end}, {attempt.received} bytes, own lag "
            f"{attempt.lag_s:.3f}), ran on {replicas}; since it was sent: {signals}"
        )

    def _signals(self, attempt: Attempt) -> Iterator[tuple[list, str]]:
        """Return the signals before the attempt's end, and when its processes ended."""
        for launch in self.launches(attempt):
            before = [item for item in launch.signals if item[0] <= attempt.ended]
            if launch.ended_at is None:
                yield before, "not yet"
            else:
                yield before, f"{launch.ended_at - attempt.sent:+.3f}"


def check_losses(fleet: SeriesFleet, attempts: list[Attempt]) -> list[str]:
    """Return the lost requests; print how all others ended."""
    evidence = Evidence(fleet, fleet.replicas_by_id())
    violations = []
    excuses: Counter[str] = Counter()
    for attempt in attempts:
        if attempt.end not in CUT_ENDS:
            continue
        excuse = evidence.excuse(attempt)
        if excuse is None:
            violations.append(f"LOST: {evidence.describe(attempt)}")
        else:
            excuses[excuse] += 1
    ends = Counter(attempt.end for attempt in attempts)
    print(f"on bare connections {len(attempts)}, ends {dict(ends)}")
    print(f"excused {dict(excuses)}")
    gave_up = [attempt for attempt in attempts if attempt.end == GAVE_UP]
    for attempt in gave_up[:SHOWN_GAVE_UP]:
        print(f"gave up: {evidence.describe(attempt)}")
    return violations
