"""A decode replica leaves while the prompt of a placed stream is read slowly."""

import asyncio

from common.fleet import CONTACT_S, DRAIN_S, STREAM_SERVICE, Client, Fleet, main

# Prefilled in 0.6 s by a sound replica, in 3 s by one that is five times slower.
PROMPT = 20_000
SLOW = 5.0
ROUNDS = 3
DECODE = 6
# Pause between two rounds, in which no replica is slow.
PAUSE_S = 1.0
# Tokens of the answers; they last 1.9 s.
OUTPUT = 440
# Time for which the replica goes on serving after its drain time, then it exits.
LINGER_S = 2.0


async def case(fleet: Fleet, trouble: bool) -> str | None:
    """Return how DRAIN was broken, if it was."""
    await fleet.start_store()
    prefill = await fleet.add_replica("prefill-1", STREAM_SERVICE, stage="prefill")
    for number in range(1, DECODE + 1):
        await fleet.add_replica(f"decode-{number}", STREAM_SERVICE, stage="decode")
    await fleet.start(daemons=2)
    await asyncio.sleep(CONTACT_S + 1.0)
    late = []
    for number in range(ROUNDS):
        client = Client(fleet, fleet.daemons[number % 2])
        if trouble:
            prefill.slow = SLOW
            fleet.record.add("replica_slow", replica=prefill.id, times=SLOW)
        new = f"decode-{DECODE + 1 + number}"
        late += await leave_during_prefill(fleet, client, new)
        prefill.slow = 1.0
        fleet.record.add("replica_not_slow", replica=prefill.id)
        await asyncio.sleep(PAUSE_S)
    answers = fleet.record.of("answered")
    cut = sum(not item["complete"] for item in answers)
    fleet.record.add("verdict", late=late, cut=cut)
    if not late:
        return None
    return (
        f"{len(late)} of {len(answers)} streams reached leaving replicas, {late} s "
        f"after the acknowledgement; {cut} were cut off as these exited"
    )


async def leave_during_prefill(fleet: Fleet, client: Client, new: str) -> list[float]:
    """Replace the replica that a stream is placed on; return late arrivals.

    A replica that leaves exits in the end, whatever it still runs.
    """
    stream = asyncio.create_task(client.stream("summary", prompt=PROMPT, output=OUTPUT))
    while not (held := [item for item in fleet.replicas.values() if item.has_hold]):
        await asyncio.sleep(0.005)
        if stream.done():
            return []
    leaving = held[0]
    await fleet.add_replica(new, STREAM_SERVICE, stage="decode")
    leaving.state = "draining"
    leaving.leaving = True
    leaving.write_entry()
    acknowledged_at = fleet.record.add("draining_acknowledged", replica=leaving.id)
    await asyncio.sleep(DRAIN_S + LINGER_S)
    leaving.crash()
    fleet.store.drop_beat(leaving.id)
    await stream
    return [
        round(item["at"] - acknowledged_at, 2)
        for item in fleet.record.of("run", replica=leaving.id)
        if item["at"] > acknowledged_at + DRAIN_S
    ]


main(case, __file__)
