"""Stand-in process for the store and the backend servers of the second review.

Runs, leases, ends and the store come from the project's own stand-ins. This module
adds what the users' pages say besides: `born` in Unix milliseconds, answers 421 to a
wrong `Expected-Instance`, entries that are removed after three silent heartbeat
intervals, restarts under the same id, and orders that are carried out late.
"""

import asyncio
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from msgspec.json import decode, encode
from tornado.web import Application, RequestHandler

from cardamomdyke.model.orders import Shape
from cardamomdyke.model.servers import EndKind
from cardamomdyke.platform.servers import format_task, parse_task
from cardamomdyke_standins.faults import FaultControl
from cardamomdyke_standins.platform import make_entry
from cardamomdyke_standins.platform_server import (
    Cluster,
    PlatformServer,
    RefusedError,
    Run,
)
from cardamomdyke_standins.platform_store import (
    AppendHandler,
    Store,
    make_store_application,
    split_body,
)

HEARTBEAT_SECONDS = 1.5
SILENT_HEARTBEATS = 3
TICK_SECONDS = 0.01


@dataclass
class PaddedServer(PlatformServer):
    """A backend server whose checkpoints have a given length.

    Attributes
    ----------
    checkpoint_length : int
        Number of characters of a checkpoint; 0 for the project's own form.
    """

    checkpoint_length: int = 0

    def find_checkpoint(self, item: Run, now: float) -> str:
        """Return the newest checkpoint of a run; empty without one."""
        text = super().find_checkpoint(item, now)
        return text.rjust(self.checkpoint_length, "0") if text else ""


@dataclass
class World:
    """Everything that the stand-in holds.

    Attributes
    ----------
    plan : dict
        Addresses, capacity and tables.
    store : Store
        The platform's store.
    cluster : Cluster
        Backend servers.
    events : list of dict
        What happened at the servers, in order.
    late_orders : dict of str to float
        Delay by server name of the next start order, which gets no answer.
    late_polls : dict of str to float
        The same of the next poll that takes note of an end.
    cut : set of str
        Servers that no call reaches, and whose answers are lost.
    """

    plan: dict[str, Any]
    store: Store
    cluster: Cluster = field(default_factory=Cluster)
    events: list[dict[str, Any]] = field(default_factory=list)
    late_orders: dict[str, float] = field(default_factory=dict)
    late_polls: dict[str, float] = field(default_factory=dict)
    cut: set[str] = field(default_factory=set)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def note(self, kind: str, server: str, **facts: object) -> None:
        """Record an event."""
        event = {"at": time.monotonic(), "kind": kind, "server": server, **facts}
        self.events.append(event)

    def record_start(self, server: PlatformServer, run: Run) -> None:
        """Record a start."""
        self.note("start", server.name, task=format_task(run.task), run=run.run)

    def record_end(
        self, server: PlatformServer, run: Run, kind: EndKind | None
    ) -> None:
        """Record an end; the kind is None when the server crashed."""
        how = "lost" if kind is None else kind.value
        self.note("end", server.name, task=format_task(run.task), run=run.run, how=how)


