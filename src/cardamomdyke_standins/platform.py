"""Stand-in process for store and backend servers."""

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
    Cluster,
    PlatformServer,
    RefusedError,
    Run,
)
from cardamomdyke_standins.platform_store import (
    APPEND_BYTES,
    RECORD_BYTES,
    Store,
    make_store_application,
)
from cardamomdyke_standins.run_history import RunEvent, RunEventKind

HEARTBEAT_PERIOD_SECONDS = 0.5
TICK_PERIOD_SECONDS = 0.02
POOL = "order-desk"


class Plan(Struct):
    """Configuration of the stand-in platform.

    Attributes
    ----------
    store : str
        ``host:port`` of the store.
    servers : dict of str to str
        ``host:port`` of each backend server, by name.
    tables : dict
        Configuration in the format of the store.
    advertised : dict of str to str
        Published address by server name, where it differs.
    accelerators : int
        Number of accelerators of each server.
    failure_domains : list of str
        Failure domains, assigned to the servers in turn.
    record_bytes : int
        Largest record of the store.
    append_bytes : int
        Largest append of the store.
    """

    store: str
    servers: dict[str, str]
    tables: dict[str, object]
    advertised: dict[str, str] = field(default_factory=dict)
    accelerators: int = 8
    failure_domains: list[str] = field(default_factory=lambda: ["gent"])
    record_bytes: int = RECORD_BYTES
    append_bytes: int = APPEND_BYTES


class RunRecorder:
    """Records the starts and ends of runs on all servers.

    Attributes
    ----------
    events : list of RunEvent
        All events so far.
    ends : dict
        Unacknowledged ends by server, instance, expired leases and number.
    """

    def __init__(self, cluster: Cluster) -> None:
        self.events: list[RunEvent] = []
        self.ends: dict[tuple[str, int, int, int], RunEvent] = {}
        cluster.on_start = self.record_start
        cluster.on_end = self.record_end

    def record_start(self, server: PlatformServer, run: Run) -> None:
        """Record the start of a run."""
        task = format_task(run.task)
        now = time.monotonic()
        self.events.append(
            RunEvent(now, RunEventKind.START, server.name, task, run.run)
        )

    def record_end(
        self, server: PlatformServer, run: Run, kind: EndKind | None
    ) -> None:
        """Record the end of a run; ``kind`` is None after a crash."""
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
            end_key = (
                server.name,
                server.instance,
                server.expired_leases,
                server.last_end,
            )
            self.ends[end_key] = event

    def record_acknowledgement(self, server: PlatformServer, number: int) -> None:
        """Record the ends acknowledged by a daemon, unless the lease has expired."""
        now = time.monotonic()
        if server.read_clock(now) >= server.lease_until:
            return
        instance = (server.name, server.instance, server.expired_leases)
        for end_key in [key for key in self.ends if key[:3] == instance]:
            if end_key[3] <= number:
                event = replace(self.ends.pop(end_key), at=now, kind=RunEventKind.NOTED)
                self.events.append(event)


class EventsHandler(RequestHandler):
    """``GET /events`` lists the events of all servers."""

    def initialize(self, recorder: RunRecorder) -> None:
        """Set the recorder."""
        self.recorder = recorder

    def get(self) -> None:
        """Send the events."""
        self.finish(encode(self.recorder.events))


class InstanceHandler(RequestHandler):
    """``PUT /life`` crashes a server (``false``) or restarts it (``true``)."""

    def initialize(self, server: PlatformServer) -> None:
        """Set the server."""
        self.server = server

    def put(self) -> None:
        """Crash the server or start a new instance."""
        up = decode(self.request.body, type=bool)
        if up and not self.server.up:
            self.server.restart(time.monotonic())
        elif not up and self.server.up:
            self.server.crash(time.monotonic())
        self.finish(b"{}")


class OperatorHandler(RequestHandler):
    """``PUT /operator/KEY`` writes an operator's order; an empty body ends it."""

    def initialize(self, store: Store) -> None:
        """Set the store."""
        self.store = store

    def put(self, key: str) -> None:
        """Write one key."""
        self.store.put("keyed.op", key, self.request.body)
        self.finish(b"{}")


