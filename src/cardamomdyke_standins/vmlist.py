"""Stand-in for the platform's lagging list of VMs and servers."""

import asyncio
from collections import deque
from typing import Any

from fire import Fire
from msgspec.json import decode, encode
from tornado.ioloop import IOLoop
from tornado.web import Application

from cardamomdyke_standins.faults import FaultControl, FaultsHandler, FaultyHandler


class MachineList:
    """Current list, and the older one that readers get."""

    def __init__(self, lag_seconds: float) -> None:
        self.lag_seconds = lag_seconds
        self.changes: deque[tuple[float, list[dict[str, Any]]]] = deque()
        self.shown: list[dict[str, Any]] = []

    def replace_machines(self, machines: list[dict[str, Any]]) -> None:
        """Set the current list; readers get it after the lag."""
        due = IOLoop.current().time() + self.lag_seconds
        self.changes.append((due, machines))

    def read_machines(self) -> list[dict[str, Any]]:
        """Return the newest list whose lag has passed."""
        now = IOLoop.current().time()
        while self.changes and self.changes[0][0] <= now:
            self.shown = self.changes.popleft()[1]
        return self.shown


class MachinesHandler(FaultyHandler):
    """Serves and replaces the list."""

    machines: MachineList

    def get(self) -> None:
        """Send the list that readers get."""
        self.finish(encode({"machines": self.machines.read_machines()}))

    def put(self) -> None:
        """Replace the current list."""
        self.machines.replace_machines(decode(self.request.body)["machines"])
        self.finish(b"{}")


def make_vmlist_application(lag_seconds: float) -> Application:
    """Create the web application."""
    control = FaultControl()
    machines = MachineList(lag_seconds)
    return Application(
        [
            (
                r"/v1/machines",
                MachinesHandler,
                {"control": control, "machines": machines},
            ),
            (r"/faults", FaultsHandler, {"control": control}),
        ],
        log_function=lambda handler: None,
    )


async def serve_vmlist(host: str, port: int, lag_seconds: float) -> None:
    """Serve until the process ends."""
    make_vmlist_application(lag_seconds).listen(port, host)
    await asyncio.Event().wait()


def main(host: str = "127.0.0.1", port: int = 7001, lag_seconds: float = 0.0) -> None:
    """Run the VM list stand-in."""
    asyncio.run(serve_vmlist(host, port, lag_seconds))


if __name__ == "__main__":
    Fire(main)
