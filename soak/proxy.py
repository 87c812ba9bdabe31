"""A loopback proxy that can delay, drop or reset its traffic."""

import asyncio
import contextlib
from dataclasses import dataclass

CHUNK_BYTES = 65536


@dataclass
class LinkFaults:
    """Faults of a link.

    ``mode`` is "" (none), reset, silent (drops all data) or one_way (drops answers).
    """

    mode: str = ""
    delay_s: float = 0.0


class LinkProxy:
    """Forwards connections to a target address and applies faults to them."""

    def __init__(self, target: str):
        self._host, _, port = target.rpartition(":")
        self._port = int(port)
        self.faults = LinkFaults()
        self._opened = 0
        self._silent = 0
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """The port that the proxy listens on."""
        return self._server.sockets[0].getsockname()[1]

    async def start(self, host: str, port: int) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def silence_open(self) -> None:
        """Let all open connections fall silent for good; new ones work."""
        self._silent = self._opened

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self._opened += 1
        number = self._opened
        if self.faults.mode == "reset":
            writer.transport.abort()
            return
        with contextlib.suppress(OSError, asyncio.CancelledError):
            upstream = await asyncio.open_connection(self._host, self._port)
            await asyncio.gather(
                self._pump(reader, upstream[1], "there", number),
                self._pump(upstream[0], writer, "back", number),
            )

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: str,
        number: int,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                faults = self.faults
                if faults.mode == "reset":
                    break
                if faults.mode == "silent" or number <= self._silent:
                    continue
                if faults.mode == "one_way" and direction == "back":
                    continue
                await asyncio.sleep(faults.delay_s)
                writer.write(data)
                await writer.drain()
        if number > self._silent:
            writer.close()
