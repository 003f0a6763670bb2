"""Relay between processes that can cut, delay or silence connections.

A daemon's outgoing connections come from its own address, so the relay knows
the failure domain of the sender, and each listening address the one of the
receiver. A cut applies to a pair of places (failure domains or ``platform``).
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
        ``host:port`` that the others know.
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
    """All links, and the place of each sender address.

    Attributes
    ----------
    control : str
        ``host:port`` of the control interface.
    links : tuple of Link
        Relayed addresses.
    sources : dict of str to str
        Place by sender IP address.
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
    """What the network does at present.

    Attributes
    ----------
    cuts : tuple of Cut
        Connections between these places go silent, open ones too.
    stale_silent : bool
        Connections open at the moment of this change go silent for good, while
        new ones work.
    delay_seconds : float
        Added to every chunk, each way.
    answers_cut : bool
        The cuts hold back only what the destination sends.
    reset : bool
        Connections open at the moment of this change are reset.
    """

    cuts: tuple[Cut, ...] = ()
    stale_silent: bool = False
    delay_seconds: float = 0.0
    answers_cut: bool = False
    reset: bool = False


class Network:
    """Current conditions and the connections that they apply to."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.conditions = Conditions()
        self.changed = asyncio.Event()
        self.connections: set[int] = set()
        self.writers: dict[int, asyncio.StreamWriter] = {}
        self.stale: set[int] = set()
        self.count = 0

    def set_conditions(self, conditions: Conditions) -> None:
        """Replace the conditions and wake everything that waits for a change."""
        self.conditions = conditions
        if conditions.stale_silent:
            self.stale |= self.connections
        if conditions.reset:
            for writer in self.writers.values():
                writer.transport.abort()
        self.changed.set()
        self.changed = asyncio.Event()

    def check_cut(self, source: str, destination: str) -> bool:
        """Tell whether no byte passes between two places."""
        return Cut(source, destination) in self.conditions.cuts

    async def wait_until_open(
        self, number: int, source: str, place: str, answers: bool = False
    ) -> None:
        """Wait while the connection's pair of places is cut, or for ever."""
        while number in self.stale or (
            self.check_cut(source, place)
            and (answers or not self.conditions.answers_cut)
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
            pumps = [
                asyncio.create_task(
                    self.pump(number, source, link.place, reader, back_writer)
                ),
                asyncio.create_task(
                    self.pump(number, source, link.place, back_reader, writer, True)
                ),
            ]
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            for pump in pumps:
                pump.cancel()
            back_writer.close()
        except OSError:
            pass
        finally:
            writer.close()
            self.connections.discard(number)
            self.writers.pop(number, None)
            self.stale.discard(number)

    async def pump(
        self,
        number: int,
        source: str,
        place: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        answers: bool = False,
    ) -> None:
        """Pass bytes one way."""
        while chunk := await reader.read(CHUNK_BYTES):
            await self.wait_until_open(number, source, place, answers)
            writer.write(chunk)
            await writer.drain()


class ConditionsHandler(RequestHandler):
    """``PUT /conditions`` replaces the network's conditions."""

    def initialize(self, network: Network) -> None:
        """Remember the network."""
        self.network = network

    def put(self) -> None:
        """Replace the conditions."""
        self.network.set_conditions(decode(self.request.body, type=Conditions))
        self.finish(encode({}))


async def serve_relay(plan: Plan) -> None:
    """Serve all links until the process ends."""
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
    """Run the relay that a plan file describes."""
    asyncio.run(serve_relay(decode(Path(plan).read_bytes(), type=Plan)))


if __name__ == "__main__":
    Fire(main)
