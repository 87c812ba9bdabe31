"""Take-ups of streams while several software versions serve, or did so lately."""

import asyncio

import pytest
import pytest_asyncio

from marjoramstile.streams.storage import RING_ROWS
from marjoramstile.utils import loop_time
from tests.streams.support import (
    LIFE_S,
    PERIOD_S,
    SERVICE,
    StreamFleet,
    replica,
)

V1 = (replica("a0", "v1"), replica("a1", "v1"))
V2 = (replica("b0", "v2"), replica("b1", "v2"))
NAMES = ("a0", "a1", "b0", "b1")


@pytest_asyncio.fixture
async def fleets():
    """Return a function that creates fleets, which are closed after the test."""
    created = []

    def create(*arguments, **options) -> StreamFleet:
        created.append(StreamFleet(*arguments, **options))
        return created[-1]

    yield create
    for fleet in created:
        await fleet.close()


@pytest.mark.parametrize("daemons", [1, 2, 9, 58, 195, 400])
async def test_a_stream_is_taken_up_at_any_daemon_at_the_version_that_began_it(
    fleets, daemons
):
    fleet = fleets(daemons, *V1, *V2)
    await asyncio.sleep(1.0)
    begun = await fleet.begin_streams(60, *NAMES)
    assert await fleet.take_up(begun) == begun


@pytest.mark.parametrize("loss", [0.1, 0.4])
async def test_lost_messages_never_lead_to_another_version(fleets, loss):
    fleet = fleets(58, *V1, *V2, loss=loss)
    await asyncio.sleep(1.0)
    begun = await fleet.begin_streams(200, *NAMES)
    taken_up = await fleet.take_up(begun)
    known = {item: version for item, version in taken_up.items() if version}
    assert known.items() <= begun.items()
    assert len(known) >= len(begun) / 2


async def test_a_stream_is_taken_up_after_its_daemon_and_a_keeper_were_killed(fleets):
    fleet = fleets(9, *V1, *V2)
    await asyncio.sleep(1.0)
    begun = await fleet.begin_streams(40, *NAMES)
    first = fleet.daemon(fleet.daemons[0].keeper.keepers((SERVICE, 0))[0])
    fleet.kill(first)
    assert await fleet.take_up(begun) == begun


async def test_a_stream_is_taken_up_after_its_daemon_and_both_keepers_were_killed(
    fleets,
):
    """The next two keepers have no records; one read of the store serves all."""
    fleet = fleets(9, *V1, *V2)
    await asyncio.sleep(1.0)
    begun = await fleet.begin_streams(40, *NAMES)
    await asyncio.sleep(2 * PERIOD_S)
    keepers = fleet.daemons[0].keeper.keepers((SERVICE, 0))
    fleet.kill(*(fleet.daemon(vm) for vm in keepers))
    calls = fleet.store.calls
    assert await fleet.take_up(begun) == begun
    assert fleet.store.calls - calls <= len(fleet.living) + 2


async def test_a_daemon_that_has_just_started_knows_the_streams_of_others(fleets):
    fleet = fleets(9, *V1, *V2)
    await asyncio.sleep(1.0)
    begun = await fleet.begin_streams(20, *NAMES)
    started = fleet.daemons[4]
    await started.tasks.close()
    started.start()
    fleet.store.down = True
    for attempt, version in begun.items():
        assert await started.version_of(attempt) == version


@pytest.mark.parametrize("daemons", [1, 9, 58, 195])
async def test_streams_are_taken_up_after_all_daemons_were_killed(fleets, daemons):
    fleet = fleets(daemons, *V1)
    await asyncio.sleep(LIFE_S)
    fleet.put(*V2)
    begun = await fleet.begin_streams(100, *NAMES)
    unsafe = list(begun)[-round(2 * PERIOD_S / 0.01) :]
    await fleet.kill_all()
    taken_up = await fleet.take_up(begun)
    known = {item: version for item, version in taken_up.items() if version}
    assert known.items() <= begun.items()
    assert set(begun) - set(known) <= set(unsafe)


