"""Clients that keep to no limits, and what a process holds under them."""

import asyncio
import socket
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from itertools import chain, repeat
from pathlib import Path

CONNECTIONS = 280
# A client stops when the server has closed, or after this time.
PRESS_SECONDS = 6.0
SAMPLE_PERIOD_SECONDS = 0.05
READ_BYTES = 65_536
SMALL_BUFFER_BYTES = 4096

Press = Callable[[socket.socket], Awaitable[None]]


@dataclass
class Footprint:
    """What a process held at most.

    Attributes
    ----------
    pid : int
        The process.
    descriptors : int
        Most open descriptors in any sample.
    """

    pid: int
    descriptors: int = 0
    peak_bytes: int = field(init=False, default=0)

    def read(self) -> None:
        """Take one sample."""
        self.descriptors = max(
            self.descriptors, len(list(Path(f"/proc/{self.pid}/fd").iterdir()))
        )
        status = Path(f"/proc/{self.pid}/status").read_text()
        lines = [line for line in status.splitlines() if line.startswith("VmHWM")]
        self.peak_bytes = int(lines[0].split()[1]) * 1024


def press(
    address: str, act: Press, pid: int, connections: int = CONNECTIONS
) -> Footprint:
    """Let a crowd act on a port for `PRESS_SECONDS`; return the footprint."""
    return asyncio.run(press_port(address, act, pid, connections))


async def press_port(address: str, act: Press, pid: int, connections: int) -> Footprint:
    """Open all connections, act on each, and sample the process meanwhile."""
    footprint = Footprint(pid)
    clients = [
        asyncio.ensure_future(run_client(address, act)) for _ in range(connections)
    ]
    deadline = asyncio.get_running_loop().time() + PRESS_SECONDS
    while asyncio.get_running_loop().time() < deadline:
        try:
            footprint.read()
        except (OSError, IndexError):
            # The process has ended, which the test checks.
            break
        await asyncio.sleep(SAMPLE_PERIOD_SECONDS)
    for client in clients:
        client.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    return footprint


async def run_client(address: str, act: Press) -> None:
    """Connect, act, and stay connected until cancelled."""
    host, _, port = address.rpartition(":")
    with socket.socket() as connection:
        connection.setblocking(False)
        try:
            loop = asyncio.get_running_loop()
            await loop.sock_connect(connection, (host, int(port)))
            await act(connection)
        except OSError:
            return
        await asyncio.sleep(PRESS_SECONDS)


def send(*pieces: bytes, pause_seconds: float = 0.0) -> Press:
    """Return an act that sends pieces, with a pause after each."""
    return send_all(lambda: pieces, pause_seconds)


def send_forever(head: bytes, piece: bytes, pause_seconds: float = 0.0) -> Press:
    """Return an act that sends a head and then one piece without end."""
    return send_all(lambda: chain([head], repeat(piece)), pause_seconds)


def send_all(pieces: Callable[[], Iterable[bytes]], pause_seconds: float) -> Press:
    """Return an act that sends pieces and reads nothing."""

    async def act(connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        for piece in pieces():
            await loop.sock_sendall(connection, piece)
            await asyncio.sleep(pause_seconds)

    return act


def send_and_read(payload: bytes) -> Press:
    """Return an act that sends a payload and reads all answers."""

    async def act(connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        sending = asyncio.ensure_future(loop.sock_sendall(connection, payload))
        while await loop.sock_recv(connection, READ_BYTES):
            pass
        await sending

    return act


def shrink_receive_buffer(act: Press) -> Press:
    """Return an act of a client that takes only a few KB of answers."""

    async def run(connection: socket.socket) -> None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        await act(connection)

    return run