class ServerHandler(RequestHandler):
    """``POST /run-start``, ``/run-stop`` and ``/hold`` of one server."""

    def initialize(self, world: World, server: PlatformServer) -> None:
        """Store the shared objects."""
        self.world = world
        self.server = server

    async def post(self, call: str) -> None:
        """Answer one call; a server that is down closes the connection."""
        if not self.server.up:
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        if self.request.headers.get("Expected-Instance") != self.server.name:
            self.set_status(421)
            self.finish(b"{}")
            return
        if self.server.name in self.world.cut:
            await asyncio.Event().wait()
        body = decode(self.request.body)
        if call == "hold" and body["last_seen"] and self.takes_late_poll():
            delay = self.world.late_polls.pop(self.server.name)
            task = asyncio.ensure_future(self.poll_late(body, delay))
            self.world.tasks.add(task)
            await asyncio.Event().wait()
        if call == "run-start" and self.server.name in self.world.late_orders:
            delay = self.world.late_orders.pop(self.server.name)
            task = asyncio.ensure_future(self.start_late(body, delay))
            self.world.tasks.add(task)
            await asyncio.Event().wait()
        try:
            answer = await self.execute(call, body)
        except RefusedError as refusal:
            self.set_status(409)
            answer = {"reason": refusal.kind.value}
        except Exception as error:
            # A server that is down stops in the middle of a long poll.
            self.world.note("error", self.server.name, detail=repr(error))
            self.set_status(500)
            answer = {}
        if not self.server.up:
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        if self.server.name in self.world.cut:
            await asyncio.Event().wait()
        clock = self.server.read_clock(time.monotonic())
        answer["clock_ms"] = round(clock * 1000)
        answer["born"] = self.server.instance
        self.finish(encode(answer))

    async def start_late(self, body: dict[str, Any], delay: float) -> None:
        """Carry out a start order late, on what then answers to the same id."""
        name = self.server.name
        facts = {"task": body["task"], "run": body["run"]}
        self.world.note("order_left_unanswered", name, delay=delay, **facts)
        await asyncio.sleep(delay)
        if not self.server.up:
            self.world.note("late_order_lost", name, **facts)
            return
        try:
            self.start(body)
            result = "started"
        except RefusedError as refusal:
            result = refusal.kind.value
        self.world.note("late_order_carried_out", name, result=result, **facts)

    def takes_late_poll(self) -> bool:
        """Return whether the next poll that takes note of an end is to be late."""
        return self.server.name in self.world.late_polls

    async def poll_late(self, body: dict[str, Any], delay: float) -> None:
        """Carry out a poll late, on what then answers to the same id."""
        name = self.server.name
        facts = {"last_seen": body["last_seen"]}
        self.world.note("poll_left_unanswered", name, delay=delay, **facts)
        await asyncio.sleep(delay)
        if not self.server.up:
            self.world.note("late_poll_lost", name, **facts)
            return
        try:
            await self.poll({**body, "wait_ms": 0})
            result = "carried out"
        except RefusedError as refusal:
            result = refusal.kind.value
        self.world.note("late_poll_carried_out", name, result=result, **facts)

    def start(self, body: dict[str, Any]) -> None:
        """Start a run."""
        self.server.start(
            parse_task(body["task"]),
            body["run"],
            body["specification"],
            body.get("checkpoint", ""),
            body["deadline_ms"] / 1000.0,
            body["fencing_token"],
            time.monotonic(),
        )

    async def execute(self, call: str, body: dict[str, Any]) -> dict[str, Any]:
        """Carry out one call and return the answer."""
        if call == "run-start":
            self.start(body)
            return {}
        if call == "run-stop":
            task = parse_task(body["task"])
            now = time.monotonic()
            self.server.stop(task, body["run"], body["fencing_token"], now)
            return {}
        return await self.poll(body)

    async def poll(self, body: dict[str, Any]) -> dict[str, Any]:
        """Return runs and ends; wait for an end if asked to."""
        until = time.monotonic() + body.get("wait_ms", 0) / 1000.0
        lease = body.get("deadline_ms")
        instance = self.server.instance
        if body["fencing_token"] >= self.server.fence:
            self.note_ends(body["last_seen"])
        while True:
            now = time.monotonic()
            running, ended = self.server.poll(
                body["last_seen"],
                None if lease is None else lease / 1000.0,
                body["fencing_token"],
                now,
            )
            if ended or now >= until:
                break
            await asyncio.sleep(TICK_SECONDS)
            if not self.server.up or self.server.instance != instance:
                self.request.connection.stream.close()  # type: ignore[union-attr]
                raise ConnectionError("the server went down during the poll")
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

    def note_ends(self, last_seen: int) -> None:
        """Record the ends that a poll takes note of."""
        now = time.monotonic()
        self.server.advance(now)
        lapsed = self.server.read_clock(now) >= self.server.lease_until
        for end in self.server.ended:
            if end.number <= last_seen:
                facts = {"task": format_task(end.task), "run": end.run}
                how = end.kind.value
                self.world.note(
                    "noted", self.server.name, how=how, lapsed=lapsed, **facts
                )


class LimitedAppendHandler(AppendHandler):
    """``POST /log-append`` that refuses records over the store's limits."""

    plan: dict[str, Any]

    def post(self) -> None:
        """Append the records, or refuse all of them."""
        sizes = [len(content) for content in split_body(self.request.body)]
        largest, total = max(sizes, default=0), sum(sizes)
        limits = self.plan["limits"]
        if largest > limits["record_bytes"] or total > limits["request_bytes"]:
            self.set_status(400)
            self.finish(b"{}")
            return
        super().post()


