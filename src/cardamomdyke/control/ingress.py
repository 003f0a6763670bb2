"""Answers callers: submission, state, cancellation and pending count."""

from dataclasses import dataclass

from expression import Error, Ok, Result
from tornado.web import Application, RequestHandler

from cardamomdyke.control.clock import read_clock, read_unix_time
from cardamomdyke.control.context import Context
from cardamomdyke.jobs.admission import check_job_id, check_order, find_unserved
from cardamomdyke.jobs.ledger import count_waiting, find_phase
from cardamomdyke.jobs.records import (
    CANCELLATION_PREFIX,
    FINAL_PHASES,
    JOB_PREFIX,
    WORK_TOPIC,
    JobRecord,
    encode_job,
)
from cardamomdyke.model.queues import Account, QueueRoute, QueueTables, find_route
from cardamomdyke.platform.store import KeyedRecord, StoreFaultKind
from cardamomdyke.platform.submissions import (
    KEY_HEADER,
    READINESS_PATH,
    decode_submission,
    encode_refusal,
    encode_state,
    encode_waiting,
)

# A caller that was refused because of a fault may come back after this long.
RETRY_AFTER_SECONDS = 1
# Longest time since the store's last answer for which this daemon takes work.
# The feed's long poll is answered within 1 s when nothing happens.
CONTACT_SECONDS = 1.8
CANCELLATION_VALUE = b"1"


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is not served.

    Attributes
    ----------
    code : int
        HTTP status.
    kind : str
        Kind of the refusal, for logs and counters.
    detail : str
        What is wrong.
    remedy : str
        What the caller can do.
    comes_back : bool
        True when a later attempt can help.
    """

    code: int
    kind: str
    detail: str
    remedy: str
    comes_back: bool = False


@dataclass(frozen=True, slots=True)
class Target:
    """What an allowed request is about.

    Attributes
    ----------
    tables : QueueTables
        The configuration that allowed it.
    route : QueueRoute
        The queue.
    account : Account or None
        Client account of the key; None for an anonymous caller.
    job_id : str
        Rest of the path; empty for the queue itself.
    """

    tables: QueueTables
    route: QueueRoute
    account: Account | None
    job_id: str


NOT_REACHED = Refusal(
    503,
    "store_unreachable",
    "this VM does not reach the platform's store; the request was not run",
    "send the request again",
    comes_back=True,
)
NOT_KNOWN = Refusal(
    504,
    "not_known",
    "the platform's store did not answer; it is not known whether this took effect",
    "send the same request again",
    comes_back=True,
)
NO_TABLES = Refusal(
    503,
    "no_configuration",
    "this VM has no configuration yet; the request was not run",
    "send the request again",
    comes_back=True,
)


def find_target(
    tables: QueueTables | None, host: str, path: str, key: str
) -> Result[Target, Refusal]:
    """Find the queue of a request, and check its key.

    Parameters
    ----------
    tables : QueueTables or None
        Configuration in force.
    host : str
        Host that the caller named, without a port.
    path : str
        Path of the request.
    key : str
        The caller's key; empty when there is none.

    Returns
    -------
    Result of Target or Refusal
        What the request is about, or why it is refused.
    """
    if tables is None:
        return Error(NO_TABLES)
    route = find_route(tables, host, path)
    if route is None:
        detail = f"no queue has the path {path} on host {host}"
        return Error(Refusal(404, "no_queue", detail, "use a queue of the tables"))
    account = tables.accounts_by_key.get(key) if key else None
    if account is None and (key or not route.anonymous):
        detail = f"the key is not one of a client account, version {tables.version}"
        return Error(Refusal(401, "unknown_key", detail, "present a valid key"))
    return Ok(Target(tables, route, account, path.removeprefix(route.prefix)))


class CallerHandler(RequestHandler):
    """Serves one request of a caller."""

    def initialize(self, context: Context) -> None:
        """Remember the daemon's shared parts."""
        self.context = context
        self.started_at = read_clock()

    def set_default_headers(self) -> None:
        """Leave out a header that callers do not use."""
        self.clear_header("Server")

    def compute_etag(self) -> None:
        """Leave out the entity tag, which callers do not use."""

    def find_target(self) -> Result[Target, Refusal]:
        """Find what this request is about."""
        host = self.request.host_name
        key = self.request.headers.get(KEY_HEADER, "")
        tables = self.context.operator.tables
        return find_target(tables, host, self.request.path, key)

    def refuse(self, refusal: Refusal, subject: str) -> None:
        """Answer that a request is not served."""
        self.context.journal.write(
            "request.refused",
            subject,
            method=self.request.method,
            code=refusal.code,
            reason=refusal.kind,
            detail=refusal.detail,
        )
        self.set_status(refusal.code)
        self.set_header("Content-Type", "application/json")
        if refusal.comes_back:
            self.set_header("Retry-After", str(RETRY_AFTER_SECONDS))
        self.finish(encode_refusal(refusal.detail, refusal.remedy))

    def answer(self, body: bytes) -> None:
        """Answer with a body."""
        self.set_header("Content-Type", "application/json")
        self.finish(body)

    async def post(self) -> None:
        """Take a job in."""
        result = self.find_target()
        if result.is_error():
            self.refuse(result.error, self.request.path)
            return
        target = result.ok
        order = self.read_order(target)
        if order.is_error():
            self.refuse(order.error, target.job_id)
            return
        if target.job_id in self.context.ledger.jobs:
            self.context.journal.write("job.repeated", target.job_id)
            self.answer_state(target.job_id)
            return
        await self.accept_job(target, order.ok)

    def read_order(self, target: Target) -> Result[JobRecord, Refusal]:
        """Read and check the job that this request hands in."""
        if not check_job_id(target.job_id):
            detail = "a job's id is 16 hexadecimal digits"
            return Error(Refusal(400, "bad_id", detail, "correct the path"))
        if len(self.request.body) > target.tables.body_limit_bytes:
            detail = f"the body is over {target.tables.body_limit_bytes} bytes"
            return Error(Refusal(413, "body_too_large", detail, "send less"))
        order = decode_submission(self.request.body).bind(check_order)
        if order.is_error():
            return Error(Refusal(400, "bad_job", order.error, "correct the job"))
        unserved = find_unserved(order.ok)
        if unserved or target.route.advised:
            detail = f"not served yet: {unserved or 'queues with advice'}"
            return Error(Refusal(503, "not_served", detail, "use another queue"))
        route = target.route
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
                accepted_at=read_unix_time(),
                order=order.ok,
            )
        )

    async def accept_job(self, target: Target, record: JobRecord) -> None:
        """Store a job, and answer that it is accepted."""
        key = JOB_PREFIX + record.job_id
        refusal = await self.store_record(KeyedRecord(key, encode_job(record)))
        if refusal is not None:
            self.refuse(refusal, record.job_id)
            return
        self.context.journal.write(
            "job.accepted",
            record.job_id,
            queue=record.queue,
            account=record.account,
            version=target.tables.version,
            priority=record.priority,
            tasks=sum(step.count for step in record.order.steps),
            took=round(read_clock() - self.started_at, 4),
        )
        self.answer(encode_state("queued"))

    async def store_record(self, record: KeyedRecord) -> Refusal | None:
        """Append one record; return why that failed or may have failed."""
        if not check_contact(self.context):
            return NOT_REACHED
        result = await self.context.store.append_records(WORK_TOPIC, [record])
        if result.is_ok():
            return None
        fault = result.error
        if fault.kind is StoreFaultKind.UNCERTAIN:
            return NOT_KNOWN
        return NOT_REACHED

    async def get(self) -> None:
        """Tell the state of a job, or how many jobs of a queue have not begun."""
        result = self.find_target()
        if result.is_error():
            self.refuse(result.error, self.request.path)
            return
        target = result.ok
        if not target.job_id:
            waiting = count_waiting(self.context.ledger, [target.route.name])
            self.answer(encode_waiting(waiting))
            return
        if await self.find_job(target.job_id):
            self.answer_state(target.job_id)

    async def find_job(self, job_id: str) -> bool:
        """Look a job up, in the store when it is not known here; else refuse."""
        if job_id in self.context.ledger.jobs:
            return True
        if not check_job_id(job_id):
            detail = "a job's id is 16 hexadecimal digits"
            self.refuse(Refusal(410, "no_job", detail, "correct the path"), job_id)
            return False
        if not check_contact(self.context) or not await self.context.work.catch_up():
            self.refuse(NOT_REACHED, job_id)
            return False
        if job_id in self.context.ledger.jobs:
            return True
        detail = f"no job has the id {job_id}"
        self.refuse(Refusal(410, "no_job", detail, "check the id"), job_id)
        return False

    async def delete(self) -> None:
        """Cancel a job."""
        result = self.find_target()
        if result.is_error():
            self.refuse(result.error, self.request.path)
            return
        job_id = result.ok.job_id
        if not await self.find_job(job_id):
            return
        if find_phase(self.context.ledger, job_id) not in FINAL_PHASES:
            record = KeyedRecord(CANCELLATION_PREFIX + job_id, CANCELLATION_VALUE)
            refusal = await self.store_record(record)
            if refusal is not None:
                self.refuse(refusal, job_id)
                return
            self.context.journal.write("job.cancel_accepted", job_id)
        self.answer_state(job_id)

    def answer_state(self, job_id: str) -> None:
        """Answer with the state of a known job."""
        phase = find_phase(self.context.ledger, job_id)
        self.answer(encode_state(phase.value if phase else "queued"))


class ReadinessHandler(RequestHandler):
    """Answers the balancer."""

    def initialize(self, context: Context) -> None:
        """Remember the daemon's shared parts."""
        self.context = context

    def get(self) -> None:
        """Answer 200 while this daemon takes requests."""
        ready = check_ready(self.context)
        self.set_status(200 if ready else 503)
        self.finish()


def check_contact(context: Context) -> bool:
    """Tell whether the store answered a short time ago."""
    return read_clock() - context.work.answered_at <= CONTACT_SECONDS


def check_ready(context: Context) -> bool:
    """Tell whether the balancer may send new connections here."""
    known = context.operator.tables is not None and context.work.next_offset is not None
    return known and check_contact(context) and not context.stopping


def make_caller_application(context: Context) -> Application:
    """Build the web application for callers."""
    return Application(
        [(r".*", CallerHandler, {"context": context})],
        log_function=lambda handler: None,
    )


def make_readiness_application(context: Context) -> Application:
    """Build the web application for the balancer."""
    return Application(
        [(READINESS_PATH, ReadinessHandler, {"context": context})],
        log_function=lambda handler: None,
    )
