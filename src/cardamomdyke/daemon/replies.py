"""Writes outcomes and problems as HTTP replies."""

from functools import singledispatch
from http import HTTPStatus
from uuid import uuid4

from msgspec.json import encode
from tornado.web import RequestHandler

from cardamomdyke.model.errors import Problem, ProblemKind, make_problem
from cardamomdyke.model.outcomes import Finished, NotKnown, NotRun
from cardamomdyke.protocol.connections import encode_reply
from cardamomdyke.protocol.limits import RequestLimits

STATUS_BY_KIND: dict[ProblemKind, int] = {
    ProblemKind.BAD_REQUEST: 400,
    ProblemKind.BODY_TOO_LARGE: 413,
    ProblemKind.HEADERS_TOO_LARGE: 431,
    ProblemKind.UNKNOWN_PATH: 404,
    ProblemKind.UNKNOWN_CLIENT_ACCOUNT: 403,
    ProblemKind.UNKNOWN_SERVICE: 404,
    ProblemKind.UNKNOWN_JOB: 404,
    ProblemKind.UNKNOWN_FAILURE_DOMAIN: 404,
    ProblemKind.IMPOSSIBLE_SHAPE: 422,
    ProblemKind.INVALID_TABLES: 422,
    ProblemKind.EDIT_LOST_RACE: 409,
    ProblemKind.KEY_REUSED: 422,
    ProblemKind.RATE_LIMITED: 429,
    ProblemKind.EDIT_NOT_CONFIRMED: 504,
}
DEFAULT_STATUS = 503


@singledispatch
def write_reply(outcome: object, handler: RequestHandler) -> None:
    """Write an outcome as the reply of a handler."""
    raise TypeError(f"cannot reply with a {type(outcome).__name__}")


@write_reply.register
def _(outcome: Finished, handler: RequestHandler) -> None:
    handler.set_header("Outcome", "finished")
    handler.set_header("Content-Type", outcome.content_type)
    handler.finish(outcome.body)


@write_reply.register
def _(outcome: NotRun, handler: RequestHandler) -> None:
    status = STATUS_BY_KIND.get(outcome.problem.kind, DEFAULT_STATUS)
    write_problem(outcome.problem, "not_run", status, handler)


@write_reply.register
def _(outcome: NotKnown, handler: RequestHandler) -> None:
    write_problem(outcome.problem, "not_known", 504, handler)


def write_problem(
    problem: Problem, outcome: str, status: int, handler: RequestHandler
) -> None:
    """Write a problem as JSON, with Retry-After if it has a delay."""
    handler.set_status(status)
    handler.set_header("Outcome", outcome)
    handler.set_header("Content-Type", "application/json")
    if problem.retry_after_seconds is not None:
        handler.set_header("Retry-After", str(problem.retry_after_seconds))
    handler.finish(encode_problem(problem, outcome))


def encode_problem(problem: Problem, outcome: str) -> bytes:
    """Encode the body of a reply that reports a problem."""
    return encode(
        {
            "outcome": outcome,
            "kind": problem.kind,
            "message": problem.message,
            "remedy": problem.remedy,
        }
    )


def make_header_refusal(limits: RequestLimits) -> bytes:
    """Return the encoded reply to a request whose headers exceed the limits."""
    kind = ProblemKind.HEADERS_TOO_LARGE
    message = (
        f"the headers are longer than {limits.header_bytes} bytes or have more than "
        f"{limits.header_fields} fields"
    )
    return encode_reply(
        HTTPStatus(STATUS_BY_KIND[kind]),
        {"Request-Id": uuid4().hex, "Outcome": "not_run"},
        encode_problem(make_problem(kind, message), "not_run"),
    )
