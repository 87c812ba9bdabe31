"""Frames of peers are read into the daemon's memory budget."""

import asyncio
import struct

import pytest

from marjoramstile.fronts.buffers import BufferBudget
from marjoramstile.peers.transport import FrameError, FrameStream

MAX_BYTES = 4_000_000


def stream_of(data: bytes, buffers: BufferBudget) -> FrameStream:
    """Return a stream that has received ``data``."""
    reader = asyncio.StreamReader()
    reader.feed_data(data)
    return FrameStream(reader, None, MAX_BYTES, buffers)


def frame(length: int, sent: int) -> bytes:
    """Return a frame of ``length`` bytes, of which ``sent`` have arrived."""
    return struct.pack("!i", length) + b"x" * sent


async def test_frames_of_many_peers_exceed_the_daemons_memory():
    """Each connection could keep a frame of the longest length, without a sum."""
    buffers = BufferBudget(1_000_000)
    reads = [
        asyncio.create_task(stream_of(frame(400_000, 300_000), buffers).read())
        for _ in range(10)
    ]
    await asyncio.sleep(1.0)
    failed = [read for read in reads if read.done()]
    assert buffers.used <= 750_000
    assert len(failed) >= 8
    for read in failed:
        with pytest.raises(FrameError):
            read.result()
    assert await stream_of(frame(50_000, 50_000), buffers).read() == b"x" * 50_000
    for read in reads:
        read.cancel()
    await asyncio.gather(*reads, return_exceptions=True)
    assert buffers.used == 0


async def test_a_frame_that_is_announced_and_not_sent_takes_memory():
    buffers = BufferBudget(1_000_000)
    streams = [stream_of(frame(MAX_BYTES, 0), buffers) for _ in range(50)]
    reads = [asyncio.create_task(stream.read()) for stream in streams]
    await asyncio.sleep(1.0)
    assert buffers.used == 0
    assert not any(read.done() for read in reads)
    for read in reads:
        read.cancel()
    await asyncio.gather(*reads, return_exceptions=True)
