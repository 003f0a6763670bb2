"""HTTP handlers for callers, and the base of all handlers."""

import asyncio
from math import inf, nan
from typing import Any, TypeVar
from uuid import uuid4

from expression import Error, Ok, Result
from msgspec.json import decode, encode
from tornado.ioloop import IOLoop

from cardamomdyke.daemon.coordinator import Coordinator
from cardamomdyke.daemon.jobs import JobManager
from cardamomdyke.daemon.node import Node
from cardamomdyke.daemon.replies import write_problem, write_reply
from cardamomdyke.model.errors import DECODE_ERRORS, Problem, ProblemKind, make_problem
from cardamomdyke.model.jobs import FINAL_STATES, JobSpecification, JobState, JobStatus
from cardamomdyke.model.outcomes import NotKnown, NotRun, describe_outcome
from cardamomdyke.model.requests import ShortRequest
from cardamomdyke.protocol.bodies import BodyHandler

JOB_POLL_PERIOD_SECONDS = 0.1
MAX_WAIT_SECONDS = 60.0
DEFAULT_DEADLINE_SECONDS = 30.0
# From the end of a request's headers to the end of its body.
BODY_TIMEOUT_SECONDS = 10.0
MAX_TEXT_CHARACTERS = 200
MAX_QUOTED_CHARACTERS = 200

Value = TypeVar("Value")


class NodeHandler(BodyHandler):
    """Base class of the handlers for callers and operators."""

    node: Node
    body_timer: object = None
    request_id: str = ""

    def initialize(self, node: Node, **components: object) -> None:
        """Store the shared state and the route's components."""
        self.node = node
        self.progress = node.progress
        for name, component in components.items():
            setattr(self, name, component)

    def set_default_headers(self) -> None:
        """Assign a request id once, and send it with every reply."""
        self.request_id = self.request_id or uuid4().hex
        self.set_header("Request-Id", self.request_id)

    def prepare(self) -> None:
        """Count the request and limit its body."""
        super().prepare()
        self.body_timer = IOLoop.current().call_later(
            BODY_TIMEOUT_SECONDS, self.refuse_slow_body
        )
        self.start_body()

    def find_body_limit(self) -> int:
        """Return the limit of the body, in bytes."""
        return self.node.settings.maximum_body_bytes

    def stop_body_timer(self) -> None:
        """Stop the timeout of the body."""
        if self.body_timer is not None:
            IOLoop.current().remove_timeout(self.body_timer)
            self.body_timer = None

    def refuse_large_body(self) -> None:
        """Reply that the body exceeds the size limit."""
        message = f"the body is longer than {self.find_body_limit()} bytes"
        write_reply(NotRun(make_problem(ProblemKind.BODY_TOO_LARGE, message)), self)

    def refuse_slow_body(self) -> None:
        """Reply that the body did not arrive in time."""
        self.body_timer = None
        if self._finished or self.request._body_future.done():
            return
        self.set_header("Connection", "close")
        message = f"the body did not arrive within {BODY_TIMEOUT_SECONDS:g} s"
        write_problem(
            make_problem(ProblemKind.BAD_REQUEST, message), "not_run", 408, self
        )

    def on_connection_close(self) -> None:
        """Stop the timeout of the body, which would keep the handler."""
        self.stop_body_timer()
        super().on_connection_close()

    def on_finish(self) -> None:
        """Stop the timeout of the body."""
        self.stop_body_timer()
        super().on_finish()

    def write_error(self, status_code: int, **details: Any) -> None:
        """Reply to an error; from status 500 on the request may have run."""
        if status_code < 500:
            path = self.request.path[:MAX_QUOTED_CHARACTERS]
            message = f"{self.request.method} {path}: {self._reason}"
            problem = make_problem(ProblemKind.BAD_REQUEST, message)
            write_problem(problem, "not_run", status_code, self)
            return
        message = f"request {self.request_id} ended in an unexpected error"
        write_reply(NotKnown(make_problem(ProblemKind.INTERNAL, message)), self)

    def refuse_when_draining(self) -> bool:
        """Reply that nothing ran, and return True, if this VM is draining."""
        if not self.node.draining:
            return False
        write_reply(
            NotRun(make_problem(ProblemKind.DRAINING, "this VM is shutting down")), self
        )
        return True

    def finish_json(self, value: object, status: int = 200) -> None:
        """Reply with a value encoded as JSON."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(encode(value))

    def decode_body(self, body_type: type[Value]) -> Result[Value, Problem]:
        """Decode the JSON body, or return why it is invalid."""
        try:
            return Ok(decode(self.read_body(), type=body_type))
        except DECODE_ERRORS as error:
            return Error(make_problem(ProblemKind.BAD_REQUEST, f"body: {error}"))


class UnknownPathHandler(NodeHandler):
    """All paths that no other handler serves."""

    def refuse(self) -> None:
        """Reply that the path is unknown."""
        path = self.request.path[:MAX_QUOTED_CHARACTERS]
        message = f"nothing has the path {path!r}"
        write_reply(NotRun(make_problem(ProblemKind.UNKNOWN_PATH, message)), self)

    get = post = delete = put = patch = head = options = refuse


class ShortRequestHandler(NodeHandler):
    """``POST /v1/services/{service}/requests``."""

    coordinator: Coordinator

    async def post(self, service: str) -> None:
        """Run a short request and reply with its outcome."""
        if self.refuse_when_draining():
            return
        parsed = self.parse_request(service)
        if parsed.is_error():
            write_reply(NotRun(parsed.error), self)
            return
        self.node.counters.count("request.taken")
        account = parsed.ok.client_account
        timeline = self.node.timeline
        timeline.record("request.taken", self.request_id, f"{account} {service}")
        outcome = await self.coordinator.run_request(parsed.ok)
        self.node.counters.count(f"request.{type(outcome).__name__.lower()}")
        timeline.record("request.answered", self.request_id, describe_outcome(outcome))
        write_reply(outcome, self)

    def parse_request(self, service: str) -> Result[ShortRequest, Problem]:
        """Parse the headers and body, or return which header is invalid."""
        headers = self.request.headers
        account = headers.get("Client-Account", "")
        if not account:
            return Error(
                make_problem(
                    ProblemKind.BAD_REQUEST, "the header Client-Account is missing"
                )
            )
        for name in ("Client-Account", "Idempotency-Key"):
            problem = find_text_problem(f"header {name}", headers.get(name, ""))
            if problem is not None:
                return Error(problem)
        first = headers.get("First-Attempt", "false")
        if first not in ("true", "false"):
            message = "the header First-Attempt must be true or false"
            return Error(make_problem(ProblemKind.BAD_REQUEST, message))
        repeatable = headers.get("Repeatable", "false")
        if repeatable not in ("true", "false"):
            return Error(
                make_problem(
                    ProblemKind.BAD_REQUEST,
                    "the header Repeatable must be true or false",
                )
            )
        try:
            deadline = float(headers.get("Deadline-Seconds", DEFAULT_DEADLINE_SECONDS))
        except ValueError:
            deadline = 0.0
        if not 0 < deadline <= 3600:
            return Error(
                make_problem(
                    ProblemKind.BAD_REQUEST,
                    "the header Deadline-Seconds must be over 0 and at most 3600",
                )
            )
        return Ok(
            ShortRequest(
                request_id=self.request_id,
                client_account=account,
                service=service,
                body=self.read_body(),
                content_type=headers.get("Content-Type", "application/octet-stream"),
                repeatable=repeatable == "true",
                idempotency_key=headers.get("Idempotency-Key", ""),
                deadline_seconds=deadline,
                first_attempt=first == "true",
            )
        )


def check_specification(job: JobSpecification) -> Result[JobSpecification, Problem]:
    """Check the texts that end in keys, records and log lines."""
    for name in ("client_account", "service", "idempotency_key"):
        problem = find_text_problem(f"field {name}", getattr(job, name))
        if problem is not None:
            return Error(problem)
    return Ok(job)


def find_text_problem(name: str, text: str) -> Problem | None:
    """Return what is wrong with the text of a header or field."""
    if len(text) <= MAX_TEXT_CHARACTERS and text.isprintable():
        return None
    message = (
        f"the {name} must have at most {MAX_TEXT_CHARACTERS} characters, all of them "
        "printable"
    )
    return make_problem(ProblemKind.BAD_REQUEST, message)


class JobsHandler(NodeHandler):
    """``POST /v1/jobs``."""

    job_manager: JobManager

    async def post(self) -> None:
        """Submit a job."""
        if self.refuse_when_draining():
            return
        parsed = self.decode_body(JobSpecification).bind(check_specification)
        if parsed.is_error():
            write_reply(NotRun(parsed.error), self)
            return
        result = await self.job_manager.submit_job(parsed.ok)
        if result.is_error():
            write_reply(result.error, self)
            return
        self.set_header("Outcome", "accepted")
        self.finish_json(result.ok, status=202)


class JobHandler(NodeHandler):
    """``GET`` and ``DELETE /v1/jobs/{id}``."""

    job_manager: JobManager

    async def get(self, job_id: str) -> None:
        """Show the state of a job."""
        self.write_status(await self.job_manager.show_job(job_id))

    async def delete(self, job_id: str) -> None:
        """Cancel a job."""
        self.write_status(await self.job_manager.cancel_job(job_id))

    def write_status(self, result: Result[JobStatus, NotRun | NotKnown]) -> None:
        """Reply with a job's state or a problem."""
        if result.is_error():
            write_reply(result.error, self)
            return
        self.finish_json(result.ok)


