"""HTTP server that sends scripted bytes, in the event loop of the test."""

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

# Script entry for a request that is read and never answered.
SILENCE = b"silence"


@dataclass
class ScriptedServer:
    """Answers the n-th request with the n-th entry of a script.

    An entry that ends with `CLOSE` closes the connection after the bytes before it.
    ``requests`` holds each request with the number of its connection, from 1.
    """

    script: list[bytes]
    requests: list[tuple[int, bytes]] = field(default_factory=list)
    connections: int = 0
    address: str = ""
    listener: asyncio.Server | None = None
    close_listener_on_last: bool = False
    bytes_per_second: float = 0.0

    async def serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        number = self.connections
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.requests.append((number, head + await read_body(reader, head)))
                entry = self.script.pop(0)
                if not self.script and self.close_listener_on_last:
                    assert self.listener is not None
                    self.listener.close()
                if entry == SILENCE:
                    await reader.read()
                    return
                await self.send(writer, entry.removesuffix(CLOSE))
                if entry.endswith(CLOSE):
                    return
        except (asyncio.IncompleteReadError, ConnectionError, IndexError):
            return
        finally:
            writer.close()

    async def send(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Send bytes at ``bytes_per_second``, or at once when it is 0."""
        if not self.bytes_per_second:
            writer.write(data)
            await writer.drain()
            return
        size = max(1, int(self.bytes_per_second * CHUNK_SECONDS))
        for first in range(0, len(data), size):
            writer.write(data[first : first + size])
            await writer.drain()
            await asyncio.sleep(CHUNK_SECONDS)


CLOSE = b"<close>"
# Interval between the chunks of a reply sent at a limited rate.
CHUNK_SECONDS = 0.05


async def read_body(reader: asyncio.StreamReader, head: bytes) -> bytes:
    """Read a request body of the length that Content-Length states."""
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return await reader.readexactly(int(value))
    return b""


@asynccontextmanager
async def run_script(
    script: Sequence[bytes],
    *,
    close_listener_on_last: bool = False,
    bytes_per_second: float = 0.0,
) -> AsyncIterator[ScriptedServer]:
    """Serve a script on a free port within a ``with`` block."""
    server = ScriptedServer(list(script), close_listener_on_last=close_listener_on_last)
    server.bytes_per_second = bytes_per_second
    server.listener = await asyncio.start_server(
        server.serve_connection, "127.0.0.1", 0
    )
    port = server.listener.sockets[0].getsockname()[1]
    server.address = f"127.0.0.1:{port}"
    try:
        yield server
    finally:
        server.listener.close()


def make_reply(
    body: bytes, *, status: str = "200 OK", length: int | None = None, **headers: str
) -> bytes:
    """Return the bytes of a reply; ``length`` replaces the correct Content-Length."""
    lines = [f"HTTP/1.1 {status}"]
    lines.append(f"Content-Length: {len(body) if length is None else length}")
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
