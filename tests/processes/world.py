"""State shared by the steps of one scenario."""

import asyncio
import threading
import time
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import AbstractContextManager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

from msgspec.json import decode

from cardamomdyke.adapters.http import HttpCall, send_call
from cardamomdyke_standins.deployment import (
    Deployment,
    add_relay,
    move_to_free_ports,
    read_example,
    run_deployment,
    shrink_example,
)
from cardamomdyke_standins.load import Recorder

ROOT = Path(__file__).parents[2]
WAIT_SECONDS = 60.0
CALLERS = 4

Value = TypeVar("Value")


@dataclass
class World:
    """Deployment, load and observations of one scenario.

    Attributes
    ----------
    loop : asyncio.AbstractEventLoop
        Runs load and calls in its own thread.
    deployment_context : context manager or None
        Stops the deployment; None before its start.
    replies : list
        Replies to edits and orders, in call order.
    job_ids : list of str
        Ids of submitted gangs, the latest last.
    frozen_vm : str
        VM that a step froze; empty for none.
    restored_at : float
        Monotonic seconds of a failure domain's restoration.
    """

    directory: Path
    loop: asyncio.AbstractEventLoop = field(default_factory=asyncio.new_event_loop)
    deployment_context: AbstractContextManager[Deployment] | None = None
    deployment: Deployment = field(init=False)
    recorder: Recorder = field(init=False)
    load_tasks: list[asyncio.Task[None]] = field(default_factory=list)
    replies: list[Any] = field(default_factory=list)
    job_ids: list[str] = field(default_factory=list)
    frozen_vm: str = ""
    accepted_version: int = 1
    restored_at: float = 0.0

    def __post_init__(self) -> None:
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    def run(self, coroutine: Coroutine[Any, Any, Value]) -> Value:
        """Run a coroutine on the loop and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result()

    def start(self, servers: int, vms: int, guarantees: bool = False) -> None:
        """Start a deployment, on request with one guarantee per pool."""
        example = read_example(ROOT / "examples" / "federation.json")
        example_pools = example["tables"]["pools"]
        example = shrink_example(example, servers, vms)
        if guarantees:
            for pool, full in zip(
                example["tables"]["pools"], example_pools, strict=True
            ):
                pool["guarantees"] = [{**full["guarantees"][0], "count": 1}]
        # One route per pool lets a step choose the pool.
        example["tables"]["routes"] += [
            {**example["tables"]["routes"][0], "client_account": name, "pools": [name]}
            for name in (pool["name"] for pool in example["tables"]["pools"])
        ]
        example = move_to_free_ports(add_relay(example))
        self.deployment_context = run_deployment(example, self.directory)
        self.deployment = self.deployment_context.__enter__()
        self.recorder = self.run(self.make_recorder())

    async def make_recorder(self) -> Recorder:
        """Create the recorder on the loop that its client needs."""
        return Recorder(self.deployment, seed=1)

    def stop(self) -> None:
        """Stop load, deployment and event loop."""
        if self.deployment_context is not None:
            self.stop_load()
            self.deployment_context.__exit__(None, None, None)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()

    async def start_load(self) -> None:
        """Start callers and samplers of versions and health."""
        recorder = self.recorder
        self.load_tasks = [
            asyncio.create_task(recorder.send_until_stopped(0.1))
            for _ in range(CALLERS)
        ]
        self.load_tasks.append(
            asyncio.create_task(recorder.submit_gangs_until_stopped(1.0))
        )
        self.load_tasks.append(
            asyncio.create_task(recorder.sample_versions_until_stopped())
        )
        self.load_tasks.append(
            asyncio.create_task(recorder.watch_health_until_stopped())
        )

    def stop_load(self) -> None:
        """Stop the callers and wait for their last calls."""
        self.recorder.stopping = True
        self.run(self.wait_for_load())

    async def wait_for_load(self) -> None:
        await asyncio.gather(*self.load_tasks)
        self.load_tasks = []

    def find_vm(self, name: str) -> dict[str, str]:
        """Return a VM's entry in the example."""
        return next(vm for vm in self.deployment.example["vms"] if vm["vm"] == name)

    def call(self, vm: str, method: str, path: str, body: Any = None) -> Any:
        """Call a VM and return the JSON reply."""
        return self.run(self.recorder.call_vm(self.find_vm(vm), method, path, body))

    def edit_tables(self, vm: str, change: Callable[[dict[str, Any]], None]) -> Any:
        """Read a VM's tables, change them, and submit the edit there."""
        current = self.call(vm, "GET", "/v1/tables")
        change(current["tables"])
        edit = {"base_version": current["version"], "tables": current["tables"]}
        reply = self.call(vm, "PUT", "/v1/tables", edit)
        self.replies.append(reply)
        if reply and "version" in reply:
            self.accepted_version = reply["version"]
        return reply

    async def send_request(
        self, vm: str, headers: dict[str, str], body: str
    ) -> tuple[str, Any]:
        """Send a short request; return its outcome (``lost`` without one) and body."""
        path = "/v1/services/order-desk/requests"
        call = HttpCall(
            "POST",
            f"http://{self.find_vm(vm)['caller_address']}{path}",
            headers={"Client-Account": "koffie-invoer", **headers},
            body=body.encode(),
            timeout_seconds=20.0,
        )
        result = await send_call(self.recorder.http, call)
        if result.is_error():
            return "lost", b""
        return result.ok.headers.get("Outcome", "lost"), result.ok.body

    def wait_for(self, condition: Callable[[], bool]) -> None:
        """Wait up to 60 seconds until a condition holds."""
        deadline = time.monotonic() + WAIT_SECONDS
        while not condition():
            assert time.monotonic() < deadline, "the condition did not come to hold"
            time.sleep(0.2)

    def read_server_events(self, server: str) -> list[Any]:
        return self.run(self.fetch_events(server))

    async def fetch_events(self, server: str) -> list[Any]:
        """Return the events of one backend server."""
        address = self.deployment.find_standin_address(server)
        result = await send_call(
            self.recorder.http, HttpCall("GET", f"http://{address}/v1/events")
        )
        events: list[Any] = decode(result.ok.body)
        return events


def gather_replies(
    calls: list[Awaitable[Value]],
) -> Coroutine[Any, Any, list[Value]]:
    """Return a coroutine that runs calls concurrently."""

    async def run_calls() -> list[Value]:
        return list(await asyncio.gather(*calls))

    return run_calls()
