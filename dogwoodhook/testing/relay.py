"""A TCP relay that can be cut in one direction, for asymmetric partitions.

    async with Relay(port=7000) as relay:
        relay.is_cut_to_client = True  # requests arrive, answers do not

Data sent in a cut direction is lost; the connections stay open, as in a network that
drops packets. A connection that lost data delivers nothing more in that direction, as
TCP does. ``silence_open_connections`` does the same permanently to the connections
that are open at that moment, while new ones work. ``reset_open_connections`` closes
the open connections with a reset, and ``close_port`` the port too, as if the process
behind it had ended; no other socket gets the port until the relay has ended.
``bytes_per_s`` limits the bandwidth, and ``delay_s`` delays each piece of data.
``refused_ports`` are the ports of clients whose connections the server refused.
"""

import asyncio
import socket
import struct
from types import TracebackType

from dogwoodhook.testing.serving import LOOPBACK

READ_BYTES = 64 * 1024


class Relay:
    """Listens on its own port and relays each connection to another port."""

    def __init__(self, *, port: int, host: str = LOOPBACK) -> None:
        self.port = 0
        self.is_cut_to_server = False
        self.is_cut_to_client = False
        self.bytes_per_s: float | None = None
        self.delay_s = 0.0
        self.refused_ports: set[int] = set()
        self._silenced_tasks: set[asyncio.Task[None]] = set()
        self._server_address = (host, port)
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._port_holder: socket.socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> "Relay":
        self._port_holder = _bind_any_port()
        self.port = self._port_holder.getsockname()[1]
        await self.open_port()
        return self

    @property
    def is_listening(self) -> bool:
        """Return whether the port is open."""
        return self._server is not None and self._server.is_serving()

    async def open_port(self) -> None:
        """Accept connections; the port stays the same."""
        self._server = await asyncio.start_server(
            self._accept, LOOPBACK, self.port, reuse_address=True
        )

    def close_port(self) -> None:
        """Close the port, and reset the connections that are open."""
        if self._server is not None:
            self._server.close()
        self.reset_open_connections()

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._server is not None:
            self._server.close()
        if self._port_holder is not None:
            self._port_holder.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def silence_open_connections(self) -> None:
        """Drop all data sent from now on over the connections that are open now."""
        self._silenced_tasks |= self._tasks

    def reset_open_connections(self) -> None:
        """Reset the connections that are open, on both sides."""
        for writer in self._writers:
            _reset_on_close(writer)
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            task.add_done_callback(self._silenced_tasks.discard)
        client = writer.get_extra_info("peername")
        if client is None:
            # The client has reset the connection already.
            writer.close()
            return
        client_port = client[1]
        self.refused_ports.discard(client_port)
        try:
            server_reader, server_writer = await asyncio.open_connection(
                *self._server_address
            )
        except OSError:
            self.refused_ports.add(client_port)
            writer.close()
            return
        self._writers |= {writer, server_writer}
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._copy(reader, server_writer, task, is_to_server=True)
                )
                group.create_task(
                    self._copy(server_reader, writer, task, is_to_server=False)
                )
        except* OSError:
            # A reset is forwarded as a reset: it shows that an answer is incomplete.
            _reset_on_close(writer)
            _reset_on_close(server_writer)
        finally:
            self._writers -= {writer, server_writer}
            writer.close()
            server_writer.close()

    async def _copy(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        connection: asyncio.Task[None] | None,
        *,
        is_to_server: bool,
    ) -> None:
        has_lost_data = False
        while data := await source.read(READ_BYTES):
            is_cut = self.is_cut_to_server if is_to_server else self.is_cut_to_client
            await asyncio.sleep(self.delay_s)
            if self.bytes_per_s is not None:
                await asyncio.sleep(len(data) / self.bytes_per_s)
            has_lost_data |= is_cut or connection in self._silenced_tasks
            if not has_lost_data:
                sink.write(data)
                await sink.drain()
        if has_lost_data:
            # The end of the stream is behind what was lost.
            _reset_on_close(sink)
            return
        # The other direction stays open: a server may read on after its last answer.
        if not sink.is_closing():
            sink.write_eof()


def _bind_any_port() -> socket.socket:
    """Return a socket that holds a free port without listening on it.

    Only a listener with ``SO_REUSEADDR`` that names the port can have it as well.
    """
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind((LOOPBACK, 0))
    return holder


def _reset_on_close(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
