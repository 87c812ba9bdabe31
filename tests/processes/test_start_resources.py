"""Daemons of both kinds that start while something they need is missing."""

import asyncio
import socket
import time
from contextlib import closing

import pytest
import pytest_asyncio
from aiohttp import ClientError, ClientSession

from demo.fleet import (
    CALLERS_PORT,
    OPERATORS_PORT,
    PEERS_PORT as MARJORAMSTILED_PEERS_PORT,
    own_network,
)
from demo.published_fleet import (
    ADDRESSES_PORT,
    COMPLETIONS_PORT,
    FRONT_PORT,
    METRICS_PORT,
    PEERS_PORT,
    READY_PORT,
    PublishedFleet,
)
from marjoramstile.exit_codes import BAD_SETTINGS_EXIT
from marjoramstile.settings_files import SETTINGS_WAIT_S
from tests.processes.starting import KINDS, VM, StartedDaemon, vm_host

pytestmark = pytest.mark.asyncio(loop_scope="function")
STOP_LIMIT_S = 1.5
WAIT_S = 0.5
NEEDED = {
    "ready": READY_PORT,
    "directory": ADDRESSES_PORT,
    "peers": PEERS_PORT,
    "front": FRONT_PORT,
}
# Link-local, without an interface.
UNUSABLE_ADDRESS = "fe80::1:8144"
# Of no machine.
FOREIGN_ADDRESS = "192.0.2.1:8144"
NEEDED_BY_MARJORAMSTILED = {
    "peers": MARJORAMSTILED_PEERS_PORT,
    "callers": CALLERS_PORT,
}


@pytest_asyncio.fixture(loop_scope="function")
async def fleet():
    """A store and replicas, without daemons."""
    async with PublishedFleet(own_network()) as fleet:
        await fleet.start(daemons=0, plain=1, prefill=1, decode=1)
        yield fleet


@pytest.fixture
def router(tmp_path):
    """A routing daemon that is not started yet."""
    daemon = StartedDaemon("router", tmp_path)
    yield daemon
    daemon.kill()


@pytest.fixture
def marjoramstiled(tmp_path):
    """A ``marjoramstiled`` that is not started yet."""
    daemon = StartedDaemon("marjoramstiled", tmp_path)
    yield daemon
    daemon.kill()


@pytest.fixture(params=KINDS)
def daemon(request, tmp_path):
    """A daemon of either kind that is not started yet, without settings."""
    daemon = StartedDaemon(request.param, tmp_path)
    daemon.settings_file.unlink()
    yield daemon
    daemon.kill()


def occupied(port: int, kind: int = socket.SOCK_STREAM) -> socket.socket:
    """Return a socket that keeps an address of the VM."""
    holder = socket.socket(socket.AF_INET, kind)
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind((vm_host(), port))
    if kind == socket.SOCK_STREAM:
        holder.listen()
    return holder


async def status_of(port: int, path: str = "/v1/readyz") -> int:
    """Return the status with which a port of the VM responds; 0 if it doesn't."""
    async with ClientSession() as session:
        try:
            async with session.get(f"http://{vm_host()}:{port}{path}") as response:
                return response.status
        except (ClientError, OSError):
            return 0


async def wait_for_status(port: int, status: int) -> None:
    """Wait until a port of the VM responds with a status."""
    async with asyncio.timeout(10.0):
        while await status_of(port) != status:
            await asyncio.sleep(0.05)


async def stop_soon(daemon: StartedDaemon) -> None:
    """Assert that a daemon that waits stops at once, and as planned."""
    stopped_at = time.monotonic()
    daemon.process.terminate()
    assert await daemon.wait_exit() == 0
    assert time.monotonic() < stopped_at + STOP_LIMIT_S
    assert "event=daemon_stopped_while_starting " in daemon.output


async def assert_waits(daemon: StartedDaemon, purpose: str) -> None:
    """Assert that a daemon tells what it waits for, once, and accepts nothing."""
    await daemon.wait_for_event("address_waited_for")
    await asyncio.sleep(WAIT_S)
    assert daemon.process.poll() is None
    assert f"purpose={purpose} " in daemon.output
    assert daemon.output.count("event=address_waited_for ") == 1
    assert "event=daemon_started " not in daemon.output


@pytest.mark.parametrize(
    ("purpose", "port", "kind"),
    [
        *((name, port, socket.SOCK_STREAM) for name, port in NEEDED.items()),
        ("peers_udp", PEERS_PORT, socket.SOCK_DGRAM),
    ],
)
async def test_an_address_in_use_is_waited_for(fleet, router, purpose, port, kind):
    with closing(occupied(port, kind)):
        router.start()
        await assert_waits(router, purpose)
        if purpose not in ("ready", "directory"):
            assert await status_of(READY_PORT) == 503
            assert await status_of(ADDRESSES_PORT, "/v1/resolve?name=x") != 200
    await wait_for_status(READY_PORT, 200)
    assert "event=address_acquired " in router.output


async def test_a_stop_while_an_address_is_waited_for_is_a_planned_one(fleet, router):
    with closing(occupied(FRONT_PORT)):
        router.start()
        await assert_waits(router, "front")
        await stop_soon(router)


