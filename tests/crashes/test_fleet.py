"""Requests that crash replicas, at fleets of daemons that each see little of it."""

import asyncio
import itertools
import random

import pytest
import pytest_asyncio

from marjoramstile.crashes.blocklist import TRIAL_DELAYS_S
from marjoramstile.utils import loop_time
from tests.crashes.support import (
    CONTACT_S,
    DOWN_S,
    REQUESTS_LATER,
    SERVICE,
    CrashFleet,
    Outcomes,
)

DEADLY = ("first", "dead")
DEAD_KEY = "part/dead"


@pytest_asyncio.fixture
async def fleets():
    """Return a function that creates fleets, which are closed after the test."""
    created = []

    def create(*arguments, **options) -> CrashFleet:
        created.append(CrashFleet(*arguments, **options))
        return created[-1]

    yield create
    for fleet in created:
        await fleet.close()


def constant(*parts: str):
    """Return a source of the same parts for each request."""
    return lambda: parts


def sound_parts(first: str = "first"):
    """Return a source of parts of which only the first is shared."""
    numbers = itertools.count()
    return lambda: (first, f"s{next(numbers)}")


def loaded(fleet: CrashFleet) -> bool:
    """Return whether all daemons know the blocklist."""
    return all(daemon.sharing.loaded for daemon in fleet.daemons)


@pytest.mark.parametrize("daemons", [1, 2, 7, 58, 195, 400])
async def test_a_deadly_part_is_known_to_all_after_a_few_crashes(fleets, daemons):
    fleet = fleets(daemons)
    fleet.deadly[SERVICE] = {"dead"}
    deadly, sound, later = Outcomes(), Outcomes(), Outcomes()
    await asyncio.sleep(3.0)
    await fleet.load(6.0, (2.0, constant(*DEADLY), deadly), (8.0, sound_parts(), sound))
    await fleet.load(6.0, (2.0, constant(*DEADLY), deadly), (8.0, sound_parts(), later))
    assert len(fleet.replicas.crashed_at) <= 5
    assert fleet.later(deadly) <= REQUESTS_LATER
    assert all(keys == {DEAD_KEY} for keys in fleet.blocked())
    assert later.begun == later.total


@pytest.mark.parametrize("loss", [0.05, 0.3])
async def test_a_deadly_part_is_found_though_messages_are_lost(fleets, loss):
    fleet = fleets(58, loss=loss)
    fleet.deadly[SERVICE] = {"dead"}
    deadly, sound = Outcomes(), Outcomes()
    await asyncio.sleep(3.0)
    await fleet.load(
        16.0, (2.0, constant(*DEADLY), deadly), (8.0, sound_parts(), sound)
    )
    assert fleet.later(deadly) <= REQUESTS_LATER
    assert all(keys == {DEAD_KEY} for keys in fleet.blocked())


@pytest.mark.parametrize("deadly_part", ["early", "late"])
async def test_requests_that_share_other_parts_are_served(fleets, deadly_part):
    """The deadly part is the first or the second one; the other one varies."""
    fleet = fleets(9)
    fleet.deadly[SERVICE] = {"dead"}
    deadly, sound = Outcomes(), Outcomes()
    numbers = itertools.count()

    def deadly_parts():
        other = f"c{next(numbers) % 3}"
        return ("dead", other) if deadly_part == "early" else (other, "dead")

    await asyncio.sleep(3.0)
    await fleet.load(
        12.0, (1.5, deadly_parts, deadly), (6.0, lambda: ("c1", "own"), sound)
    )
    assert fleet.later(deadly) <= REQUESTS_LATER
    assert fleet.blocked()[0] == {DEAD_KEY}
    assert sound.begun >= 0.9 * sound.total


async def test_two_deadly_parts_of_one_and_of_two_services_are_found(fleets):
    fleet = fleets(9, services=("llm", "other"), replicas=8)
    fleet.deadly = {"llm": {"dead", "dead2"}, "other": {"dead3"}}
    outcomes = [Outcomes() for _ in range(5)]
    await asyncio.sleep(3.0)
    await fleet.load(
        14.0,
        (1.0, constant("first", "dead"), outcomes[0]),
        (1.0, constant("first", "dead2"), outcomes[1]),
        (1.0, constant("first", "dead3"), outcomes[2], "other"),
        (8.0, sound_parts(), outcomes[3]),
        (8.0, constant("first", "dead"), outcomes[4], "other"),
    )
    assert fleet.blocked()[0] == {"part/dead", "part/dead2", "part/dead3"}
    assert len(fleet.replicas.crashed_at) <= 12
    assert outcomes[3].begun >= 0.8 * outcomes[3].total
    assert outcomes[4].begun >= 0.8 * outcomes[4].total


