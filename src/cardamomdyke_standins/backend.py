"""HTTP stand-in for a backend server."""

import asyncio
import time
from typing import Any
from uuid import uuid4

from fire import Fire
from msgspec.json import decode, encode
from tornado.ioloop import PeriodicCallback
from tornado.web import Application

from cardamomdyke_standins.backend_state import BackendState, RefusalError, Task
from cardamomdyke_standins.faults import FaultControl, FaultsHandler, FaultyHandler

USAGE_LAG_SECONDS = 1.0
EXPIRY_PERIOD_MS = 50
HELD_START_PERIOD_SECONDS = 0.05
USAGE_PERIOD_MS = 1000


class BackendHandler(FaultyHandler):
    """Base class of the handlers."""

    state: BackendState

    def read_body(self) -> Any:
        """Decode the JSON body."""
        return decode(self.request.body)

    def refuse(self, refusal: RefusalError) -> None:
        """Send 409: the call had no effect."""
        self.set_status(409)
        self.finish(
            encode(
                {
                    "refused": refusal.reason,
                    "detail": refusal.detail,
                    "ticket": self.state.make_ticket(time.monotonic()),
                }
            )
        )

    def finish_answer(self, request_id: str, answer: bytes) -> None:
        """Send the complete answer of a short request."""
        self.set_header("Request-Id", request_id)
        self.set_header("Start-Ticket", self.state.make_ticket(time.monotonic()))
        self.set_header("Content-Type", "text/plain")
        self.finish_change(answer)

    def finish_tasks(self, tasks: list[Task]) -> None:
        """Send the reports of gang members."""
        now = time.monotonic()
        self.finish_change(
            encode(
                {
                    "tasks": [self.state.make_task_report(task, now) for task in tasks],
                    "ticket": self.state.make_ticket(now),
                }
            )
        )


class RunHandler(BackendHandler):
    """Runs one short request in a slot."""

    async def post(self) -> None:
        """Run the request, or send its stored answer."""
        request_id = self.request.headers["Request-Id"]
        ticket = self.request.headers.get("Start-Ticket", "")
        try:
            answer = self.state.start_request(
                request_id, ticket, time.monotonic(), parse_marker(self.request.body)
            )
        except RefusalError as refusal:
            self.set_header("Request-Id", request_id)
            self.refuse(refusal)
            return
        if answer is None:
            await asyncio.sleep(parse_run_seconds(self.request.body, 0.0))
            if self.control.faults.fail_tasks:
                self.set_header("Request-Id", request_id)
                self.refuse(self.state.fail_request(request_id))
                return
            answer = b"%s answered %s: %s" % (
                self.state.name.encode(),
                request_id.encode(),
                self.request.body,
            )
            self.state.end_request(request_id, answer)
            account = self.request.headers.get("Client-Account", "")
            self.state.add_usage(account, 0.0, 1, time.time())
        self.finish_answer(request_id, answer)


class AnswerHandler(BackendHandler):
    """Looks up the stored answer of a request."""

    def get(self, request_id: str) -> None:
        """Send the answer, or the state of the request as a refusal."""
        self.set_header("Request-Id", request_id)
        ticket = self.request.headers.get("Start-Ticket", "")
        try:
            answer = self.state.find_answer(request_id, ticket, time.monotonic())
        except RefusalError as refusal:
            self.refuse(refusal)
            return
        self.finish_answer(request_id, answer)


class TicketHandler(BackendHandler):
    """Issues start tickets."""

    def get(self) -> None:
        """Send a new start ticket."""
        self.finish(encode({"ticket": self.state.make_ticket(time.monotonic())}))


class KeyHandler(BackendHandler):
    """Stores the first claim of each idempotency key."""

    def post(self) -> None:
        """Store a claim, or send the one in force."""
        call = self.read_body()
        try:
            claim, created, remaining = self.state.claim_request(
                call["claim"], call["first"], call["ticket"], time.monotonic()
            )
        except RefusalError as refusal:
            self.refuse(refusal)
            return
        reply = {
            "claim": claim,
            "created": created,
            "remaining_seconds": remaining,
            "ticket": self.state.make_ticket(time.monotonic()),
        }
        self.finish_change(encode(reply))


class ClaimHandler(BackendHandler):
    """Stores the first claim of each key."""

    def post(self, take: str | None) -> None:
        """Store a claim, or replace it when the path ends in ``/take``."""
        claim = self.read_body()
        try:
            if take:
                claim, created = self.state.take_claim(claim), True
            else:
                claim, created = self.state.claim_key(claim)
        except RefusalError as refusal:
            self.refuse(refusal)
            return
        ticket = self.state.make_ticket(time.monotonic())
        self.finish_change(
            encode({"claim": claim, "created": created, "ticket": ticket})
        )


class ReservationHandler(BackendHandler):
    """Reserves accelerators for one member."""

    def post(self) -> None:
        """Make a reservation, or extend the same one."""
        call = self.read_body()
        payload = decode(call.get("specification") or b"{}").get("payload", "")
        run_seconds = parse_run_seconds(payload.encode(), 1.0)
        try:
            task = self.state.reserve_member(call, run_seconds, time.monotonic())
        except RefusalError as refusal:
            self.refuse(refusal)
            return
        self.finish_tasks([task])


