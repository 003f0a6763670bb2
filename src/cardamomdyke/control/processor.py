"""Processes caller requests: submission, state, cancellation and pending count."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass, replace
from functools import singledispatchmethod

from expression import Error, Ok, Result

from cardamomdyke.control.admissions import (
    find_admission_refusal,
    find_room_refusal,
)
from cardamomdyke.control.answers import (
    NO_JOB_KIND,
    NO_TABLES,
    NOT_KNOWN,
    NOT_REACHED,
    OLD_TABLES,
    CallerAnswer,
    Refusal,
    make_answer,
    make_large_body,
    make_large_job,
    make_unknown_job,
)
from cardamomdyke.control.clock import read_clock
from cardamomdyke.control.context import Context, check_contact
from cardamomdyke.control.submissions import (
    FIRST_EPOCH,
    append_job,
    await_append,
    withdraw_id,
)
from cardamomdyke.jobs.admission import check_job_id, check_order, find_unsupported
from cardamomdyke.jobs.layout import measure_record
from cardamomdyke.jobs.ledger import count_waiting, find_phase
from cardamomdyke.jobs.records import (
    CANCELLATION_PREFIX,
    FINAL_PHASES,
    JOB_PREFIX,
    JobPhase,
    JobRecord,
    encode_job,
)
from cardamomdyke.model.queues import Account, QueueRoute, QueueTables, find_route
from cardamomdyke.platform.records import KeyedRecord
from cardamomdyke.platform.submissions import (
    decode_submission,
    encode_state,
    encode_waiting,
)

# A state query about a running job waits this long for its end. Callers tend to query
# when they expect it, and an end takes up to 0.15 s to reach every daemon.
STATE_WAIT_SECONDS = 0.2
CANCELLATION_VALUE = b"1"
MAX_SUBJECT_CHARACTERS = 200
MAX_DETAIL_CHARACTERS = 400


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """HTTP request of a caller.

    Attributes
    ----------
    method : str
        HTTP method.
    host : str
        Host name, without the port.
    path : str
        Path of the URL.
    key : str
        API key; empty when there is none.
    body : bytes
        Body of the request.
    withdrawal : int
        Epoch of the job id's newest withdrawal that was known when the request
        arrived; 0 for none.
    relayed : bool
        True if a peer sent it, which may have appended it before.
    """

    method: str
    host: str
    path: str
    key: str
    body: bytes = b""
    withdrawal: int = 0
    relayed: bool = False


@dataclass(frozen=True, slots=True)
class RequestTarget:
    """Target of an authorised request.

    Attributes
    ----------
    tables : QueueTables
        Configuration that authorised it.
    route : QueueRoute
        Route of the queue.
    account : Account or None
        Client account of the key; None for an anonymous caller.
    job_id : str
        Rest of the path, unchecked; empty for the queue itself.
    """

    tables: QueueTables
    route: QueueRoute
    account: Account | None
    job_id: str


@dataclass(frozen=True, slots=True)
class Submission:
    """Request to accept a job."""

    target: RequestTarget
    body: bytes
    withdrawal: int
    relayed: bool


@dataclass(frozen=True, slots=True)
class StateQuery:
    """Request for the state of a job."""

    target: RequestTarget


@dataclass(frozen=True, slots=True)
class Cancellation:
    """Request to cancel a job."""

    target: RequestTarget


@dataclass(frozen=True, slots=True)
class CountQuery:
    """Request for the number of a queue's jobs without a started task."""

    target: RequestTarget


Command = Submission | StateQuery | Cancellation | CountQuery


def find_target(
    tables: QueueTables | None, request: CallerRequest
) -> Result[RequestTarget, Refusal]:
    """Find the queue of a request and check the API key.

    Parameters
    ----------
    tables : QueueTables or None
        Configuration in force; None before the first.
    request : CallerRequest
        The request.

    Returns
    -------
    Result of RequestTarget or Refusal
        The target, or why the request is refused.
    """
    if tables is None:
        return Error(NO_TABLES)
    route = find_route(tables, request.host, request.path)
    if route is None:
        detail = f"no queue has the path {request.path} on host {request.host}"
        return Error(Refusal(404, "no_queue", detail, "use a configured queue"))
    key = request.key
    account = tables.accounts_by_key.get(key) if key else None
    if account is None and (key or not route.anonymous):
        detail = f"no client account has this key in tables version {tables.version}"
        return Error(Refusal(401, "unknown_key", detail, "send a valid key"))
    job_id = request.path.removeprefix(route.prefix)
    return Ok(RequestTarget(tables, route, account, job_id))


