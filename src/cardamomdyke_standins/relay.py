"""Relay between processes that can cut, delay, silence or reset connections.

The sender's IP address and the listening address tell the failure domains. A cut
applies to a pair of places (failure domains or ``platform``).
"""

import asyncio
from dataclasses import dataclass
from pathlib import Path

from fire import Fire
from msgspec.json import decode, encode
from tornado.web import Application, RequestHandler

CHUNK_BYTES = 65536


@dataclass(frozen=True, slots=True)
class Link:
    """One relayed address.

    Attributes
    ----------
    listen : str
        ``host:port`` that senders connect to.
    target : str
        ``host:port`` of the process behind it.
    place : str
        Failure domain of that process, or ``platform``.
    """

    listen: str
    target: str
    place: str


@dataclass(frozen=True, slots=True)
class Plan:
    """Links of the relay, and the place of each sender address.

    Attributes
    ----------
    control : str
        ``host:port`` of the control server.
    links : tuple of Link
        Relayed addresses.
    sources : dict of str to str
        Place by sender IP address; ``outside`` for all others.
    """

    control: str
    links: tuple[Link, ...]
    sources: dict[str, str]


@dataclass(frozen=True, slots=True)
class Cut:
    """A pair of places between which no byte passes.

    Attributes
    ----------
    source : str
        Place that opens connections.
    destination : str
        Place that accepts them.
    """

    source: str
    destination: str


@dataclass(frozen=True, slots=True)
class Conditions:
    """Current conditions of the network.

    Attributes
    ----------
    cuts : tuple of Cut
        Pairs between which nothing is forwarded, on open connections neither.
    stale_silent : bool
        Silence the currently open connections permanently; new ones work.
    delay_seconds : float
        Delay of each chunk, in both directions.
    answers_cut : bool
        Cut only the direction from the destination to the source.
    reset : bool
        Reset the currently open connections.
    """

    cuts: tuple[Cut, ...] = ()
    stale_silent: bool = False
    delay_seconds: float = 0.0
    answers_cut: bool = False
    reset: bool = False


class Network:
    """Open connections and the conditions that apply to them."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.conditions = Conditions()
        self.changed = asyncio.Event()
        self.connections: set[int] = set()
        self.writers: dict[int, asyncio.StreamWriter] = {}
        self.silenced: set[int] = set()
        self.count = 0

    def set_conditions(self, conditions: Conditions) -> None:
        """Replace the conditions and wake waiting connections."""
        self.conditions = conditions
        if conditions.stale_silent:
            self.silenced |= self.connections
        if conditions.reset:
            for writer in self.writers.values():
                writer.transport.abort()
        self.changed.set()
        self.changed = asyncio.Event()

    def check_cut(self, source: str, destination: str) -> bool:
        """Return True while a pair of places is cut."""
        return Cut(source, destination) in self.conditions.cuts

    async def wait_until_open(
        self, number: int, source: str, place: str, is_answer: bool = False
    ) -> None:
        """Wait while the connection is cut or silenced, then for the delay."""
        while number in self.silenced or (
            self.check_cut(source, place)
            and (is_answer or not self.conditions.answers_cut)
        ):
            await self.changed.wait()
        if self.conditions.delay_seconds:
            await asyncio.sleep(self.conditions.delay_seconds)

    async def serve_link(
        self, link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relay one connection until either end closes it."""
        self.count += 1
        number = self.count
        self.connections.add(number)
        self.writers[number] = writer
        source = self.plan.sources.get(writer.get_extra_info("peername")[0], "outside")
        try:
            await self.wait_until_open(number, source, link.place)
            host, _, port = link.target.rpartition(":")
            back_reader, back_writer = await asyncio.open_connection(host, int(port))
            directions = [
                asyncio.create_task(
                    self.forward(number, source, link.place, reader, back_writer)
                ),
                asyncio.create_task(
                    self.forward(number, source, link.place, back_reader, writer, True)
                ),
            ]
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
            for direction in directions:
                direction.cancel()
            back_writer.close()
        except OSError:
            pass
        finally:
            writer.close()
            self.connections.discard(number)
            self.writers.pop(number, None)
            self.silenced.discard(number)

    async def forward(
        self,
        number: int,
        source: str,
        place: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_answer: bool = False,
    ) -> None:
        """Forward bytes in one direction until the reader ends."""
        while chunk := await reader.read(CHUNK_BYTES):
            await self.wait_until_open(number, source, place, is_answer)
            writer.write(chunk)
            await writer.drain()


class ConditionsHandler(RequestHandler):
    """``PUT /conditions`` replaces the network's conditions."""

    def initialize(self, network: Network) -> None:
        """Set the network."""
        self.network = network

    def put(self) -> None:
        """Decode and set the conditions."""
        self.network.set_conditions(decode(self.request.body, type=Conditions))
        self.finish(encode({}))


async def serve_relay(plan: Plan) -> None:
    """Serve until the process ends."""
    network = Network(plan)
    for link in plan.links:
        host, _, port = link.listen.rpartition(":")

        async def serve(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
            link: Link = link,
        ) -> None:
            await network.serve_link(link, reader, writer)

        await asyncio.start_server(serve, host, int(port))
    host, _, port = plan.control.rpartition(":")
    Application(
        [(r"/conditions", ConditionsHandler, {"network": network})],
        log_function=lambda handler: None,
    ).listen(int(port), host)
    await asyncio.Event().wait()


def main(plan: str) -> None:
    """Run the relay that a `Plan` file configures."""
    asyncio.run(serve_relay(decode(Path(plan).read_bytes(), type=Plan)))


if __name__ == "__main__":
    Fire(main)
