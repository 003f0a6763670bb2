"""Runs the planner of one term: decisions, records and calls."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Coroutine
from dataclasses import dataclass, field
from functools import singledispatchmethod
from typing import TypeVar

from expression import Error, Result

from cardamomdyke.control.candidacy import HEARTBEAT_PERIOD_SECONDS
from cardamomdyke.control.clock import read_clock
from cardamomdyke.control.context import Context, ServerDirectory
from cardamomdyke.control.forecasting import list_summaries
from cardamomdyke.control.leadership import Leadership
from cardamomdyke.control.recorder import Recorder
from cardamomdyke.control.supervision import log_crash
from cardamomdyke.jobs.layout import RECORD_LENGTH_BYTES, RecordLimits, measure_append
from cardamomdyke.jobs.ledger import Change, ChangeKind
from cardamomdyke.jobs.retention import list_keys, list_withdrawal_keys
from cardamomdyke.membership.peers import HEARTBEAT_KEY, PEER_PREFIX
from cardamomdyke.model.orders import TaskId
from cardamomdyke.model.servers import CallFault, RunLists
from cardamomdyke.planner.actions import (
    Action,
    Count,
    Note,
    PollOrder,
    SendStart,
    SendStop,
)
from cardamomdyke.planner.attempts import cancel_job
from cardamomdyke.planner.expiry import apply_timeouts
from cardamomdyke.planner.forecasts import SummaryPublisher
from cardamomdyke.planner.looks import (
    LOOK_PERIOD_SECONDS,
    LOOK_TIMEOUT_SECONDS,
    handle_look_answer,
    has_unanswered_starts,
    needs_look,
)
from cardamomdyke.planner.occurrences import find_next_due
from cardamomdyke.planner.planning import PLACED_KIND, plan_starts
from cardamomdyke.planner.polls import (
    handle_poll_answer,
    handle_poll_fault,
    is_busy,
    make_poll_order,
    update_servers,
)
from cardamomdyke.planner.progress import add_job
from cardamomdyke.planner.recording import (
    ProgressAppend,
    handle_appended,
    take_append,
)
from cardamomdyke.planner.replies import (
    expire_starts,
    grant_start_lease,
    handle_start_answer,
    handle_stop_answer,
)
from cardamomdyke.planner.servers import Server
from cardamomdyke.planner.silences import (
    handle_silences_recorded,
    list_silence_records,
)
from cardamomdyke.planner.state import PlannerState, find_checkpoint
from cardamomdyke.platform.records import KeyedRecord
from cardamomdyke.platform.servers import ServerClient, StartOrder

# Answers within this time lead to one planning pass and one append.
BATCH_WAIT_SECONDS = 0.01
TICK_PERIOD_SECONDS = 0.2
# Pauses between polls of a server without runs, a renewed lease, or an answer.
IDLE_POLL_SECONDS = 2.0
UNLEASED_POLL_SECONDS = 0.05
FAILING_POLL_SECONDS = 0.3
RECORD_WAIT_SECONDS = 0.3
# Name of the records that belong to no job in progress.
OTHER_RECORDS = ""
# Concurrent starts and stops on one backend server; each new connection has a cost.
MAX_CONCURRENT_ORDERS = 3

Answer = TypeVar("Answer")
# Name of the server, task and number of the run.
StartKey = tuple[str, TaskId, int]


@dataclass
class Term:
    """One term of this daemon as planner.

    Attributes
    ----------
    context : Context
        Shared objects of the daemon.
    leadership : Leadership
        Membership in the planner group.
    recorder : Recorder
        Appends progress under this term's epoch.
    client : ServerClient
        Client of the backend servers.
    directory : ServerDirectory
        Backend servers listed in the store.
    state : PlannerState
        State of the planner.
    lost_candidates : list of str
        VMs whose announcements are to be removed.
    removals : deque of KeyedRecord
        Removals of jobs and withdrawals that wait for the next appends.
    removing : bool
        True if the last append could hold removals.
    heartbeat_at : float
        Time of the last heartbeat, in seconds of `read_clock`.
    recorded : asyncio.Event
        Set, and replaced, after each append.
    poll_wakes : dict of str to asyncio.Event
        Ends the pause before a server's next poll, by name.
    watched_servers : set of str
        Servers that are looked at while starts there are unanswered.
    start_calls : dict of StartKey to Task
        Unanswered calls of starts.
    publisher : SummaryPublisher
        Makes the summaries for entry VMs.
    """

    context: Context
    leadership: Leadership
    recorder: Recorder
    client: ServerClient
    directory: ServerDirectory
    state: PlannerState
    lost_candidates: list[str] = field(default_factory=list)
    removals: deque[KeyedRecord] = field(default_factory=deque)
    removing: bool = False
    heartbeat_at: float = 0.0
    inputs_changed: asyncio.Event = field(default_factory=asyncio.Event)
    recorded: asyncio.Event = field(default_factory=asyncio.Event)
    poll_wakes: dict[str, asyncio.Event] = field(default_factory=dict)
    watched_servers: set[str] = field(default_factory=set)
    start_calls: dict[StartKey, asyncio.Task[None]] = field(default_factory=dict)
    order_limits: dict[str, asyncio.Semaphore] = field(default_factory=dict)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    recording: bool = False
    publisher: SummaryPublisher = field(default_factory=SummaryPublisher)

    @property
    def is_current(self) -> bool:
        """Whether the leadership still has this term."""
        return self.leadership.term == self.state.fence

    def forget_call(self, key: StartKey, call: asyncio.Task[None]) -> None:
        """Forget the call of a start, unless a later one has replaced it."""
        if self.start_calls.get(key) is call:
            del self.start_calls[key]

    def spawn(self, coroutine: Coroutine[object, object, None]) -> asyncio.Task[None]:
        """Run a coroutine until the term is closed; an unexpected error ends it."""
        task = asyncio.get_running_loop().create_task(self.guard(coroutine))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def guard(self, coroutine: Coroutine[object, object, None]) -> None:
        """Run a coroutine, and end the term after an unexpected error.

        The planner's state may be half changed, so the next term starts anew from the
        records.
        """
        try:
            await coroutine
        except Exception as error:
            log_crash(self.context.journal, "planner", error)
            if self.is_current:
                self.leadership.abandon_term("an unexpected error")
            self.inputs_changed.set()

    async def run(self) -> None:
        """Plan until the term ends."""
        while self.is_current:
            self.refresh_inputs()
            apply_timeouts(self.state, read_clock())
            expire_starts(self.state, read_clock())
            plan_starts(self.state, read_clock())
            self.context.slow_servers = self.state.learning.count_slow()
            self.perform_actions()
            if self.state.superseded:
                self.leadership.end_term("a backend server knows a later planner")
                break
            self.start_recording()
            self.start_polling()
            try:
                await asyncio.wait_for(
                    self.inputs_changed.wait(), self.find_wait_seconds()
                )
            except TimeoutError:
                continue
            await asyncio.sleep(BATCH_WAIT_SECONDS)
            self.inputs_changed.clear()

    def find_wait_seconds(self) -> float:
        """Return the longest wait for the next planning pass, in seconds."""
        due = find_next_due(self.state)
        if due is None:
            return TICK_PERIOD_SECONDS
        return min(TICK_PERIOD_SECONDS, max(0.0, due - read_clock()))

    def refresh_inputs(self) -> None:
        """Pass servers, tables, evacuations and clock to the planner."""
        self.state.unix_offset = self.context.unix_clock.offset
        self.state.tables = self.context.operator.tables
        self.state.evacuated = frozenset(self.context.operator.evacuated)
        update_servers(self.state, self.directory.list_entries(), read_clock())

    def handle_change(self, change: Change) -> None:
        """Pass an accepted, cancelled or removed job to the planner."""
        if change.kind is ChangeKind.ACCEPTED:
            record = self.context.ledger.jobs[change.job_id]
            add_job(self.state, record, read_clock())
            if change.job_id in self.context.ledger.cancelled:
                cancel_job(self.state, change.job_id, read_clock())
        elif change.kind is ChangeKind.CANCELLED:
            cancel_job(self.state, change.job_id, read_clock())
        elif change.kind is ChangeKind.REMOVED:
            self.state.known_job_ids.discard(change.job_id)
            return
        else:
            return
        self.inputs_changed.set()

    def perform_actions(self) -> None:
        """Perform the planner's actions."""
        actions, self.state.actions = self.state.actions, []
        for action in actions:
            self.perform(action)

    @singledispatchmethod
    def perform(self, action: Action) -> None:
        """Perform one action."""
        raise TypeError(f"register a handler for {type(action).__name__}")

    @perform.register
    def _(self, action: Note) -> None:
        self.context.journal.write(action.kind, action.subject, **action.facts)
        if action.kind == PLACED_KIND:
            record = self.state.jobs[action.subject].record
            waited = float(str(action.facts["waited"]))
            self.context.metrics.observe_start(record.priority, waited)
            standing, ahead_of = action.facts["standing"], action.facts["ahead_of"]
            self.context.metrics.count_start(
                record.priority, str(standing), str(ahead_of)
            )

    @perform.register
    def _(self, action: Count) -> None:
        self.context.journal.count(action.name, action.amount)

    @perform.register
    def _(self, action: SendStart) -> None:
        key = (action.server, action.task, action.run)
        previous = self.start_calls.pop(key, None)
        if previous is not None:
            # Its start did not take effect, and it would hold back others.
            previous.cancel()
        self.start_calls[key] = self.spawn(self.send_start(action))
        self.start_calls[key].add_done_callback(
            lambda task: self.forget_call(key, task)
        )
        self.wake_server(action.server)
        if action.server not in self.watched_servers:
            self.watched_servers.add(action.server)
            self.spawn(self.watch_starts(action.server))

    @perform.register
    def _(self, action: SendStop) -> None:
        self.spawn(self.send_stop(action))
        self.wake_server(action.server)

    def wake_server(self, name: str) -> None:
        """Poll a server now, without its pause."""
        if name in self.poll_wakes:
            self.poll_wakes[name].set()

    def find_order_limit(self, name: str) -> asyncio.Semaphore:
        """Return the limit of concurrent starts and stops on a server."""
        if name not in self.order_limits:
            self.order_limits[name] = asyncio.Semaphore(MAX_CONCURRENT_ORDERS)
        return self.order_limits[name]

    async def send_start(self, action: SendStart) -> None:
        """Start one run and pass the answer to the planner."""
        async with self.find_order_limit(action.server):
            server = self.state.servers.get(action.server)
            job = self.state.jobs.get(action.task.job_id)
            if server is None or job is None:
                return
            instance = server.instance
            lease_until = grant_start_lease(
                self.state, server, action.task, action.run, read_clock()
            )
            if not self.may_send_orders or lease_until is None:
                fault = CallFault(True, None, "this planner may not start runs now")
                self.apply_start_answer(action, instance, fault)
                return
            order = StartOrder(
                action.task,
                action.run,
                job.record.order.specification,
                lease_until,
                find_checkpoint(self.state, action.task),
            )
            result = await self.call_server(
                action.server,
                self.client.start_run(server.entry, self.state.fence, order),
            )
        failure = result.error if result.is_error() else None
        self.apply_start_answer(action, instance, failure)

    async def call_server(
        self, name: str, call: Awaitable[Result[Answer, CallFault]]
    ) -> Result[Answer, CallFault]:
        """Await a call of a server; an unexpected error is a fault of that call only.

        One server must not end the work on all others.
        """
        try:
            return await call
        except Exception as error:
            log_crash(self.context.journal, name, error)
            return Error(CallFault(False, None, f"unexpected error: {error!r}"))

    async def look_at(self, name: str) -> None:
        """Read a server's runs, and pass them to the planner."""
        sent_at = read_clock()
        result = await self.call_server(
            name,
            self.client.poll(
                self.state.servers[name].entry,
                self.state.fence,
                acknowledged=0,
                lease_until_seconds=None,
                wait_seconds=0.0,
                timeout_seconds=LOOK_TIMEOUT_SECONDS,
            ),
        )
        self.context.journal.count("server.looked_at")
        if result.is_ok():
            handle_look_answer(self.state, name, sent_at, result.ok, read_clock())

    async def watch_starts(self, name: str) -> None:
        """Look at a server, again and again, while starts there are unanswered.

        A crash that follows is counted by what the looks have shown.
        """
        try:
            await asyncio.sleep(LOOK_PERIOD_SECONDS)
            while self.is_current and has_unanswered_starts(self.state, name):
                if needs_look(self.state, name, read_clock()):
                    await self.look_at(name)
                    self.perform_actions()
                await asyncio.sleep(LOOK_PERIOD_SECONDS)
        finally:
            self.watched_servers.discard(name)

    @property
    def may_send_orders(self) -> bool:
        """Whether this term may send starts and stops now."""
        return self.is_current and self.leadership.may_send_orders

    def apply_start_answer(
        self, action: SendStart, instance: int, fault: CallFault | None
    ) -> None:
        """Pass the answer to a start to the planner; None means success."""
        self.context.journal.count("start.failed" if fault else "start.confirmed")
        handle_start_answer(
            self.state,
            action.server,
            action.task,
            action.run,
            instance,
            fault,
            read_clock(),
        )
        self.inputs_changed.set()

    async def send_stop(self, action: SendStop) -> None:
        """Stop one run and pass the answer to the planner."""
        async with self.find_order_limit(action.server):
            server = self.state.servers.get(action.server)
            if server is None or not server.entry.address or not self.may_send_orders:
                return
            instance = server.instance
            result = await self.call_server(
                action.server,
                self.client.stop_run(
                    server.entry, self.state.fence, action.task, action.run
                ),
            )
        fault = result.error if result.is_error() else None
        self.context.journal.count("stop.failed" if fault else "stop.confirmed")
        handle_stop_answer(
            self.state,
            action.server,
            action.task,
            action.run,
            instance,
            fault,
            read_clock(),
        )
        self.inputs_changed.set()

    def start_polling(self) -> None:
        """Start a polling task for each new server."""
        for name in self.state.servers:
            if name not in self.poll_wakes:
                self.poll_wakes[name] = asyncio.Event()
                self.spawn(self.poll_server(name))

    async def poll_server(self, name: str) -> None:
        """Poll one server while the term lasts and the server is known."""
        while self.is_current and name in self.state.servers:
            server = self.state.servers[name]
            if not server.entry.address:
                await asyncio.sleep(FAILING_POLL_SECONDS)
                continue
            if server.processed_end > server.acknowledged:
                await self.wait_recorded()
                if server.processed_end > server.acknowledged:
                    # Renew the lease even while the store is unreachable.
                    await self.poll_once(name, server)
                    await asyncio.sleep(FAILING_POLL_SECONDS)
                    continue
            renewed = await self.poll_once(name, server)
            await self.wait_for_next_poll(name, server, renewed)
        self.poll_wakes.pop(name, None)

    async def poll_once(self, name: str, server: Server) -> bool:
        """Poll a server; return whether this requests a lease renewal."""
        order = make_poll_order(self.state, server, read_clock(), self.may_send_orders)
        result = await self.call_server(
            name,
            self.client.poll(
                server.entry,
                self.state.fence,
                order.acknowledged,
                order.lease_until,
                order.wait_seconds,
            ),
        )
        now = read_clock()
        if result.is_error():
            handle_poll_fault(self.state, name, result.error, now)
        else:
            self.apply_poll_answer(name, order, result.ok, now)
        self.inputs_changed.set()
        return order.lease_until is not None

    def apply_poll_answer(
        self, name: str, order: PollOrder, lists: RunLists, now: float
    ) -> None:
        """Pass a server's answer to the planner; one that cannot be applied is a fault.

        One server's answers must not end the work on all others.
        """
        try:
            handle_poll_answer(self.state, name, order, lists, now)
        except Exception as error:
            log_crash(self.context.journal, name, error)
            fault = CallFault(False, None, "its answer cannot be applied")
            handle_poll_fault(self.state, name, fault, now)

    async def wait_for_next_poll(
        self, name: str, server: Server, renewed: bool
    ) -> None:
        """Wait until the next poll of a server is due."""
        if server.failing_since:
            await asyncio.sleep(FAILING_POLL_SECONDS)
            return
        if is_busy(self.state, server):
            return
        if not renewed:
            # A start may follow, and it needs a valid lease.
            await asyncio.sleep(UNLEASED_POLL_SECONDS)
            return
        wake = self.poll_wakes[name]
        try:
            await asyncio.wait_for(wake.wait(), IDLE_POLL_SECONDS)
        except TimeoutError:
            return
        wake.clear()

    async def wait_recorded(self) -> None:
        """Wait for the next append, up to `RECORD_WAIT_SECONDS`."""
        try:
            await asyncio.wait_for(self.recorded.wait(), RECORD_WAIT_SECONDS)
        except TimeoutError:
            self.context.journal.count("store.append_awaited")

    def start_recording(self) -> None:
        """Append changes, unless an append is in flight.

        What does not fit into this append follows in the next.
        """
        if self.recording:
            return
        record_bytes = self.context.settings.store.limits.record_bytes
        # As much as the largest record takes anyway. A larger append could fill a
        # narrow link for longer than the membership lasts.
        append_bytes = RECORD_LENGTH_BYTES + record_bytes
        other_records = self.take_other_records(append_bytes // 2)
        entries = [(record.key, record.value) for record in other_records]
        room = append_bytes - measure_append(entries)
        append = take_append(self.state, RecordLimits(record_bytes, room), read_clock())
        # Progress that cannot be encoded is reported at once.
        self.perform_actions()
        if append is None and not other_records:
            return
        self.recording = True
        self.spawn(self.record_append(append or ProgressAppend({}), other_records))

    def take_other_records(self, limit_bytes: int) -> list[KeyedRecord]:
        """Return heartbeats, silences and removals that are due, within a limit.

        Only each other append has removals, so that those of large jobs leave room for
        the largest record.
        """
        taken = self.list_heartbeats()
        silences = list_silence_records(self.state, read_clock())
        taken += [KeyedRecord(key, value) for key, value in silences]
        self.removing = not self.removing
        if not self.removing:
            return taken
        if not self.removals:
            self.removals += self.list_removals()
        room = limit_bytes
        while self.removals:
            room -= measure_append([(self.removals[0].key, b"")])
            if room < 0:
                break
            taken.append(self.removals.popleft())
        return taken

    def list_heartbeats(self) -> list[KeyedRecord]:
        """Return the heartbeat, summaries and removals of candidates, when due."""
        now = read_clock()
        if now - self.heartbeat_at < HEARTBEAT_PERIOD_SECONDS:
            return []
        self.heartbeat_at = now
        heartbeat = KeyedRecord(HEARTBEAT_KEY, str(self.state.fence).encode())
        removals = [KeyedRecord(PEER_PREFIX + vm, b"") for vm in self.lost_candidates]
        self.lost_candidates.clear()
        summaries = list_summaries(self.context, self.publisher, self.state, now)
        return [heartbeat, *removals, *summaries]

    def list_removals(self) -> list[KeyedRecord]:
        """Return records that remove jobs and withdrawals past their retention."""
        context = self.context
        now = read_clock()
        # A job that still occupies an unreachable server stays.
        expired = [
            job_id
            for job_id in context.retention.take_due(now)
            if job_id not in self.state.jobs
        ]
        if expired:
            context.journal.write("jobs.dropped", expired[0], count=len(expired))
        keys = [key for job_id in expired for key in list_keys(context.ledger, job_id)]
        keys += list_withdrawal_keys(context.retention.take_due_withdrawals(now))
        return [KeyedRecord(key, b"") for key in keys]

    async def record_append(
        self, append: ProgressAppend, other_records: list[KeyedRecord]
    ) -> None:
        """Append progress and other records, and perform what depends on them."""
        groups = {
            job_id: [KeyedRecord(key, value) for key, value in entries]
            for job_id, entries in append.entries.items()
        }
        if other_records:
            groups[OTHER_RECORDS] = other_records
        result = await self.recorder.record(groups)
        self.recording = False
        if result.is_error():
            if self.is_current:
                self.leadership.end_term("a later planner has taken over")
            return
        if OTHER_RECORDS in result.ok:
            self.publisher.published.clear()
            detail = result.ok[OTHER_RECORDS]
            self.context.journal.write(
                "record.refused", other_records[0].key, detail=detail
            )
        else:
            entries = [(record.key, record.value) for record in other_records]
            handle_silences_recorded(self.state, entries)
        handle_appended(self.state, append, result.ok, read_clock())
        self.perform_actions()
        self.recorded.set()
        self.recorded = asyncio.Event()
        self.inputs_changed.set()

    async def close(self) -> None:
        """Cancel and await the background tasks."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
