"""An entry that can't be read lies among the replicas' entries during a release."""

import asyncio
import os

from common.fleet import CONTACT_S, DRAIN_S, PLAIN_SERVICE, Client, Fleet, main

# Bytes of another writer that can't be read; rows may have 65,536 bytes.
ENTRIES = {
    "bytes": b"[" * 20_000,
    "type": b'{"service": "pagkos-app", "address": "127.0.0.1:9", "zone": "gr-north-a",'
    b' "version": "v1", "slots": 1e999, "state": "ready", "coldRemainingMs": 0,'
    b' "sequence": 1, "born": 1}',
}
ENTRY = ENTRIES[os.environ.get("ENTRY", "bytes")]
# Time for which replicas that leave go on serving after their drain time.
LINGER_S = 3.0
RELEASE_GAP_S = 1.0
REPLICAS = 5
CLIENTS_PER_DAEMON = 4
PERIOD_S = 0.1


async def send_bookings(client: Client, seconds: float) -> None:
    """Send a booking every PERIOD_S."""
    for _ in range(round(seconds / PERIOD_S)):
        await client.plain("book")
        await asyncio.sleep(PERIOD_S)


async def case(fleet: Fleet, trouble: bool) -> str | None:
    """Return how DRAIN was broken, if it was."""
    await fleet.start_store()
    for number in range(1, REPLICAS + 1):
        await fleet.add_replica(f"service-{number}", PLAIN_SERVICE)
    await fleet.start(daemons=3)
    machines = fleet.daemons * CLIENTS_PER_DAEMON
    clients = [Client(fleet, machine) for machine in machines]
    await asyncio.gather(*(send_bookings(client, CONTACT_S + 1) for client in clients))
    if trouble:
        fleet.store.put("servers", "i-0a", ENTRY)
        fleet.record.add("unreadable_entry_written")
    await asyncio.sleep(2.0)

    # Releases of two, two and one replica, one a second; the new ones start first.
    acknowledged_at = {}
    for number in range(1, REPLICAS + 1):
        old = f"service-{number}"
        await fleet.add_replica(f"service-{REPLICAS + number}", PLAIN_SERVICE)
        await asyncio.sleep(RELEASE_GAP_S)
        replica = fleet.replicas[old]
        replica.state = "draining"
        replica.leaving = True
        replica.write_entry()
        acknowledged_at[old] = fleet.record.add("draining_acknowledged", replica=old)
    await asyncio.sleep(DRAIN_S + 0.5)
    sending = [asyncio.create_task(send_bookings(item, 8.0)) for item in clients]
    await asyncio.sleep(LINGER_S)
    for old in acknowledged_at:
        fleet.replicas[old].crash()
        fleet.store.drop_beat(old)
    await asyncio.gather(*sending)
    return verdict(fleet, acknowledged_at)


def verdict(fleet: Fleet, acknowledged_at: dict[str, float]) -> str | None:
    """Return how DRAIN was broken, if it was."""
    late = [
        item["at"] - acknowledged_at[item["replica"]]
        for item in fleet.record.of("run")
        if item["replica"] in acknowledged_at
        and item["at"] > acknowledged_at[item["replica"]] + DRAIN_S
    ]
    last_at = fleet.record.now - 4.0
    last = [item for item in fleet.record.of("answered") if item["at"] > last_at]
    served = sum(item["status"] == 200 for item in last)
    fleet.record.add("verdict", late=late, last_sent=len(last), last_served=served)
    if not late:
        return None
    return (
        f"{len(late)} requests reached replicas more than {DRAIN_S} s after their "
        f"leaving was acknowledged, up to {max(late):.2f} s; of the {len(last)} "
        f"requests of the last 4 s, {served} were served"
    )


main(case, __file__)
