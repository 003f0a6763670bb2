"""Connections of callers are closed after their input, within bounds."""

import asyncio
import errno
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from tornado.web import Application, RequestHandler

from cardamomdyke.protocol import connections
from cardamomdyke.protocol.connections import MAX_HEADER_BYTES, start_caller_server

REFUSAL = b"HTTP/1.1 431 Too Long\r\nContent-Length: 0\r\n\r\n"
LONG_HEADERS = b"GET / HTTP/1.1\r\nX: " + b"x" * MAX_HEADER_BYTES + b"\r\n\r\n"
REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
TIMEOUT_SECONDS = 10.0

Talk = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[Any]]


class EmptyHandler(RequestHandler):
    def get(self) -> None:
        self.finish(b"")


def talk_to_server(talk: Talk) -> Any:
    """Run one caller against a server; return what it returns."""

    async def run() -> Any:
        server = start_caller_server(
            Application([("/", EmptyHandler)], log_function=lambda handler: None),
            "127.0.0.1",
            0,
            lambda: REFUSAL,
            idle_timeout_seconds=TIMEOUT_SECONDS,
        )
        port = next(iter(server._sockets.values())).getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            return await asyncio.wait_for(talk(reader, writer), TIMEOUT_SECONDS)
        finally:
            writer.close()
            server.stop()
            await server.close_all_connections()

    return asyncio.run(run())


async def send_until_refused(writer: asyncio.StreamWriter) -> int:
    """Send until the connection is reset; return the number of bytes sent."""
    sent = 0
    try:
        while True:
            writer.write(b"x" * 1000)
            await writer.drain()
            sent += 1000
            await asyncio.sleep(0.001)
    except OSError:
        return sent


def test_reply_to_long_headers_ends_the_connection() -> None:
    """Guards against a caller that waits for more on a refused connection."""

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bytes:
        writer.write(REQUEST)
        assert b" 200 " in await reader.readuntil(b"\r\n\r\n")
        writer.write(LONG_HEADERS)
        return await reader.read()

    assert talk_to_server(talk) == REFUSAL


def test_dropped_input_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a caller that keeps a daemon reading for ever."""
    monkeypatch.setattr(connections, "MAX_DROPPED_BYTES", 100_000)

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> int:
        writer.write(LONG_HEADERS)
        assert await reader.read() == REFUSAL
        return await send_until_refused(writer)

    assert talk_to_server(talk) >= 30_000


def test_silent_caller_is_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against connections that stay open with callers that are gone."""
    monkeypatch.setattr(connections, "MAX_DROPPING_SECONDS", 0.2)

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> int:
        writer.write(LONG_HEADERS)
        assert await reader.read() == REFUSAL
        await asyncio.sleep(0.5)
        return await send_until_refused(writer)

    assert talk_to_server(talk) < 100_000


def test_connection_is_closed_without_free_descriptors(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against connections that are never closed once descriptors run out."""

    def fail(connection: socket.socket) -> socket.socket:
        raise OSError(errno.EMFILE, "too many open files")

    monkeypatch.setattr(socket.socket, "dup", fail)

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bytes:
        writer.write(REQUEST.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
        return await reader.read()

    assert b" 200 " in talk_to_server(talk)
