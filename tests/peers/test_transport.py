"""The end of a listener for peers."""

import asyncio

from marjoramstile.fronts.buffers import BufferBudget
from marjoramstile.peers.connections import PeerConnections
from marjoramstile.peers.transport import CLOSE_TIMEOUT_S, PeerServer

HOST = "127.0.0.1"
FRAME_MAX_BYTES = 100_000


class SlowHandler:
    """A peer's handler that takes its time."""

    def __init__(self, work_s: float):
        self._work_s = work_s

    async def probe_through(self, vm: str) -> bool:
        """Answer late."""
        await asyncio.sleep(self._work_s)
        return True


async def close_during_call(work_s: float) -> tuple[bool | None, float]:
    """Return a call's answer, None without one, and how long the close took."""
    buffers = BufferBudget(1_000_000)
    server = PeerServer(SlowHandler(work_s), FRAME_MAX_BYTES, buffers)
    await server.start(HOST, 0)
    port = server.port
    peers = PeerConnections(FRAME_MAX_BYTES, buffers)
    address = f"{HOST}:{port}"
    call = asyncio.create_task(
        peers.call(address, "probe_through", "vm", timeout_s=1.0)
    )
    await asyncio.sleep(0.03)
    loop = asyncio.get_running_loop()
    began = loop.time()
    await server.close()
    took_s = loop.time() - began
    answer = await call
    peers.close()
    return answer, took_s


async def test_call_that_was_read_is_answered_at_the_end():
    answer, took_s = await close_during_call(work_s=0.06)
    assert answer is True
    assert took_s < CLOSE_TIMEOUT_S


async def test_end_does_not_wait_long_for_a_call():
    answer, took_s = await close_during_call(work_s=2.0)
    assert answer is None
    assert took_s < 2 * CLOSE_TIMEOUT_S