class StartHandler(BackendHandler):
    """Starts one reserved gang member."""

    async def post(self) -> None:
        """Start the member, once `hold_starts` is off."""
        while self.control.faults.hold_starts:
            await asyncio.sleep(HELD_START_PERIOD_SECONDS)
        self.state.fail_tasks = self.control.faults.fail_tasks
        try:
            task = self.state.start_member(self.read_body(), time.monotonic())
        except RefusalError as refusal:
            self.refuse(refusal)
            return
        self.finish_tasks([task])


class LeasesHandler(BackendHandler):
    """Renews, checkpoints or releases several gang members."""

    def post(self, action: str) -> None:
        """Apply the action to each known member."""
        now = time.monotonic()
        actions = {
            "renew": self.state.renew_lease,
            "checkpoint": self.state.checkpoint_task,
            "release": self.state.release_task,
        }
        tasks = []
        for call in self.read_body():
            try:
                tasks.append(actions[action](call, now))
            except RefusalError as refusal:
                # The calls share one ticket, so a stale one had no effect on any.
                if refusal.reason in ("fenced", "stale_ticket"):
                    self.refuse(refusal)
                    return
        self.finish_tasks(tasks)


class InventoryHandler(BackendHandler):
    """Reports what the server holds."""

    def get(self) -> None:
        """Send the inventory."""
        now = time.monotonic()
        self.state.expire_leases(now)
        self.finish(
            encode(
                {
                    "server": self.state.name,
                    "boot_id": self.state.boot_id,
                    "accelerators": self.state.accelerators,
                    "healthy": list(range(self.state.accelerators)),
                    "busy_slots": self.state.busy_slots,
                    "draining": self.state.draining,
                    "tasks": [
                        self.state.make_task_report(task, now)
                        for task in self.state.tasks.values()
                    ],
                    "ticket": self.state.make_ticket(now),
                }
            )
        )


class UsageHandler(BackendHandler):
    """Sends usage reports, with a lag."""

    def get(self) -> None:
        """Send the reports after a sequence number, with the lag."""
        after = int(self.get_query_argument("after", "0"))
        limit = time.time() - USAGE_LAG_SECONDS
        reports = [r for r in self.state.usage[after:] if r["ended_at"] <= limit]
        self.finish(encode({"boot_id": self.state.boot_id, "reports": reports}))


class EventsHandler(BackendHandler):
    """Sends starts and ends, for history checks."""

    def get(self) -> None:
        """Send all events so far."""
        self.state.expire_leases(time.monotonic())
        self.finish(encode(self.state.events))


def parse_marker(body: bytes) -> str:
    """Return the word after ``marker=`` in a body; empty without one."""
    _, _, rest = body.partition(b"marker=")
    return rest.split()[0].decode() if rest else ""


def parse_run_seconds(body: bytes, default: float) -> float:
    """Return the number after ``sleep=`` in a body, in seconds."""
    _, found, rest = body.partition(b"sleep=")
    if not found:
        return default
    return float(rest.split()[0])


def make_backend_application(state: BackendState) -> Application:
    """Create the web application."""
    control = FaultControl()
    arguments = {"control": control, "state": state}
    return Application(
        [
            (r"/v1/run", RunHandler, arguments),
            (r"/v1/answers/([^/]+)", AnswerHandler, arguments),
            (r"/v1/ticket", TicketHandler, arguments),
            (r"/v1/keys", KeyHandler, arguments),
            (r"/v1/claims(/take)?", ClaimHandler, arguments),
            (r"/v1/reservations", ReservationHandler, arguments),
            (r"/v1/tasks/start", StartHandler, arguments),
            (r"/v1/tasks/(renew|checkpoint|release)", LeasesHandler, arguments),
            (r"/v1/inventory", InventoryHandler, arguments),
            (r"/v1/usage", UsageHandler, arguments),
            (r"/v1/events", EventsHandler, arguments),
            (r"/faults", FaultsHandler, {"control": control}),
        ],
        log_function=lambda handler: None,
    )


def record_running_usage(state: BackendState) -> None:
    """Append a usage report for each running member."""
    now = time.monotonic()
    for task in state.tasks.values():
        if task.state == "running":
            state.record_task_usage(task, now)


async def serve_backend(
    name: str, host: str, port: int, accelerators: int, slots: int, age_seconds: float
) -> None:
    """Serve until the process ends."""
    booted_at = time.monotonic() - age_seconds
    unix_offset = time.time() - time.monotonic()
    boot_id = uuid4().hex[:12]
    state = BackendState(name, boot_id, accelerators, slots, booted_at, unix_offset)
    make_backend_application(state).listen(port, host)
    PeriodicCallback(
        lambda: state.expire_leases(time.monotonic()), EXPIRY_PERIOD_MS
    ).start()
    PeriodicCallback(lambda: record_running_usage(state), USAGE_PERIOD_MS).start()
    await asyncio.Event().wait()


def main(
    name: str,
    host: str = "127.0.0.1",
    port: int = 7100,
    accelerators: int = 8,
    slots: int = 8,
    age_seconds: float = 0.0,
) -> None:
    """Run one server, as if booted ``age_seconds`` ago."""
    asyncio.run(serve_backend(name, host, port, accelerators, slots, age_seconds))


if __name__ == "__main__":
    Fire(main)