class OrderHandler(FaultyHandler):
    """``POST /run-start``, ``/run-stop`` and ``/hold`` of one server."""

    server: PlatformServer
    recorder: RunRecorder

    async def post(self, call: str) -> None:
        """Answer one call, or close the connection when down."""
        if not self.server.up:
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        body = decode(self.request.body)
        try:
            answer = await self.execute_call(call, body)
        except RefusedError as refusal:
            self.set_status(409)
            answer = {"reason": refusal.kind.value}
        clock = self.server.read_clock(time.monotonic())
        answer["clock_ms"] = round(clock * 1000)
        answer["born"] = self.server.instance
        self.finish_change(encode(answer))

    async def execute_call(
        self, call: str, body: dict[str, object]
    ) -> dict[str, object]:
        """Apply one call to the server and return the answer."""
        now = time.monotonic()
        fence = int(str(body["fencing_token"]))
        if call == "hold":
            return await self.poll(body, fence)
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

    async def poll(self, body: dict[str, object], fence: int) -> dict[str, object]:
        """Return runs and ends; wait up to ``wait_ms`` for an end."""
        until = time.monotonic() + float(str(body.get("wait_ms", 0))) / 1000.0
        lease = body.get("deadline_ms")
        self.server.advance(time.monotonic())
        self.recorder.record_acknowledgement(self.server, int(str(body["last_seen"])))
        while True:
            now = time.monotonic()
            running, ended = self.server.poll(
                int(str(body["last_seen"])),
                None if lease is None else float(str(lease)) / 1000.0,
                fence,
                now,
            )
            if ended or now >= until:
                break
            await asyncio.sleep(TICK_PERIOD_SECONDS)
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


def make_entry(server: PlatformServer, address: str) -> bytes:
    """Return the store entry of a server."""
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


async def serve_platform(plan: Plan) -> None:
    """Serve until the process ends."""
    store = Store(time.monotonic, plan.record_bytes, plan.append_bytes)
    store.put("keyed.op", "config", encode(plan.tables))
    cluster = Cluster()
    recorder = RunRecorder(cluster)
    application = make_store_application(store, FaultControl())
    application.add_handlers(
        r".*",
        [
            (r"/events", EventsHandler, {"recorder": recorder}),
            (r"/operator/(.*)", OperatorHandler, {"store": store}),
        ],
    )
    listen(application, plan.store)
    for number, (name, address) in enumerate(plan.servers.items()):
        server = PlatformServer(
            name,
            cluster,
            Shape(32_000, 65_536, plan.accelerators),
            rack=f"r{number // 8}",
            failure_domain=plan.failure_domains[number % len(plan.failure_domains)],
            born_at=time.monotonic(),
        )
        cluster.servers[name] = server
        control = FaultControl()
        arguments = {"control": control, "server": server, "recorder": recorder}
        application = Application(
            [
                (r"/(run-start|run-stop|hold)", OrderHandler, arguments),
                (r"/faults", FaultsHandler, {"control": control}),
                (r"/life", InstanceHandler, {"server": server}),
            ],
            log_function=lambda handler: None,
        )
        listen(application, address)
    next_heartbeat_at = 0.0
    while True:
        now = time.monotonic()
        for name, server in cluster.servers.items():
            server.advance(now)
            if now >= next_heartbeat_at:
                address = plan.advertised.get(name, plan.servers[name])
                entry = make_entry(server, address) if server.up else b""
                store.put("keyed.servers", name, entry)
        if now >= next_heartbeat_at:
            next_heartbeat_at = now + HEARTBEAT_PERIOD_SECONDS
        await asyncio.sleep(TICK_PERIOD_SECONDS)


def main(plan: str) -> None:
    """Serve the platform that a `Plan` file configures."""
    with open(plan, "rb") as file:
        asyncio.run(serve_platform(decode(file.read(), type=Plan)))


if __name__ == "__main__":
    Fire(main)