async def test_a_part_that_was_sound_and_popular_is_found_when_it_becomes_deadly(
    fleets,
):
    fleet = fleets(9)
    before, deadly, sound = Outcomes(), Outcomes(), Outcomes()
    await fleet.load(30.0, (1.0, constant(*DEADLY), before))
    assert before.begun == before.total
    fleet.deadly[SERVICE] = {"dead"}
    await fleet.load(
        20.0, (1.0, constant(*DEADLY), deadly), (8.0, sound_parts(), sound)
    )
    assert fleet.later(deadly) <= REQUESTS_LATER
    assert fleet.blocked()[0] == {DEAD_KEY}
    assert sound.begun >= 0.8 * sound.total


async def test_a_part_that_is_sound_again_comes_back_after_a_trial(fleets):
    fleet = fleets(9)
    fleet.deadly[SERVICE] = {"dead"}
    deadly, later, sound = Outcomes(), Outcomes(), Outcomes()
    await fleet.load(8.0, (2.0, constant(*DEADLY), deadly), (8.0, sound_parts(), sound))
    crashes = len(fleet.replicas.crashed_at)
    fleet.deadly.clear()
    await fleet.load(
        TRIAL_DELAYS_S[0] + 5.0,
        (2.0, constant(*DEADLY), later),
        (8.0, sound_parts(), sound),
    )
    assert fleet.blocked() == [set()] * 9
    assert later.begun > 0
    assert len(fleet.replicas.crashed_at) == crashes


async def test_trials_of_a_part_that_stays_deadly_cost_one_replica_each(fleets):
    fleet = fleets(9)
    fleet.deadly[SERVICE] = {"dead"}
    deadly, sound = Outcomes(), Outcomes()
    await fleet.load(8.0, (2.0, constant(*DEADLY), deadly), (8.0, sound_parts(), sound))
    crashes = len(fleet.replicas.crashed_at)
    await fleet.load(sum(TRIAL_DELAYS_S) + 600.0, (0.2, constant(*DEADLY), deadly))
    assert len(fleet.replicas.crashed_at) - crashes == len(TRIAL_DELAYS_S)
    assert fleet.later(deadly) <= REQUESTS_LATER


async def test_a_trial_that_reaches_no_replica_is_given_back(fleets):
    fleet = fleets(3, replicas=2)
    fleet.deadly[SERVICE] = {"dead"}
    deadly, sound = Outcomes(), Outcomes()
    await fleet.load(8.0, (2.0, constant(*DEADLY), deadly), (8.0, sound_parts(), sound))
    await asyncio.sleep(TRIAL_DELAYS_S[0])
    for name in list(fleet.replicas.replicas):
        fleet.replicas.crash(name)
    await fleet.request(DEADLY, deadly)
    assert fleet.daemons[0].blocklist.find(SERVICE, DEAD_KEY).trials == 0


async def test_a_service_with_few_replicas_is_not_emptied_for_long(fleets):
    """With three replicas, at most a few seconds pass without any of them."""
    fleet = fleets(7, replicas=3)
    fleet.deadly[SERVICE] = {"dead"}
    deadly, sound = Outcomes(), Outcomes()
    await fleet.load(5.0, (8.0, sound_parts(), sound))
    await fleet.load(
        20.0, (3.0, constant(*DEADLY), deadly), (8.0, sound_parts(), sound)
    )
    assert len(fleet.replicas.crashed_at) <= 5
    assert fleet.blocked()[0] == {DEAD_KEY}
    assert sound.begun >= 0.75 * sound.total


