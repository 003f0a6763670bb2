"""HTTP handlers for callers and for the load balancer."""

import asyncio
from http import HTTPStatus

from tornado.web import Application, RequestHandler

from cardamomdyke.control.answers import (
    CallerAnswer,
    make_bad_request,
    make_large_body,
    make_large_headers,
    make_unexpected_error,
)
from cardamomdyke.control.clock import read_clock
from cardamomdyke.control.context import Context, check_contact
from cardamomdyke.control.inputs import find_body_limit
from cardamomdyke.control.processor import CallerRequest
from cardamomdyke.control.relay import RequestReceiver
from cardamomdyke.platform.submissions import KEY_HEADER, READINESS_PATH
from cardamomdyke.protocol.bodies import BodyHandler
from cardamomdyke.protocol.connections import CallerStream, encode_reply
from cardamomdyke.protocol.guard import InputGuard
from cardamomdyke.protocol.progress import Progress

# A daemon without an answer of the store for this long reports not ready. Requests
# on open connections are relayed to peers by then. A daemon that shuts down calls
# the store only every 1 s.
READY_CONTACT_TIMEOUT_SECONDS = 1.3
# The end of a connection arrives within this time after its last request.
DEPARTURE_WAIT_SECONDS = 0.1


class CallerHandler(BodyHandler):
    """Handles all requests of callers."""

    abandoned = False

    def initialize(self, receiver: RequestReceiver, progress: Progress) -> None:
        """Store the shared objects."""
        self.receiver = receiver
        self.progress = progress
        self.body_limit_bytes = find_body_limit(receiver.context)

    def prepare(self) -> None:
        """Read the body; a request counts only once that is complete.

        A caller that stops sending does not delay a shutdown.
        """
        self.assign_account()
        self.start_body()

    def assign_account(self) -> None:
        """Count the request against its client account, if the key is known."""
        tables = self.receiver.context.operator.tables
        stream = getattr(self.request.connection, "stream", None)
        if tables is None or not isinstance(stream, CallerStream):
            return
        key = self.request.headers.get(KEY_HEADER, "")
        account = tables.accounts_by_key.get(key)
        stream.assign_account(account.name if account else "")

    def find_body_limit(self) -> int:
        """Return the limit of the body, in bytes."""
        return self.body_limit_bytes

    def refuse_large_body(self) -> None:
        """Reply that the body exceeds the limit."""
        refusal = make_large_body(self.body_limit_bytes)
        self.write_answer(self.receiver.refuse(self.request.path, refusal))

    def write_error(self, status_code: int, **details: object) -> None:
        """Reply to an error of the HTTP server or of this process."""
        if status_code < HTTPStatus.INTERNAL_SERVER_ERROR:
            refusal = make_bad_request(status_code, self._reason)
        else:
            refusal = make_unexpected_error(status_code)
        self.write_answer(self.receiver.refuse(self.request.path, refusal))

    def set_default_headers(self) -> None:
        """Remove the Server header, which callers do not use."""
        self.clear_header("Server")

    def compute_etag(self) -> None:
        """Omit the entity tag, which callers do not use."""

    def on_connection_close(self) -> None:
        """Note that the caller has left."""
        self.abandoned = True
        super().on_connection_close()

    async def find_withdrawal(self) -> int:
        """Return the withdrawal that a submission follows; 0 for none.

        A caller that has left may have sent the submission before it cancelled the job.
        """
        if self.request.method != "POST":
            return 0
        withdrawal = self.receiver.find_withdrawal(self.request.path)
        if withdrawal:
            await asyncio.sleep(DEPARTURE_WAIT_SECONDS)
        return 0 if self.abandoned else withdrawal

    async def serve(self) -> None:
        """Answer and time the request."""
        self.start_counting()
        request = CallerRequest(
            self.request.method or "",
            self.request.host_name,
            self.request.path,
            self.request.headers.get(KEY_HEADER, ""),
            self.read_body(),
            await self.find_withdrawal(),
        )
        began_at = read_clock()
        answer = await self.receiver.serve(request)
        metrics = self.receiver.context.metrics
        metrics.observe_request(request.method, answer.code, read_clock() - began_at)
        self.write_answer(answer)

    def write_answer(self, answer: CallerAnswer) -> None:
        """Write an answer as the reply."""
        self.set_status(answer.code)
        self.set_header("Content-Type", "application/json")
        if answer.retry_after_seconds:
            self.set_header("Retry-After", str(answer.retry_after_seconds))
        self.finish(answer.body)

    get = post = delete = put = patch = head = options = serve


class ReadinessHandler(RequestHandler):
    """Answers the load balancer."""

    def initialize(self, context: Context) -> None:
        """Store the shared objects."""
        self.context = context

    def get(self) -> None:
        """Answer 200 while this daemon is ready, else 503."""
        self.set_status(200 if check_ready(self.context) else 503)
        self.finish()


def check_ready(context: Context) -> bool:
    """Return whether this daemon has tables, jobs and contact, and is not stopping."""
    has_state = (
        context.operator.tables is not None
        and context.work_feed.next_offset is not None
    )
    has_contact = check_contact(context, READY_CONTACT_TIMEOUT_SECONDS)
    return has_state and has_contact and not context.stopping


def make_caller_application(
    receiver: RequestReceiver, progress: Progress
) -> Application:
    """Create the application for callers."""
    arguments = {"receiver": receiver, "progress": progress}
    return Application(
        [(r".*", CallerHandler, arguments)], log_function=lambda handler: None
    )


def make_header_refusal(receiver: RequestReceiver, guard: InputGuard) -> bytes:
    """Log and encode the reply to a request whose headers are too long."""
    limits = guard.budget.requests
    refusal = make_large_headers(limits.header_bytes, limits.header_fields)
    answer = receiver.refuse("", refusal)
    return encode_reply(HTTPStatus(answer.code), {}, answer.body)


def make_readiness_application(context: Context) -> Application:
    """Create the application for readiness checks."""
    return Application(
        [(READINESS_PATH, ReadinessHandler, {"context": context})],
        log_function=lambda handler: None,
    )
