"""A replica answers one stream with an error whose body has no end."""

import asyncio

from common.fleet import (
    CONTACT_S,
    MEMORY_MB,
    PLAIN_SERVICE,
    STREAM_SERVICE,
    Client,
    Daemon,
    Fleet,
    main,
)

CLIENTS = 10
LOOK_PERIOD_S = 0.02
RESTART_S = 0.3
LOST_MAX = 3


async def watch_memory(fleet: Fleet, daemon: Daemon) -> None:
    """Kill a daemon that exceeds its memory, as the platform does; start it again."""
    peak_mb = 0.0
    while True:
        memory_mb = daemon.memory_mb()
        if memory_mb > peak_mb + 20:
            peak_mb = memory_mb
            fleet.record.add("memory", machine=daemon.host, mb=round(memory_mb))
        if memory_mb > MEMORY_MB:
            fleet.record.add(
                "over_memory", machine=daemon.host, mb=round(memory_mb), max=MEMORY_MB
            )
            fleet.kill(daemon)
            await asyncio.sleep(RESTART_S)
            fleet.launch(daemon)
            peak_mb = 0.0
        await asyncio.sleep(LOOK_PERIOD_S)


async def send_bookings(client: Client, until: float) -> None:
    """Send one booking after the other on a kept connection."""
    while client.fleet.record.now < until:
        _, answer = await client.plain("book")
        if answer.status != 200:
            await asyncio.sleep(0.2)


async def case(fleet: Fleet, trouble: bool) -> str | None:
    """Return how LOST was broken, if it was."""
    await fleet.start_store()
    for name in ("service-1", "service-2"):
        await fleet.add_replica(name, PLAIN_SERVICE, work_s=0.06)
    await fleet.add_replica("prefill-1", STREAM_SERVICE, stage="prefill")
    bad = await fleet.add_replica("decode-1", STREAM_SERVICE, stage="decode")
    await fleet.start(daemons=2)
    watching = [
        asyncio.create_task(watch_memory(fleet, daemon)) for daemon in fleet.daemons
    ]
    until = fleet.record.now + CONTACT_S + 9.0
    clients = [Client(fleet, fleet.daemons[0]) for _ in range(CLIENTS)]
    sending = [asyncio.create_task(send_bookings(item, until)) for item in clients]
    await asyncio.sleep(CONTACT_S + 1.0)
    if trouble:
        bad.endless_errors = 1
    _, answer = await Client(fleet, fleet.daemons[0]).stream("summary")
    await asyncio.gather(*sending)
    for task in watching:
        task.cancel()
    return verdict(fleet, answer.status)


def verdict(fleet: Fleet, stream_status: int) -> str | None:
    """Return how LOST was broken, if it was."""
    run = {item["request"] for item in fleet.record.of("run")}
    lost = [
        item
        for item in fleet.record.of("answered", kind="book", kept=True, status=0)
        if item["request"] in run
    ]
    ends = fleet.record.of("over_memory")
    fleet.record.add(
        "verdict", lost=len(lost), ends=len(ends), stream_status=stream_status
    )
    if len(lost) <= LOST_MAX:
        return None
    return (
        f"{len(lost)} bookings that a sound replica ran ended with a closed kept "
        f"connection: their daemon took {ends[0]['mb']} MB of {MEMORY_MB}"
    )


main(case, __file__)
