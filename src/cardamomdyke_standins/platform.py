"""Process that plays the platform: its store and its backend servers."""

import asyncio
import time
from dataclasses import replace

from fire import Fire
from msgspec import Struct, field
from msgspec.json import decode, encode
from tornado.web import Application, RequestHandler

from cardamomdyke.model.orders import Shape
from cardamomdyke.model.servers import EndKind
from cardamomdyke.platform.servers import format_task, parse_task
from cardamomdyke_standins.faults import FaultControl, FaultsHandler, FaultyHandler
from cardamomdyke_standins.platform_server import (
    Hall,
    PlatformServer,
    RefusedError,
    Run,
)
from cardamomdyke_standins.platform_store import Store, make_store_application
from cardamomdyke_standins.run_history import RunEvent, RunEventKind

BEAT_SECONDS = 0.5
TICK_SECONDS = 0.02
POOL = "order-desk"


class Plan(Struct):
    """What to play.

    Attributes
    ----------
    store : str
        ``host:port`` of the store.
    servers : dict of str to str
        ``host:port`` of each backend server, by name.
    tables : dict
        The operator's configuration, as the store keeps it.
    advertised : dict of str to str
        Addresses under which servers are known, where they differ.
    accelerators : int
        Accelerators of each server.
    failure_domains : list of str
        Failure domains, dealt to the servers in turn.
    """

    store: str
    servers: dict[str, str]
    tables: dict[str, object]
    advertised: dict[str, str] = field(default_factory=dict)
    accelerators: int = 8
    failure_domains: list[str] = field(default_factory=lambda: ["gent"])


class Witness:
    """Keeps what the servers see of runs.

    Attributes
    ----------
    events : list of RunEvent
        Everything so far.
    ends : dict
        Ends that no daemon has processed, by server, instance, lapses and number.
    """

    def __init__(self, hall: Hall) -> None:
        self.events: list[RunEvent] = []
        self.ends: dict[tuple[str, int, int, int], RunEvent] = {}
        hall.on_start = self.note_start
        hall.on_end = self.note_end

    def note_start(self, server: PlatformServer, run: Run) -> None:
        """Keep a start."""
        task = format_task(run.task)
        now = time.monotonic()
        self.events.append(
            RunEvent(now, RunEventKind.START, server.name, task, run.run)
        )

    def note_end(self, server: PlatformServer, run: Run, kind: EndKind | None) -> None:
        """Keep an end; it has no kind when the server crashed."""
        event = RunEvent(
            time.monotonic(),
            RunEventKind.END,
            server.name,
            format_task(run.task),
            run.run,
            "lost" if kind is None else kind.value,
        )
        self.events.append(event)
        if kind is not None:
            place = (server.name, server.instance, server.lapses, server.last_end)
            self.ends[place] = event

    def note_acknowledged(self, server: PlatformServer, number: int) -> None:
        """Keep which ends daemons have taken note of, while the lease lasted."""
        now = time.monotonic()
        if server.read_clock(now) >= server.lease_until:
            return
        instance = (server.name, server.instance, server.lapses)
        for place in [key for key in self.ends if key[:3] == instance]:
            if place[3] <= number:
                event = replace(self.ends.pop(place), at=now, kind=RunEventKind.NOTED)
                self.events.append(event)


class EventsHandler(RequestHandler):
    """``GET /events`` lists everything that the servers have seen."""

    def initialize(self, witness: Witness) -> None:
        """Remember the witness."""
        self.witness = witness

    def get(self) -> None:
        """List the events."""
        self.finish(encode(self.witness.events))


class LifeHandler(RequestHandler):
    """``PUT /life`` crashes a server (``false``) or lets it start (``true``)."""

    def initialize(self, server: PlatformServer) -> None:
        """Remember the server."""
        self.server = server

    def put(self) -> None:
        """Crash the server, or start a new instance."""
        up = decode(self.request.body, type=bool)
        if up and not self.server.up:
            self.server.restart(time.monotonic())
        elif not up and self.server.up:
            self.server.crash(time.monotonic())
        self.finish(b"{}")


class OperatorHandler(RequestHandler):
    """``PUT /operator/KEY`` writes what the operator orders; empty takes it back."""

    def initialize(self, store: Store) -> None:
        """Remember the store."""
        self.store = store

    def put(self, key: str) -> None:
        """Write one key."""
        self.store.put("keyed.op", key, self.request.body)
        self.finish(b"{}")


