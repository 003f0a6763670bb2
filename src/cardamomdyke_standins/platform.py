"""Process that plays the platform: its store and its backend servers."""

import asyncio
import time

from fire import Fire
from msgspec import Struct, field
from msgspec.json import decode, encode
from tornado.web import Application

from cardamomdyke.model.orders import Shape
from cardamomdyke.platform.servers import format_task, read_task
from cardamomdyke_standins.faults import FaultControl, FaultsHandler, FaultyHandler
from cardamomdyke_standins.platform_server import Hall, PlatformServer, RefusedError
from cardamomdyke_standins.platform_store import Store, make_store_application

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
    accelerators : int
        Accelerators of each server.
    failure_domains : list of str
        Failure domains, dealt to the servers in turn.
    """

    store: str
    servers: dict[str, str]
    tables: dict[str, object]
    accelerators: int = 8
    failure_domains: list[str] = field(default_factory=lambda: ["gent"])


class OrderHandler(FaultyHandler):
    """``POST /run-start``, ``/run-stop`` and ``/hold`` of one server."""

    server: PlatformServer

    async def post(self, call: str) -> None:
        """Carry out one call."""
        body = decode(self.request.body)
        try:
            answer = await self.carry_out(call, body)
        except RefusedError as refusal:
            self.set_status(409)
            answer = {"reason": refusal.kind.value}
        clock = self.server.read_clock(time.monotonic())
        answer["clock_ms"] = round(clock * 1000)
        answer["born"] = self.server.life
        self.finish_change(encode(answer))

    async def carry_out(self, call: str, body: dict[str, object]) -> dict[str, object]:
        """Return the answer to one call."""
        now = time.monotonic()
        fence = int(str(body["fencing_token"]))
        if call == "hold":
            return await self.look(body, fence)
        task = read_task(str(body["task"]))
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
        "born": server.life,
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
    listen(make_store_application(store, FaultControl()), plan.store)
    hall = Hall()
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
        arguments = {"control": control, "server": server}
        application = Application(
            [
                (r"/(run-start|run-stop|hold)", OrderHandler, arguments),
                (r"/faults", FaultsHandler, {"control": control}),
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
                entry = describe_entry(server, plan.servers[name])
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
