"""Tests of what counts as lost, and as an end that nobody asked for."""

import signal
from dataclasses import replace
from types import SimpleNamespace

import pytest

from soak.connections import BOOK, END_OF_STREAM, LONG_STREAM, RESET, Attempt
from soak.launches import GRACE_S, Launch
from soak.losses import Evidence, check_losses

HOST = "127.0.0.1"
RAN = {"b1": {"service-1"}}
CUT = Attempt("b1", HOST, "kept", BOOK, 10.0, 10.1, END_OF_STREAM, 0, 0.0)
LATE_CUT = replace(CUT, ended=10.25)
LONG_CUT = replace(CUT, kind=LONG_STREAM, ended=10.0 + GRACE_S)


def make_launch(code: int | None, *signals: tuple[float, signal.Signals]) -> Launch:
    process = SimpleNamespace(returncode=code, pid=1)
    return Launch(1, process, 0.0, 0.0, list(signals))


def make_fleet(*signals: tuple[float, signal.Signals], killed=()) -> SimpleNamespace:
    return SimpleNamespace(
        launches=[make_launch(None, *signals)],
        killed_replicas=list(killed),
        vm_host=lambda vm: HOST,
        replicas_by_id=lambda: RAN,
    )


@pytest.mark.parametrize(
    ("attempt", "ran", "signals", "lost"),
    [
        (CUT, {}, [], False),
        (CUT, RAN, [], True),
        (LATE_CUT, {}, [], True),
        (replace(LATE_CUT, lag_s=0.1), {}, [], False),
        (replace(LATE_CUT, end=RESET), {}, [], False),
        (replace(LATE_CUT, end=RESET), RAN, [], True),
        (replace(CUT, ended=11.6), RAN, [], False),
        (CUT, RAN, [(10.05, signal.SIGKILL)], False),
        (CUT, RAN, [(10.05, signal.SIGTERM), (10.06, signal.SIGHUP)], True),
        (LONG_CUT, RAN, [(9.0, signal.SIGTERM)], False),
        (LONG_CUT, RAN, [(6.9, signal.SIGTERM)], True),
        (LONG_CUT, RAN, [(12.0, signal.SIGTERM)], True),
    ],
)
def test_a_cut_request_is_lost_unless_the_rules_excuse_it(attempt, ran, signals, lost):
    evidence = Evidence(make_fleet(*signals), ran)
    assert (evidence.excuse(attempt) is None) == lost


def test_a_request_is_not_lost_if_its_replica_broke_off():
    evidence = Evidence(make_fleet(killed=[("service-1", 10.05)]), RAN)
    assert evidence.excuse(CUT) == "the replica broke off"


def test_a_replica_that_broke_off_excuses_only_its_own_requests():
    evidence = Evidence(make_fleet(killed=[("service-2", 10.05)]), RAN)
    assert evidence.excuse(CUT) is None


def test_a_kill_of_a_process_that_outlived_its_grace_excuses_nothing():
    fleet = make_fleet((10.05, signal.SIGKILL))
    fleet.launches[0].outlived_grace = True
    assert Evidence(fleet, RAN).excuse(CUT) is None


def test_only_cut_requests_are_lost():
    attempts = [replace(CUT, end="503"), replace(CUT, end="200"), CUT]
    assert len(check_losses(make_fleet(), attempts)) == 1


@pytest.mark.parametrize(
    ("code", "signals", "by_itself"),
    [
        (0, [signal.SIGTERM], False),
        (-9, [signal.SIGKILL], False),
        (0, [], True),
        (0, [signal.SIGHUP], True),
        (1, [signal.SIGTERM], True),
        (-1, [signal.SIGHUP], True),
        (-15, [signal.SIGTERM], True),
        (-9, [signal.SIGTERM], True),
    ],
)
def test_ends_are_explained_by_a_kill_or_a_stop_with_exit_0(code, signals, by_itself):
    launch = make_launch(code, *((1.0, number) for number in signals))
    assert launch.ended_by_itself == by_itself
