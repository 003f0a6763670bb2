"""Requests of callers that end early or in an unexpected error."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, cast

from msgspec.json import decode

from cardamomdyke.control.ingress import make_caller_application
from cardamomdyke.control.processor import CallerRequest
from cardamomdyke.control.relay import Relay, RequestReceiver
from cardamomdyke.protocol.progress import Progress
from tests.control.fakes import HOST, KEY, PREFIX, make_processor

TIMEOUT_SECONDS = 10.0


def make_receiver() -> RequestReceiver:
    processor = make_processor()
    return RequestReceiver(processor.context, processor, cast(Relay, None))


def exchange(
    receiver: RequestReceiver,
    progress: Progress,
    talk: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[Any]],
) -> Any:
    """Serve one connection, and return what its caller returns."""

    async def run() -> Any:
        server = make_caller_application(receiver, progress).listen(0, "127.0.0.1")
        port = next(iter(server._sockets.values())).getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            return await asyncio.wait_for(talk(reader, writer), TIMEOUT_SECONDS)
        finally:
            writer.close()
            server.stop()

    return asyncio.run(run())


def make_head(length: int) -> bytes:
    head = f"POST {PREFIX}00000000000000a1 HTTP/1.1\r\nHost: {HOST}\r\n"
    return f"{head}Api-Key: {KEY}\r\nContent-Length: {length}\r\n\r\n".encode()


def test_unexpected_error_has_a_typed_answer() -> None:
    """Guards against an HTML page, and against a refusal that may not be true."""
    receiver = make_receiver()

    async def fail(request: CallerRequest) -> Any:
        raise RuntimeError("not expected")

    receiver.serve = fail  # type: ignore[method-assign]

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> Any:
        writer.write(make_head(0))
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 500 ")
        return decode(await reader.readuntil(b"}"))

    answer = exchange(receiver, Progress(), talk)
    assert "not known" in answer["error"]
    assert answer["remedy"]


def test_unfinished_body_does_not_delay_a_shutdown() -> None:
    """Guards against a drain that waits for callers that have stopped sending."""
    progress = Progress()

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> Any:
        writer.write(make_head(10) + b"{")
        await asyncio.sleep(0.2)
        waiting = progress.requests
        writer.write(b" " * 9)
        head = await reader.readuntil(b"\r\n\r\n")
        return waiting, head

    waiting, head = exchange(make_receiver(), progress, talk)
    assert waiting == 0
    assert head.startswith(b"HTTP/1.1 400 ")
    assert progress.requests == 0
