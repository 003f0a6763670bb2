"""Clients that keep to no limits, and what a process holds under them."""

import asyncio
import os
import signal
import socket
import struct
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from itertools import chain, count, repeat
from pathlib import Path

CONNECTIONS = 280
# A client stops when the server has closed, or after this time.
PRESS_SECONDS = 6.0
SAMPLE_PERIOD_SECONDS = 0.05
GATHER_SECONDS = 2.5
READ_BYTES = 65_536
SMALL_BUFFER_BYTES = 4096
# State of a listening socket in /proc/net/tcp.
LISTEN_STATE = "0A"
# Lingering for 0 s, as the kernel's structure.
RESET_LINGER = struct.pack("ii", 1, 0)

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
    resident_bytes : int
        Peak resident memory.
    unread_bytes : int
        Most bytes in any sample that its sockets had received and it had not read.
    """

    pid: int
    descriptors: int = 0
    resident_bytes: int = field(init=False, default=0)
    unread_bytes: int = field(init=False, default=0)

    @property
    def peak_bytes(self) -> int:
        """Return the memory that counts against the process."""
        return self.resident_bytes + self.unread_bytes

    def read(self) -> None:
        """Take one sample."""
        inodes = read_socket_inodes(self.pid)
        self.descriptors = max(
            self.descriptors, len(list(Path(f"/proc/{self.pid}/fd").iterdir()))
        )
        status = Path(f"/proc/{self.pid}/status").read_text()
        lines = [line for line in status.splitlines() if line.startswith("VmHWM")]
        self.resident_bytes = int(lines[0].split()[1]) * 1024
        self.unread_bytes = max(self.unread_bytes, count_unread(inodes))


def read_socket_inodes(pid: int) -> set[str]:
    """Return the inodes of a process's sockets."""
    inodes = set()
    for path in Path(f"/proc/{pid}/fd").iterdir():
        with suppress(OSError):
            target = str(path.readlink())
            if target.startswith("socket:["):
                inodes.add(target[8:-1])
    return inodes


def count_unread(inodes: set[str]) -> int:
    """Return the bytes received and not read on sockets with these inodes.

    Connections that wait to be accepted have no inode yet, but the address of a
    listening socket. The queue of a listening socket counts connections, not bytes.
    """
    rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    listening = {row[1] for row in rows if row[3] == LISTEN_STATE and row[9] in inodes}
    return sum(
        int(row[4].partition(":")[2], 16)
        for row in rows
        if row[3] != LISTEN_STATE
        and (row[9] in inodes or (row[9] == "0" and row[1] in listening))
    )


def press(
    address: str,
    act: Press,
    pid: int,
    connections: int = CONNECTIONS,
    pauses: Iterable[float] = (),
    sources: int = 1,
    seconds: float = PRESS_SECONDS,
) -> Footprint:
    """Let a crowd act on a port; return the footprint.

    Parameters
    ----------
    address : str
        ``host:port`` of the port.
    act : callable
        What each client does with its connection.
    pid : int
        Process whose footprint is taken.
    connections : int
        Clients at a time.
    pauses : iterable of float
        Times at which the process is suspended and resumed by turns, in seconds from
        the start; it is resumed at the end.
    sources : int
        Client addresses of the crowd.
    seconds : float
        Time after which the clients stop.
    """
    return asyncio.run(
        press_port(address, act, pid, connections, pauses, sources, seconds)
    )


async def press_port(
    address: str,
    act: Press,
    pid: int,
    connections: int,
    pauses: Iterable[float] = (),
    sources: int = 1,
    seconds: float = PRESS_SECONDS,
) -> Footprint:
    """Open all connections, act on each, and sample the process meanwhile."""
    footprint = Footprint(pid)
    signals = [signal.SIGSTOP, signal.SIGCONT]
    loop = asyncio.get_running_loop()
    for number, pause_at in enumerate(pauses):
        loop.call_later(pause_at, send_signal, pid, signals[number % 2])
    clients = [
        asyncio.ensure_future(run_client(address, act, number % sources))
        for number in range(connections)
    ]
    deadline = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < deadline:
        try:
            footprint.read()
        except (OSError, IndexError):
            # The process has ended, which the test checks.
            break
        await asyncio.sleep(SAMPLE_PERIOD_SECONDS)
    send_signal(pid, signal.SIGCONT)
    for client in clients:
        client.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    return footprint


def send_signal(pid: int, number: signal.Signals) -> None:
    """Send a signal to a process, unless it has ended."""
    with suppress(ProcessLookupError):
        os.kill(pid, number)


async def run_client(address: str, act: Press, source: int) -> None:
    """Connect, act, and stay connected until cancelled."""
    host, _, port = address.rpartition(":")
    with socket.socket() as connection:
        connection.setblocking(False)
        if source:
            connection.bind((f"127.0.2.{source}", 0))
        try:
            loop = asyncio.get_running_loop()
            await loop.sock_connect(connection, (host, int(port)))
            await act(connection)
        except OSError:
            return
        await asyncio.Event().wait()


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


def repeat_connection(act: Press, is_reset: bool = False) -> Press:
    """Return an act that connects again and again, and acts on each connection.

    Parameters
    ----------
    act : callable
        Acts on one connection, which is closed after it.
    is_reset : bool
        True to reset each connection instead of closing it.
    """

    async def run(connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        source = (connection.getsockname()[0], 0)
        peer = connection.getpeername()
        while True:
            with socket.socket() as item:
                item.setblocking(False)
                item.bind(source)
                with suppress(OSError):
                    await loop.sock_connect(item, peer)
                    await act(item)
                if is_reset:
                    item.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)

    return run


def exchange(make_request: Callable[[int], bytes]) -> Press:
    """Return an act that sends numbered requests, each after the answer before.

    The numbers are unique in the crowd.
    """
    numbers = count(1)

    async def act(connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await loop.sock_sendall(connection, make_request(next(numbers)))
            if not await loop.sock_recv(connection, READ_BYTES):
                return

    return act


def start_together(act: Press, connections: int) -> Press:
    """Return an act that begins once all clients have connected.

    Clients that are not accepted keep the others waiting for `GATHER_SECONDS`.
    """
    is_complete = asyncio.Event()
    arrivals = count(1)

    async def run(connection: socket.socket) -> None:
        if next(arrivals) == connections:
            is_complete.set()
        with suppress(TimeoutError):
            await asyncio.wait_for(is_complete.wait(), GATHER_SECONDS)
        await act(connection)

    return run