def parse_command(
    request: CallerRequest, target: RequestTarget
) -> Result[Command, Refusal]:
    """Return the command of a request."""
    match request.method:
        case "POST":
            return Ok(
                Submission(target, request.body, request.withdrawal, request.relayed)
            )
        case "GET" if not target.job_id:
            return Ok(CountQuery(target))
        case "GET":
            return Ok(StateQuery(target))
        case "DELETE":
            return Ok(Cancellation(target))
    detail = f"method {request.method} is not supported"
    return Error(Refusal(405, "bad_method", detail, "use POST, GET or DELETE"))


def parse_job(
    target: RequestTarget, body: bytes, accepted_at: float
) -> Result[JobRecord, Refusal]:
    """Decode and check a submitted job.

    Parameters
    ----------
    target : RequestTarget
        Queue, client account and job id.
    body : bytes
        Body of the request.
    accepted_at : float
        Unix time, in seconds.

    Returns
    -------
    Result of JobRecord or Refusal
        The job, or why it is refused.
    """
    if not check_job_id(target.job_id):
        detail = "a job's id is 16 hexadecimal digits"
        return Error(Refusal(400, "bad_id", detail, "correct the job id in the path"))
    if len(body) > target.tables.body_limit_bytes:
        return Error(make_large_body(target.tables.body_limit_bytes))
    order = decode_submission(body).bind(check_order)
    if order.is_error():
        return Error(Refusal(400, "bad_job", order.error, "correct the body"))
    route = target.route
    unserved = (
        "queues with advice" if route.needs_advice else find_unsupported(order.ok)
    )
    if unserved:
        detail = f"not supported yet: {unserved}"
        return Error(Refusal(503, "not_served", detail, "submit the job without it"))
    return Ok(
        JobRecord(
            job_id=target.job_id,
            queue=route.name,
            account=target.account.name if target.account else "",
            pool=route.pool,
            priority=route.priority,
            attempt_limit=route.attempt_limit,
            stretch=route.stretch,
            target_seconds=route.target_seconds,
            accepted_at=accepted_at,
            order=order.ok,
        )
    )