async def test_other_daemons_hear_of_a_daemon_when_its_front_accepts(fleet, router):
    async with asyncio.timeout(30.0):
        fleet.launch_router(1)
        fleet.launch_router(VM)
        await fleet.wait_for_ready(1)
        await fleet.wait_for_ready(VM)
        while len(await fleet.addresses(1)) < 2:
            await asyncio.sleep(0.05)
        fleet.get(f"router-{VM}").process.kill()
        while len(await fleet.addresses(1)) > 1:
            await asyncio.sleep(0.05)
    fleet.get(f"router-{VM}").process.wait()
    with closing(occupied(FRONT_PORT)):
        router.start()
        await assert_waits(router, "front")
        for _ in range(30):
            assert len(await fleet.addresses(1)) == 1
            await asyncio.sleep(0.05)
    async with asyncio.timeout(10.0):
        while len(await fleet.addresses(1)) < 2:
            await asyncio.sleep(0.05)


async def test_a_second_instance_takes_over_when_the_first_has_ended(
    fleet, router, tmp_path
):
    directory = tmp_path / "second"
    directory.mkdir()
    second = StartedDaemon("router", directory)
    try:
        router.start()
        await wait_for_status(READY_PORT, 200)
        second.start()
        await assert_waits(second, "ready")
        router.process.terminate()
        assert await router.wait_exit() == 0
        await second.wait_for_event("daemon_started")
        await wait_for_status(READY_PORT, 200)
    finally:
        second.kill()


@pytest.mark.parametrize(
    ("purpose", "port"), [("metrics", METRICS_PORT), ("completions", COMPLETIONS_PORT)]
)
async def test_a_port_that_callers_do_not_need_holds_up_nothing(
    fleet, router, purpose, port
):
    with closing(occupied(port)):
        router.start()
        await wait_for_status(READY_PORT, 200)
        assert f"purpose={purpose} " in router.output
    async with asyncio.timeout(5.0):
        while await status_of(port, "/metrics") == 0:
            await asyncio.sleep(0.05)
    router.process.terminate()
    assert await router.wait_exit() == 0


@pytest.mark.parametrize("field", ["front", "readyAddress", "directory"])
async def test_an_address_that_never_works_ends_the_start_with_a_message(router, field):
    router.launch.settings["listen"][field] = UNUSABLE_ADDRESS
    router.write_settings()
    router.start()
    assert await router.wait_exit() == BAD_SETTINGS_EXIT
    assert UNUSABLE_ADDRESS in router.output_of("stderr")
    assert "event=address_unusable " in router.output_of("stdout")
    assert "Traceback" not in router.output


async def test_an_address_that_the_machine_may_get_later_is_waited_for(router):
    router.launch.settings["listen"]["front"] = FOREIGN_ADDRESS
    router.write_settings()
    router.start()
    await assert_waits(router, "front")
    await stop_soon(router)


async def test_a_completions_address_that_never_works_holds_up_nothing(fleet, router):
    router.launch.settings["listen"]["completions"] = UNUSABLE_ADDRESS
    router.write_settings()
    router.start()
    await wait_for_status(READY_PORT, 200)
    await router.wait_for_event("address_unusable")


@pytest.mark.parametrize("purpose", NEEDED_BY_MARJORAMSTILED)
async def test_marjoramstiled_waits_for_an_address_in_use(marjoramstiled, purpose):
    with closing(occupied(NEEDED_BY_MARJORAMSTILED[purpose])):
        marjoramstiled.start()
        await assert_waits(marjoramstiled, purpose)
    await marjoramstiled.wait_for_event("daemon_started")
    marjoramstiled.process.terminate()
    assert await marjoramstiled.wait_exit() == 0


async def test_marjoramstiled_stops_while_an_address_is_waited_for(marjoramstiled):
    with closing(occupied(CALLERS_PORT)):
        marjoramstiled.start()
        await assert_waits(marjoramstiled, "callers")
        await stop_soon(marjoramstiled)


async def test_marjoramstiled_serves_while_the_operators_port_is_in_use(marjoramstiled):
    with closing(occupied(OPERATORS_PORT)):
        marjoramstiled.start()
        await marjoramstiled.wait_for_event("daemon_started")
        marjoramstiled.process.terminate()
        assert await marjoramstiled.wait_exit() == 0


async def test_settings_that_are_missing_at_first_are_waited_for(daemon):
    daemon.start()
    await daemon.wait_for_event("settings_waited_for")
    daemon.write_settings()
    await daemon.wait_for_event("daemon_started")


async def test_settings_that_are_half_written_at_first_are_waited_for(daemon):
    text = daemon.settings_text
    daemon.settings_file.write_text(text[: len(text) // 2])
    daemon.start()
    await daemon.wait_for_event("settings_waited_for")
    daemon.write_settings()
    await daemon.wait_for_event("daemon_started")


async def test_settings_that_stay_wrong_end_the_start_with_their_fault(daemon):
    daemon.settings_file.write_text("listen: 3\n")
    started_at = time.monotonic()
    daemon.start()
    assert await daemon.wait_exit() == BAD_SETTINGS_EXIT
    assert time.monotonic() > started_at + SETTINGS_WAIT_S
    assert f"{daemon.settings_file}: " in daemon.output_of("stderr")
    assert "Traceback" not in daemon.output


async def test_a_stop_while_settings_are_waited_for_is_a_planned_one(daemon):
    daemon.start()
    await daemon.wait_for_event("settings_waited_for")
    await stop_soon(daemon)
