"""TCP relay with injected faults, and a thread that runs an asyncio loop."""

import asyncio
import threading
from collections.abc import Coroutine
from typing import Any

from attrs import define, field

_CHUNK_BYTES = 65536


class LoopThread:
    """An asyncio loop on its own thread, used from synchronous code."""

    def __init__(self, name: str) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self._run, name=name, daemon=True)
        self.thread.start()

    def run(self, coroutine: Coroutine[Any, Any, Any], timeout_s: float = 10.0) -> Any:
        """Run `coroutine` on the loop and return its result."""
        future = asyncio.run_coroutine_threadsafe(coroutine, self.loop)
        return future.result(timeout_s)

    def stop(self) -> None:
        """Cancel all tasks, and stop the loop and its thread."""
        self.run(self._cancel_tasks())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()

    async def _cancel_tasks(self) -> None:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _run(self) -> None:
        asyncio.set_event_loop(self.loop)
        self.loop.run_forever()


@define(eq=False)
class _Connection:
    writers: list[asyncio.StreamWriter] = field(factory=list)
    blackholed: bool = False

    def abort(self) -> None:
        for writer in self.writers:
            writer.transport.abort()


class Relay:
    """Forwards TCP connections to one address, with faults; used on one loop.

    While the event `forward_to_target` or `forward_to_caller` is cleared, bytes in
    that direction are held back. They are delivered once it is set, as TCP delivers
    them when a network partition ends before the connection times out.
    """

    def __init__(self, target_host: str, target_port: int) -> None:
        self.target_host = target_host
        self.target_port = target_port
        self.host = "127.0.0.1"
        self.port = 0
        self.connections: set[_Connection] = set()
        self.frozen = False
        self.forward_to_target = asyncio.Event()
        self.forward_to_target.set()
        self.forward_to_caller = asyncio.Event()
        self.forward_to_caller.set()
        self.server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Return the ``host:port`` that callers connect to."""
        return f"{self.host}:{self.port}"

    async def start(self, port: int = 0) -> None:
        """Listen on `port`; 0 chooses a free one."""
        self.server = await asyncio.start_server(
            self._accept, self.host, port or self.port
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def refuse(self) -> None:
        """Abort all connections and refuse new ones until `start` is called."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            connection.abort()

    def silence(self) -> None:
        """Discard all further bytes of the open connections; new ones work."""
        for connection in self.connections:
            connection.blackholed = True

    def freeze(self) -> None:
        """Accept connections but discard all bytes, on open connections too."""
        self.frozen = True
        self.silence()

    def thaw(self) -> None:
        """End `freeze` for new connections; the present ones stay dead."""
        self.frozen = False

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = _Connection([writer], blackholed=self.frozen)
        self.connections.add(connection)
        try:
            await self._forward(connection, reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            connection.abort()
            self.connections.discard(connection)

    async def _forward(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        target = await asyncio.open_connection(self.target_host, self.target_port)
        target_reader, target_writer = target
        connection.writers.append(target_writer)
        copies = [
            self._copy(connection, reader, target_writer, self.forward_to_target),
            self._copy(connection, target_reader, writer, self.forward_to_caller),
        ]
        await asyncio.gather(*copies)

    async def _copy(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        gate: asyncio.Event,
    ) -> None:
        while True:
            data = await reader.read(_CHUNK_BYTES)
            await gate.wait()
            if connection.blackholed:
                if not data:
                    return
                continue
            if not data:
                if writer.can_write_eof() and not writer.is_closing():
                    writer.write_eof()
                return
            writer.write(data)
            await writer.drain()