@dataclass
class RequestProcessor:
    """Processes caller requests with the ledger and the store.

    Attributes
    ----------
    context : Context
        Shared objects of the daemon.
    """

    context: Context

    async def serve(self, request: CallerRequest) -> CallerAnswer:
        """Answer one request.

        Parameters
        ----------
        request : CallerRequest
            The request.

        Returns
        -------
        CallerAnswer
            503 and 429 mean that the request has not run and never will, 504 that
            this is not known.
        """
        operator = self.context.operator
        if operator.is_behind:
            return self.refuse(request.path, OLD_TABLES)
        if operator.tables is not None:
            operator.record_served(operator.tables.version)
        target = find_target(operator.tables, request)
        command = target.bind(lambda found_target: parse_command(request, found_target))
        if command.is_error():
            return self.refuse(request.path, command.error)
        return await self.perform(command.ok)

    @singledispatchmethod
    async def perform(self, command: Command) -> CallerAnswer:
        """Run one command."""
        raise TypeError(f"register a handler for {type(command).__name__}")

    @perform.register
    async def _(self, command: Submission) -> CallerAnswer:
        job_id = command.target.job_id
        result = parse_job(command.target, command.body, self.context.unix_clock.read())
        if result.is_error():
            return self.refuse(job_id, result.error)
        if job_id in self.context.ledger.jobs:
            self.context.journal.write("job.repeated", job_id)
            return self.answer_state(job_id)
        return await self.accept_job(result.ok, command)

    @perform.register
    async def _(self, command: CountQuery) -> CallerAnswer:
        queue = command.target.route.name
        waiting = count_waiting(self.context.ledger, [queue])
        return CallerAnswer(200, encode_waiting(waiting))

    @perform.register
    async def _(self, command: StateQuery) -> CallerAnswer:
        job_id = command.target.job_id
        refusal = await self.find_job_refusal(job_id)
        if refusal is not None:
            return self.refuse(job_id, refusal)
        await self.wait_for_end(job_id)
        return self.answer_state(job_id)

    async def wait_for_end(self, job_id: str) -> None:
        """Wait up to `STATE_WAIT_SECONDS` for the end of a running job."""
        deadline = read_clock() + STATE_WAIT_SECONDS
        while find_phase(self.context.ledger, job_id) is JobPhase.RUNNING:
            remaining_seconds = deadline - read_clock()
            if remaining_seconds <= 0:
                return
            with suppress(TimeoutError):
                await asyncio.wait_for(
                    self.context.ledger_changed.wait(), remaining_seconds
                )

    @perform.register
    async def _(self, command: Cancellation) -> CallerAnswer:
        job_id = command.target.job_id
        refusal = await self.find_job_refusal(job_id)
        if refusal is not None and refusal.kind == NO_JOB_KIND:
            refusal = await withdraw_id(self.context, job_id)
        if refusal is not None:
            return self.refuse(job_id, refusal)
        if find_phase(self.context.ledger, job_id) not in FINAL_PHASES:
            record = KeyedRecord(CANCELLATION_PREFIX + job_id, CANCELLATION_VALUE)
            cancelled = self.context.ledger.cancelled
            if not check_contact(self.context):
                return self.refuse(job_id, NOT_REACHED)
            append = self.context.appender.append(record)
            refusal = await await_append(
                self.context, append, lambda: job_id in cancelled
            )
            if refusal is not None:
                return self.refuse(job_id, refusal)
            self.context.journal.write("job.cancel_accepted", job_id)
        return self.answer_state(job_id)

    async def accept_job(self, record: JobRecord, command: Submission) -> CallerAnswer:
        """Append a job and answer that it is queued."""
        began_at = read_clock()
        size = measure_record((JOB_PREFIX + record.job_id, encode_job(record)))
        limit = self.context.settings.store.limits.record_bytes
        if size > limit:
            return self.refuse(record.job_id, make_large_job(size, limit))
        if not check_contact(self.context):
            return self.refuse(record.job_id, NOT_REACHED)
        refusal = await find_room_refusal(
            self.context, record, is_relayed=command.relayed
        )
        if refusal is not None:
            return self.refuse(record.job_id, refusal)
        budget = self.context.job_budget
        budget.reserve(record, read_clock())
        if not command.relayed:
            refusal = await find_admission_refusal(self.context, record)
        if refusal is not None:
            budget.cancel(record.job_id)
            return self.refuse(record.job_id, refusal)
        jobs = self.context.ledger.jobs
        if record.job_id in jobs:
            self.context.journal.write("job.repeated", record.job_id)
            return self.answer_state(record.job_id)
        uncertain = self.context.admission.uncertain
        uncertain.add(record.job_id, read_clock())
        append = append_job(self.context, record, command.withdrawal or FIRST_EPOCH)
        refusal = await await_append(
            self.context, append, lambda: record.job_id in jobs
        )
        if refusal is None or refusal.code != NOT_KNOWN.code:
            uncertain.discard(record.job_id)
        if refusal is not None and refusal.code != NOT_KNOWN.code:
            budget.cancel(record.job_id)
        if refusal is not None:
            return self.refuse(record.job_id, refusal)
        self.context.journal.write(
            "job.accepted",
            record.job_id,
            queue=record.queue,
            account=record.account,
            version=command.target.tables.version,
            priority=record.priority,
            tasks=sum(step.count for step in record.order.steps),
            took=round(read_clock() - began_at, 4),
        )
        return CallerAnswer(200, encode_state("queued"))

    async def find_job_refusal(self, job_id: str) -> Refusal | None:
        """Return why a job is in neither the ledger nor the store, else None."""
        if job_id in self.context.ledger.jobs:
            return None
        if not check_job_id(job_id):
            detail = "a job's id is 16 hexadecimal digits"
            return Refusal(410, "bad_id", detail, "correct the job id in the path")
        if (
            not check_contact(self.context)
            or not await self.context.work_feed.catch_up()
        ):
            return NOT_REACHED
        if job_id in self.context.ledger.jobs:
            return None
        return make_unknown_job(job_id)

    def refuse(self, subject: str, refusal: Refusal) -> CallerAnswer:
        """Log a refusal and return its answer; long texts of callers are cut."""
        refusal = replace(refusal, detail=refusal.detail[:MAX_DETAIL_CHARACTERS])
        self.context.journal.write(
            "request.refused",
            subject[:MAX_SUBJECT_CHARACTERS],
            code=refusal.code,
            reason=refusal.kind,
            detail=refusal.detail,
            contact_age=round(read_clock() - self.context.store.contact.answered_at, 3),
        )
        return make_answer(refusal)

    def answer_state(self, job_id: str) -> CallerAnswer:
        """Answer with a job's state; queued if the ledger lacks it."""
        phase = find_phase(self.context.ledger, job_id)
        return CallerAnswer(200, encode_state(phase.value if phase else "queued"))