class ControlHandler(RequestHandler):
    """``PUT`` crashes, restarts or delays; ``GET`` lists the events."""

    def initialize(self, world: World) -> None:
        """Store the shared objects."""
        self.world = world

    def get(self, call: str, name: str) -> None:
        """Send the events so far."""
        self.finish(encode(self.world.events))

    def put(self, call: str, name: str) -> None:
        """Apply one disruption to a server."""
        server = self.world.cluster.servers[name]
        now = time.monotonic()
        if call == "crash" and server.up:
            server.crash(now)
            self.world.note("crash", name)
        elif call == "restart" and not server.up:
            server.restart(now)
            server.instance = round(time.time() * 1000)
            write_entry(self.world, server)
            self.world.note("restart", name, born=server.instance)
        elif call == "late":
            self.world.late_orders[name] = decode(self.request.body)
        elif call == "late_poll":
            self.world.late_polls[name] = decode(self.request.body)
        elif call == "cut":
            self.world.cut.add(name)
            self.world.note("cut", name)
        elif call == "heal":
            self.world.cut.discard(name)
            self.world.note("heal", name)
        self.finish(b"{}")


def write_entry(world: World, server: PlatformServer) -> None:
    """Write a server's entry to the store."""
    entry = make_entry(server, world.plan["servers"][server.name])
    world.store.put("keyed.servers", server.name, entry)


def make_store(world: World) -> Application:
    """Create the web application of the store."""
    control = FaultControl()
    application = make_store_application(world.store, control)
    arguments = {"control": control, "store": world.store, "plan": world.plan}
    application.add_handlers(r".*", [(r"/log-append", LimitedAppendHandler, arguments)])
    return application


def listen(application: Application, address: str) -> None:
    """Listen on ``host:port``."""
    host, _, port = address.rpartition(":")
    application.listen(int(port), host)


def find_zone(world: World, number: int) -> str:
    """Return the zone of a server; each zone has servers with successive numbers."""
    zones = world.plan["zones"]
    zone: str = zones[number * len(zones) // len(world.plan["servers"])]
    return zone


def make_server(world: World, number: int, name: str) -> PlatformServer:
    """Create a backend server that has been up for some time."""
    capacity = world.plan["capacity"]
    server = PaddedServer(
        name,
        world.cluster,
        Shape(
            capacity["cpu_millicores"],
            capacity["task_memory_mb"],
            capacity["accelerators"],
        ),
        rack=f"r{number // world.plan['rack_servers']}",
        failure_domain=find_zone(world, number),
        born_at=time.monotonic() - 60.0,
        instance=round(time.time() * 1000) - 60_000,
        checkpoint_length=world.plan["checkpoint_length"],
    )
    world.cluster.servers[name] = server
    return server


async def serve(plan: dict[str, Any]) -> None:
    """Serve until the process is killed."""
    world = World(plan, Store(time.monotonic))
    world.store.put("keyed.op", "config", encode(plan["tables"]))
    world.cluster.on_start = world.record_start
    world.cluster.on_end = world.record_end
    listen(make_store(world), plan["store"])
    control = Application(
        [(r"/(\w+)/(.*)", ControlHandler, {"world": world})],
        log_function=lambda handler: None,
    )
    listen(control, plan["control"])
    for number, (name, address) in enumerate(plan["servers"].items()):
        server = make_server(world, number, name)
        arguments = {"world": world, "server": server}
        application = Application(
            [(r"/(run-start|run-stop|hold)", ServerHandler, arguments)],
            log_function=lambda handler: None,
        )
        listen(application, address)
    written_at: dict[str, float] = {}
    while True:
        now = time.monotonic()
        for name, server in world.cluster.servers.items():
            server.advance(now)
            silent_seconds = now - written_at.get(name, 0.0)
            if server.up and silent_seconds >= HEARTBEAT_SECONDS:
                write_entry(world, server)
                written_at[name] = now
            elif silent_seconds >= SILENT_HEARTBEATS * HEARTBEAT_SECONDS:
                world.store.put("keyed.servers", name, b"")
                written_at[name] = now
        await asyncio.sleep(TICK_SECONDS)


if __name__ == "__main__":
    asyncio.run(serve(decode(Path(sys.argv[1]).read_bytes())))
