"""Short seeded series of signals, restarts and changes that overlap."""

import random

from soak.actions import ACTIONS
from soak.series import SeriesSoak, draw_moments

SECONDS = 8.0
DAEMONS = 3
CALLERS = 6
STOPS = ("change_routes", "drain_replica", "leave_replica", "stop", "stop_several")


async def run_series(seed: int, names: tuple[str, ...]) -> list[str]:
    return await SeriesSoak(seed, SECONDS, DAEMONS, CALLERS, names).run()


async def test_signals_at_start_and_stop_end_no_daemon_and_lose_no_request():
    assert await run_series(1, tuple(sorted(ACTIONS))) == []


async def test_daemons_that_stop_at_once_lose_no_request():
    assert await run_series(2, STOPS) == []


def test_a_seed_draws_the_same_moments():
    drawn = [draw_moments(random.Random(3), 20.0, 3, STOPS) for _ in range(2)]
    assert drawn[0] == drawn[1]


def test_actions_of_a_series_meet_on_one_vm():
    moments = draw_moments(random.Random(1), 20.0, 4, STOPS)
    meetings = [
        (one, other)
        for one in moments
        for other in moments
        if one is not other
        and one.vm == other.vm
        and abs(one.after_s - other.after_s) < 0.5
    ]
    assert meetings
