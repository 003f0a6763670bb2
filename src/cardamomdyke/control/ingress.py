"""HTTP servers for callers and for the balancer."""

from tornado.web import Application, RequestHandler

from cardamomdyke.control.clock import read_clock
from cardamomdyke.control.context import Context, check_contact
from cardamomdyke.control.processor import CallerRequest
from cardamomdyke.control.relay import RequestReceiver
from cardamomdyke.platform.submissions import KEY_HEADER, READINESS_PATH
from cardamomdyke.protocol.progress import CountedHandler, Progress

# A daemon without an answer of the store for this long asks for no new
# connections. Requests on open ones go through peers by then. A daemon that
# shuts down asks the store each 1 s only.
READY_CONTACT_SECONDS = 1.3


class CallerHandler(CountedHandler):
    """Passes one request of a caller to the reception."""

    def initialize(self, reception: RequestReceiver, progress: Progress) -> None:
        """Remember the parts that every request needs."""
        self.reception = reception
        self.progress = progress

    def set_default_headers(self) -> None:
        """Leave out a header that callers do not use."""
        self.clear_header("Server")

    def compute_etag(self) -> None:
        """Leave out the entity tag, which callers do not use."""

    async def serve(self) -> None:
        """Answer the request."""
        request = CallerRequest(
            self.request.method or "",
            self.request.host_name,
            self.request.path,
            self.request.headers.get(KEY_HEADER, ""),
            self.request.body,
        )
        began = read_clock()
        answer = await self.reception.serve(request)
        metrics = self.reception.context.metrics
        metrics.observe_request(request.method, answer.code, read_clock() - began)
        self.set_status(answer.code)
        self.set_header("Content-Type", "application/json")
        if answer.retry_after_seconds:
            self.set_header("Retry-After", str(answer.retry_after_seconds))
        self.finish(answer.body)

    get = post = delete = put = patch = head = options = serve


class ReadinessHandler(RequestHandler):
    """Answers the balancer."""

    def initialize(self, context: Context) -> None:
        """Remember the daemon's shared parts."""
        self.context = context

    def get(self) -> None:
        """Answer 200 while this daemon takes requests."""
        self.set_status(200 if check_ready(self.context) else 503)
        self.finish()


def check_ready(context: Context) -> bool:
    """Tell whether the balancer may send new connections here."""
    known = context.operator.tables is not None and context.work.next_offset is not None
    in_contact = check_contact(context, READY_CONTACT_SECONDS)
    return known and in_contact and not context.stopping


def make_caller_application(
    reception: RequestReceiver, progress: Progress
) -> Application:
    """Build the web application for callers."""
    arguments = {"reception": reception, "progress": progress}
    return Application(
        [(r".*", CallerHandler, arguments)], log_function=lambda handler: None
    )


def make_readiness_application(context: Context) -> Application:
    """Build the web application for the balancer."""
    return Application(
        [(READINESS_PATH, ReadinessHandler, {"context": context})],
        log_function=lambda handler: None,
    )