class OrderHandler(FaultyHandler):
    """``POST /run-start``, ``/run-stop`` and ``/hold`` of one server."""

    server: PlatformServer
    witness: Witness

    async def post(self, call: str) -> None:
        """Carry out one call."""
        if not self.server.up:
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        body = decode(self.request.body)
        try:
            answer = await self.carry_out(call, body)
        except RefusedError as refusal:
            self.set_status(409)
            answer = {"reason": refusal.kind.value}
        clock = self.server.read_clock(time.monotonic())
        answer["clock_ms"] = round(clock * 1000)
        answer["born"] = self.server.instance
        self.finish_change(encode(answer))

    async def carry_out(self, call: str, body: dict[str, object]) -> dict[str, object]:
        """Return the answer to one call."""
        now = time.monotonic()
        fence = int(str(body["fencing_token"]))
        if call == "hold":
            return await self.look(body, fence)
        task = parse_task(str(body["task"]))
        run = int(str(body["run"]))
        if call == "run-stop":
            self.server.stop(task, run, fence, now)
            return {}
        self.server.start(
            task,
            run,
            str(body["specification"]),
            str(body.get("checkpoint", "")),
            float(str(body["deadline_ms"])) / 1000.0,
            fence,
            now,
        )
        return {}

    async def look(self, body: dict[str, object], fence: int) -> dict[str, object]:
        """List runs and ends, waiting for an end as long as the caller allows."""
        until = time.monotonic() + float(str(body.get("wait_ms", 0))) / 1000.0
        lease = body.get("deadline_ms")
        self.server.advance(time.monotonic())
        self.witness.note_acknowledged(self.server, int(str(body["last_seen"])))
        while True:
            now = time.monotonic()
            running, ended = self.server.look(
                int(str(body["last_seen"])),
                None if lease is None else float(str(lease)) / 1000.0,
                fence,
                now,
            )
            if ended or now >= until:
                break
            await asyncio.sleep(TICK_SECONDS)
        return {
            "running": [
                [format_task(item.task), item.run, item.checkpoint, item.percent]
                for item in running
            ],
            "finished": [
                [end.number, format_task(end.task), end.run, end.kind, end.checkpoint]
                for end in ended
            ],
        }


def describe_entry(server: PlatformServer, address: str) -> bytes:
    """Return what a server writes of itself into the store."""
    entry = {
        "service": POOL,
        "address": address,
        "zone": server.failure_domain,
        "version": "v1",
        "slots": 8,
        "state": "draining" if server.draining else "ready",
        "cold_remaining_ms": 0,
        "capacity": {
            "cpu_millicores": server.capacity.millicores,
            "task_memory_mb": server.capacity.memory_mb,
            "accelerators": server.capacity.accelerators,
        },
        "labels": ["a", server.rack],
        "born": server.instance,
        "sequence": 1,
    }
    return encode(entry)


def listen(application: Application, address: str) -> None:
    """Listen on an address."""
    host, _, port = address.rpartition(":")
    application.listen(int(port), host)


async def play(plan: Plan) -> None:
    """Serve until the process ends."""
    store = Store(time.monotonic)
    store.put("keyed.op", "config", encode(plan.tables))
    hall = Hall()
    witness = Witness(hall)
    application = make_store_application(store, FaultControl())
    application.add_handlers(
        r".*",
        [
            (r"/events", EventsHandler, {"witness": witness}),
            (r"/operator/(.*)", OperatorHandler, {"store": store}),
        ],
    )
    listen(application, plan.store)
    for number, (name, address) in enumerate(plan.servers.items()):
        server = PlatformServer(
            name,
            hall,
            Shape(32_000, 65_536, plan.accelerators),
            rack=f"r{number // 8}",
            failure_domain=plan.failure_domains[number % len(plan.failure_domains)],
            born_at=time.monotonic(),
        )
        hall.servers[name] = server
        control = FaultControl()
        arguments = {"control": control, "server": server, "witness": witness}
        application = Application(
            [
                (r"/(run-start|run-stop|hold)", OrderHandler, arguments),
                (r"/faults", FaultsHandler, {"control": control}),
                (r"/life", LifeHandler, {"server": server}),
            ],
            log_function=lambda handler: None,
        )
        listen(application, address)
    beat_at = 0.0
    while True:
        now = time.monotonic()
        for name, server in hall.servers.items():
            server.advance(now)
            if now >= beat_at:
                address = plan.advertised.get(name, plan.servers[name])
                entry = describe_entry(server, address) if server.up else b""
                store.put("keyed.servers", name, entry)
        if now >= beat_at:
            beat_at = now + BEAT_SECONDS
        await asyncio.sleep(TICK_SECONDS)


def main(plan: str) -> None:
    """Play the platform that a file describes."""
    with open(plan, "rb") as file:
        asyncio.run(play(decode(file.read(), type=Plan)))


if __name__ == "__main__":
    Fire(main)