async def test_a_service_with_few_replicas_that_starts_finds_the_part_too(fleets):
    """Nothing has begun yet that a sound part could be told by."""
    fleet = fleets(7, replicas=3)
    fleet.deadly[SERVICE] = {"dead"}
    deadly, sound = Outcomes(), Outcomes()
    await fleet.load(
        20.0, (3.0, constant(*DEADLY), deadly), (8.0, sound_parts(), sound)
    )
    assert fleet.later(deadly) <= REQUESTS_LATER
    assert fleet.blocked()[0] == {DEAD_KEY}


async def test_a_daemon_that_starts_anew_knows_what_the_others_know(fleets):
    fleet = fleets(9)
    fleet.deadly[SERVICE] = {"dead"}
    deadly, sound = Outcomes(), Outcomes()
    await fleet.load(8.0, (2.0, constant(*DEADLY), deadly), (8.0, sound_parts(), sound))
    restarted = fleet.daemons[3]
    fleet.kill(restarted)
    fleet.store.down = True
    await asyncio.sleep(1.0)
    await fleet.restart(restarted)
    await asyncio.sleep(CONTACT_S)
    assert all(keys == {DEAD_KEY} for keys in fleet.blocked())
    assert restarted.sharing.loaded


async def test_a_daemon_that_was_cut_off_learns_what_is_blocked_and_lifted(fleets):
    fleet = fleets(9)
    fleet.deadly[SERVICE] = {"dead"}
    deadly, sound = Outcomes(), Outcomes()
    cut = next(item for item in fleet.daemons if item not in fleet.coordinators())
    await asyncio.sleep(3.0)
    fleet.cut.add(cut.vm)
    await fleet.load(8.0, (2.0, constant(*DEADLY), deadly), (8.0, sound_parts(), sound))
    fleet.cut.clear()
    await asyncio.sleep(CONTACT_S)
    assert all(keys == {DEAD_KEY} for keys in fleet.blocked())
    fleet.cut.add(cut.vm)
    other = next(item for item in fleet.daemons if item is not cut)
    entry = other.blocklist.find(SERVICE, DEAD_KEY)
    other.sharing.publish(entry.changed(blocked=False))
    await asyncio.sleep(1.0)
    fleet.cut.clear()
    await asyncio.sleep(CONTACT_S)
    assert fleet.blocked() == [set()] * 9


@pytest.mark.parametrize("daemons", [9, 195])
async def test_what_is_blocked_is_known_after_all_daemons_were_killed(fleets, daemons):
    fleet = fleets(daemons)
    fleet.deadly[SERVICE] = {"dead"}
    deadly, sound = Outcomes(), Outcomes()
    await fleet.load(8.0, (2.0, constant(*DEADLY), deadly), (8.0, sound_parts(), sound))
    fleet.kill(*fleet.daemons)
    await asyncio.sleep(2.0)
    calls = fleet.store.calls
    await fleet.restart(*fleet.daemons)
    await asyncio.sleep(0.2)
    assert all(keys == {DEAD_KEY} for keys in fleet.blocked())
    assert fleet.store.calls - calls <= daemons
    crashes = len(fleet.replicas.crashed_at)
    await fleet.load(5.0, (2.0, constant(*DEADLY), deadly))
    assert len(fleet.replicas.crashed_at) == crashes


async def test_a_block_during_an_outage_of_the_store_is_stored_afterwards(fleets):
    fleet = fleets(9)
    fleet.deadly[SERVICE] = {"dead"}
    deadly, sound = Outcomes(), Outcomes()
    await asyncio.sleep(3.0)
    fleet.store.down = True
    await fleet.load(8.0, (2.0, constant(*DEADLY), deadly), (8.0, sound_parts(), sound))
    assert all(keys == {DEAD_KEY} for keys in fleet.blocked())
    assert not fleet.store.rows
    fleet.store.down = False
    await asyncio.sleep(9.0)
    assert len(fleet.store.rows) == 1


async def test_a_stored_block_survives_lost_answers_of_the_store(fleets):
    fleet = fleets(9)
    fleet.deadly[SERVICE] = {"dead"}
    fleet.store.lose_answers = True
    deadly, sound = Outcomes(), Outcomes()
    await fleet.load(8.0, (2.0, constant(*DEADLY), deadly), (8.0, sound_parts(), sound))
    assert len(fleet.store.rows) == 1
    assert all(keys == {DEAD_KEY} for keys in fleet.blocked())