class JobAnswerHandler(NodeHandler):
    """``GET /v1/jobs/{id}/answer?wait=S``."""

    job_manager: JobManager

    async def get(self, job_id: str) -> None:
        """Reply with a job's outcome after a wait of up to ``wait`` seconds."""
        wait = parse_wait(self.get_query_argument("wait", "0"))
        if wait.is_error():
            write_reply(NotRun(wait.error), self)
            return
        deadline = self.node.clock() + wait.ok
        result = await self.job_manager.show_job(job_id)
        while self.node.clock() < deadline and (
            result.is_error() or result.ok.state not in FINAL_STATES
        ):
            await asyncio.sleep(JOB_POLL_PERIOD_SECONDS)
            result = await self.job_manager.show_job(job_id)
        if result.is_error():
            write_reply(result.error, self)
            return
        self.write_outcome(result.ok)

    def write_outcome(self, status: JobStatus) -> None:
        """Reply with a job's outcome, or its state before the end."""
        if status.state is JobState.FINISHED:
            self.set_header("Outcome", "finished")
            self.finish_json(status)
            return
        if status.problem is None:
            self.set_header("Outcome", "accepted")
            self.finish_json(status, status=202)
            return
        if status.state is JobState.NOT_RUN:
            write_reply(NotRun(status.problem), self)
            return
        write_reply(NotKnown(status.problem), self)


def parse_wait(text: str) -> Result[float, Problem]:
    """Parse how long to wait for an answer, in seconds."""
    try:
        seconds = float(text)
    except ValueError:
        seconds = nan
    if not 0 <= seconds < inf:
        quoted = text[:MAX_QUOTED_CHARACTERS]
        message = f"wait must be a number of seconds from 0 on, not {quoted!r}"
        return Error(make_problem(ProblemKind.BAD_REQUEST, message))
    return Ok(min(seconds, MAX_WAIT_SECONDS))
