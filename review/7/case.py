"""Two of four machines are lost for good while two software versions serve."""

import asyncio
import hashlib
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common2.deployment import (  # noqa: E402
    STREAM_SERVICE,
    CouldNotRunError,
    Deployment,
    has_trouble,
    run_case,
)
from common2.record import Record  # noqa: E402
from common2.replica import Identity, Replica  # noqa: E402
from common2.streams import StreamClient, StreamResult  # noqa: E402

MACHINES = 4
KILLED = 2
REPLICA_PORT = 7600
VERSIONS = ("v1", "v2")
DECODE_REPLICAS_PER_VERSION = 2
# The rule counts from so many streams on.
TAKEN_UP_MIN = 12
STREAM_PERIOD_S = 0.1
TRAFFIC_S = 10.0
BEFORE_LOSS_S = 6.0
LAST_STREAMS_S = 25.0


def machines_to_kill(names: list[str]) -> list[str]:
    """Return the machines that keep the streams' versions; their rank is a hash.

    Any two machines may be lost at once. With these two the rule breaks each time;
    with two random ones of four, it would in one run of six.
    """

    def weight(name: str) -> bytes:
        key = f"pool/streams/{STREAM_SERVICE}/0|{name}"
        return hashlib.blake2b(key.encode(), digest_size=8).digest()

    return sorted(names, key=weight, reverse=True)[:KILLED]


async def play(record: Record) -> bool:
    """Return whether enough of the streams that are taken up go on."""
    deployment = Deployment(record)
    try:
        return await _play(deployment, record)
    finally:
        deployment.close()


async def _start_replicas(deployment: Deployment, record: Record) -> None:
    for version in VERSIONS:
        names = [f"decode-{i}-{version}" for i in range(DECODE_REPLICAS_PER_VERSION)]
        for name in (*names, f"prefill-{version}"):
            stage = name.partition("-")[0]
            host = deployment.new_host()
            identity = Identity(
                name, STREAM_SERVICE, stage, host, REPLICA_PORT, version
            )
            replica = Replica(identity, deployment.store, record)
            await replica.open()
            await replica.register()


async def _play(deployment: Deployment, record: Record) -> bool:
    await deployment.store.open()
    await _start_replicas(deployment, record)
    await deployment.start(MACHINES)
    await asyncio.sleep(2.0)
    clients: list[StreamClient] = []
    runs: list[asyncio.Task] = []

    async def send_streams() -> None:
        for _ in range(round(TRAFFIC_S / STREAM_PERIOD_S)):
            running = [item for item in deployment.machines.values() if item.is_running]
            clients.append(StreamClient(record, running, "/notes/1"))
            runs.append(asyncio.create_task(clients[-1].run()))
            await asyncio.sleep(STREAM_PERIOD_S)

    traffic = asyncio.create_task(send_streams())
    await asyncio.sleep(BEFORE_LOSS_S)
    if has_trouble():
        for name in machines_to_kill(list(deployment.machines)):
            deployment.kill(name)
    await traffic
    await asyncio.wait(runs, timeout=LAST_STREAMS_S)
    return _judge([client.result for client in clients], record)


def _judge(results: list[StreamResult], record: Record) -> bool:
    """Compare the shares; without the loss no stream is taken up, and it holds."""
    begun = [result for result in results if result.events]
    taken_up = [result for result in results if result.taken_up]
    went_on = [result for result in taken_up if result.went_on]
    outcomes = sorted({result.outcome for result in taken_up})
    record.say(
        f"{len(begun)} of {len(results)} new streams began; {len(went_on)} of "
        f"{len(taken_up)} that were taken up went on (last outcomes: {outcomes})"
    )
    if not has_trouble():
        return len(begun) == len(results) and not taken_up
    if len(taken_up) < TAKEN_UP_MIN:
        raise CouldNotRunError(f"only {len(taken_up)} streams were taken up")
    begun_share = len(begun) / len(results)
    return len(went_on) / len(taken_up) >= begun_share / 2


if __name__ == "__main__":
    run_case(FOLDER, play)