async def test_a_coordinator_that_dies_between_crashes_loses_nothing(fleets):
    fleet = fleets(9)
    fleet.deadly[SERVICE] = {"dead"}
    deadly, sound = Outcomes(), Outcomes()
    await asyncio.sleep(3.0)
    await fleet.request(DEADLY, deadly)
    fleet.kill(fleet.coordinators()[0])
    await fleet.load(8.0, (2.0, constant(*DEADLY), deadly), (8.0, sound_parts(), sound))
    assert len(fleet.replicas.crashed_at) <= 5
    assert all(keys == {DEAD_KEY} for keys in fleet.blocked())


async def test_a_daemon_cut_off_from_replicas_blocks_nothing(fleets):
    fleet = fleets(9)
    sound = Outcomes()
    await asyncio.sleep(3.0)
    for cut in [fleet.daemons[2], *fleet.coordinators()]:
        fleet.cut_from_replicas = {cut.vm}
        await fleet.load(10.0, (20.0, sound_parts(), sound))
    assert fleet.blocked() == [set()] * 9


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_crashes_without_a_deadly_part_block_rare_parts_at_most(fleets, seed):
    """A fifth of the replicas crashes every few seconds for three minutes."""
    fleet = fleets(9, replicas=20, seed=seed)
    rng = random.Random(seed)
    sound = Outcomes()
    until = loop_time() + 180.0

    def parts():
        return "all", f"ten{rng.randrange(10)}", f"thing{rng.randrange(2000)}"

    async def crash_a_fifth():
        while loop_time() < until:
            await asyncio.sleep(rng.uniform(1.0, 8.0))
            for replica in rng.sample(fleet.replicas.up(SERVICE), 4):
                fleet.replicas.crash(replica.id)

    await asyncio.gather(crash_a_fifth(), fleet.load(180.0, (40.0, parts, sound)))
    assert len(fleet.replicas.crashed_at) >= 100
    assert sound.refused <= sound.total / 1000
    blocked = {entry.key for entry in fleet.daemons[0].blocklist.entries}
    assert all(key.startswith("part/thing") for key in blocked)


async def test_replicas_that_drain_and_end_block_nothing(fleets):
    fleet = fleets(9)
    sound = Outcomes()
    await asyncio.sleep(3.0)

    async def end_replicas():
        for name in list(fleet.replicas.replicas) * 2:
            fleet.drain(name)
            await asyncio.sleep(1.0)
            fleet.replicas.crash(name)
            await asyncio.sleep(DOWN_S + 0.5)

    await asyncio.gather(
        end_replicas(), fleet.load(45.0, (8.0, constant("first", "own"), sound))
    )
    assert fleet.blocked() == [set()] * 9


async def test_what_is_sent_between_daemons_is_bounded(fleets):
    """Crashes of a fifth of the replicas at once, again and again, at 400 daemons."""
    fleet = fleets(400, replicas=100)
    sound = Outcomes()
    await asyncio.sleep(3.0)
    fleet.received.clear()
    fleet.bytes_received.clear()
    began = loop_time()

    async def crash_a_fifth():
        for _ in range(4):
            for name in fleet.rng.sample(sorted(fleet.replicas.replicas), 20):
                fleet.replicas.crash(name)
            await asyncio.sleep(4.0)

    await asyncio.gather(
        crash_a_fifth(), fleet.load(16.0, (400.0, constant("first", "own"), sound))
    )
    seconds = loop_time() - began
    assert sound.lost >= 8
    most = max(fleet.bytes_received.values()) / seconds
    assert most <= 20_000
    assert max(fleet.received.values()) / seconds <= 200
    assert fleet.blocked() == [set()] * 400


async def test_a_block_that_a_copy_of_the_store_lacks_is_stored_again_once(fleets):
    fleet = fleets(7)
    await asyncio.sleep(3.0)
    for number in range(20):
        fleet.daemons[0].sharing.set_block(SERVICE, f"part/{number}", blocked=True)
    await asyncio.sleep(2.0)
    stored = dict(fleet.store.rows)
    fleet.store.rows.clear()
    calls = fleet.store.calls
    for daemon in fleet.daemons:
        daemon.sharing.store_again()
    await asyncio.sleep(2.0)
    assert fleet.store.rows.keys() == stored.keys()
    assert fleet.store.calls - calls == 2 * len(stored)