async def test_a_stream_of_a_version_that_left_during_a_kill_is_not_taken_for_another(
    fleets,
):
    """After the kill the list has only the new version."""
    fleet = fleets(9, *V1)
    await asyncio.sleep(LIFE_S)
    begun = await fleet.begin_streams(30, "a0", "a1")
    fleet.put(*V2)
    await asyncio.sleep(1.0)
    begun |= await fleet.begin_streams(30, *NAMES)
    await asyncio.sleep(2 * PERIOD_S)
    fleet.dead = {daemon.vm for daemon in fleet.daemons}
    for name in ("a0", "a1"):
        del fleet.replicas[name]
    await fleet.kill_all()
    assert await fleet.take_up(begun) == begun
    assert set((await fleet.take_up(["nobody"])).values()) == {None}


async def test_a_release_during_a_kill_leaves_streams_without_a_record_unknown(fleets):
    """One version served before, another one after: nothing tells which began it."""
    fleet = fleets(9, *V1)
    await asyncio.sleep(LIFE_S)
    begun = await fleet.begin_streams(30, "a0", "a1")
    fleet.dead = {daemon.vm for daemon in fleet.daemons}
    fleet.replicas = {item.id: item for item in V2}
    await fleet.kill_all()
    taken_up = await fleet.take_up(begun)
    assert set(taken_up.values()) == {None}
    await asyncio.sleep(LIFE_S + 2.0)
    assert set((await fleet.take_up(begun)).values()) == {"v2"}


async def test_streams_of_a_service_with_one_version_need_no_record(fleets):
    fleet = fleets(9, *V1)
    await asyncio.sleep(1.0)
    await fleet.kill_all()
    assert await fleet.take_up(["nobody"]) == {"nobody": "v1"}
    assert await fleet.daemons[0].version_of(None) == "v1"


async def test_nothing_is_guessed_before_the_store_was_read(fleets):
    fleet = fleets(9, *V1)
    await asyncio.sleep(1.0)
    fleet.store.down = True
    await fleet.kill_all()
    assert await fleet.take_up(["nobody"]) == {"nobody": None}
    await asyncio.sleep(LIFE_S)
    assert await fleet.take_up(["nobody"]) == {"nobody": "v1"}


async def test_an_old_list_of_replicas_proves_nothing(fleets):
    fleet = fleets(9, *V1)
    await asyncio.sleep(LIFE_S)
    fleet.list_age_s = 3.0
    assert await fleet.take_up(["nobody"]) == {"nobody": None}


async def test_a_version_that_only_others_have_seen_counts(fleets):
    fleet = fleets(9, *V1)
    await asyncio.sleep(LIFE_S)
    daemon = fleet.daemons[0]
    for other in fleet.daemons[1:]:
        other.directory.put(V2[0])
    assert await daemon.version_of("nobody") is None


@pytest.mark.parametrize(
    ("resumes", "target"),
    [(None, "/p/x"), ("unknown", "/p/x"), ("a0", "/other/route"), ("", "/p/x")],
)
async def test_a_take_up_without_a_matching_stream_is_not_continued(
    fleets, resumes, target
):
    fleet = fleets(9, *V1, *V2)
    await asyncio.sleep(1.0)
    await fleet.begin_streams(1, "a0")
    assert await fleet.daemons[3].version_of("a0") == "v1"
    assert await fleet.daemons[3].version_of(resumes, target) is None


async def test_a_take_up_of_a_take_up_goes_on_at_the_first_version(fleets):
    fleet = fleets(9, *V1, *V2)
    await asyncio.sleep(1.0)
    await fleet.begin_streams(1, "b0")
    fleet.daemons[5].begin("second", "b1")
    await asyncio.sleep(0.1)
    for resumes in ("a0", "second"):
        assert await fleet.daemons[2].version_of(resumes) == "v2"


async def test_an_id_that_began_streams_of_two_versions_is_not_continued(fleets):
    fleet = fleets(9, *V1, *V2)
    await asyncio.sleep(1.0)
    fleet.daemons[1].begin("again", "a0")
    await asyncio.sleep(0.1)
    fleet.daemons[2].begin("again", "b0")
    await asyncio.sleep(1.0)
    assert await fleet.daemons[3].version_of("again") is None
    await fleet.kill_all()
    assert await fleet.daemons[3].version_of("again") is None


async def test_streams_of_a_replica_that_restarted_with_another_version_are_withdrawn(
    fleets,
):
    fleet = fleets(9, *V1, *V2)
    await asyncio.sleep(1.0)
    fleet.daemons[1].begin("old", "a0")
    await asyncio.sleep(12.0)
    fleet.daemons[1].begin("doubtful", "a0")
    await asyncio.sleep(0.5)
    fleet.put(replica("a0", "v2", started_at_ms=2))
    await asyncio.sleep(0.5)
    assert await fleet.daemons[3].version_of("old") == "v1"
    assert await fleet.daemons[3].version_of("doubtful") is None
    fleet.daemons[1].begin("new", "a0")
    await asyncio.sleep(0.1)
    assert await fleet.daemons[3].version_of("new") == "v2"


async def test_a_restart_with_the_same_version_withdraws_nothing(fleets):
    fleet = fleets(9, *V1, *V2)
    await asyncio.sleep(1.0)
    fleet.daemons[1].begin("kept", "a0")
    fleet.put(replica("a0", "v1", started_at_ms=2))
    await asyncio.sleep(0.1)
    assert await fleet.daemons[3].version_of("kept") == "v1"


async def test_streams_of_a_build_that_records_nothing_are_not_continued(fleets):
    """During an upgrade, a daemon of the old build serves streams too."""
    fleet = fleets(9, *V1, *V2)
    await asyncio.sleep(1.0)
    assert await fleet.take_up(["served by the old build"]) == {
        "served by the old build": None
    }


async def test_a_release_that_is_rolled_back_midway_keeps_its_streams(fleets):
    fleet = fleets(9, *V1)
    await asyncio.sleep(LIFE_S)
    fleet.put(V2[0])
    begun = await fleet.begin_streams(40, "a0", "a1", "b0")
    fleet.remove("b0")
    await asyncio.sleep(1.0)
    assert await fleet.take_up(begun) == begun
    await asyncio.sleep(LIFE_S)
    assert await fleet.take_up(["nobody"]) == {"nobody": "v1"}


@pytest.mark.parametrize("daemons", [9, 195])
async def test_nothing_is_written_in_a_steady_state(fleets, daemons):
    fleet = fleets(daemons, *V1)
    await asyncio.sleep(5.0)
    calls = fleet.store.calls
    await fleet.begin_streams(300, "a0", "a1")
    assert fleet.store.calls == calls
    assert fleet.ring_rows == []


@pytest.mark.parametrize(("daemons", "rings"), [(9, 1), (195, 16)])
async def test_writes_while_two_versions_serve_are_bounded_and_removed(
    fleets, daemons, rings
):
    fleet = fleets(daemons, *V1)
    await asyncio.sleep(LIFE_S)
    calls = fleet.store.calls
    began = loop_time()
    fleet.put(*V2)
    await fleet.begin_streams(1200, *NAMES)
    seconds = loop_time() - began
    assert fleet.store.calls - calls <= rings * (seconds / PERIOD_S + 3) + 4
    assert 0 < len(fleet.ring_rows) <= rings * RING_ROWS
    fleet.remove("a0", "a1")
    await asyncio.sleep(LIFE_S + 5.0)
    assert fleet.ring_rows == []
    calls = fleet.store.calls
    await fleet.begin_streams(300, "b0", "b1")
    assert fleet.store.calls == calls


async def test_streams_are_stored_after_an_outage_of_the_store(fleets):
    fleet = fleets(9, *V1)
    await asyncio.sleep(LIFE_S)
    fleet.store.down = True
    fleet.put(*V2)
    begun = await fleet.begin_streams(100, *NAMES)
    await asyncio.sleep(3.0)
    fleet.store.down = False
    await asyncio.sleep(3 * PERIOD_S)
    await fleet.kill_all()
    assert await fleet.take_up(begun) == begun


async def test_streams_that_a_copy_of_the_store_lacks_are_stored_again(fleets):
    fleet = fleets(9, *V1)
    await asyncio.sleep(LIFE_S)
    fleet.put(*V2)
    begun = await fleet.begin_streams(100, *NAMES)
    await asyncio.sleep(3 * PERIOD_S)
    fleet.store.rows.clear()
    for daemon in fleet.daemons:
        daemon.keeper.store_again()
    await asyncio.sleep(3 * PERIOD_S)
    await fleet.kill_all()
    assert await fleet.take_up(begun) == begun
