"""Kinds of problems and the remedies that their messages name."""

from dataclasses import dataclass
from enum import StrEnum

from msgspec import DecodeError, ValidationError

# What msgspec raises for input that it cannot decode. Deeply nested input, also in
# fields that are ignored, exceeds the interpreter's recursion limit.
DECODE_ERRORS = (DecodeError, ValidationError, RecursionError)


class ProblemKind(StrEnum):
    """Every kind of problem that is reported to callers or operators."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    UNKNOWN_PATH = "unknown_path"
    UNKNOWN_CLIENT_ACCOUNT = "unknown_client_account"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_JOB = "unknown_job"
    UNKNOWN_FAILURE_DOMAIN = "unknown_failure_domain"
    IMPOSSIBLE_SHAPE = "impossible_shape"
    INVALID_TABLES = "invalid_tables"
    EDIT_LOST_RACE = "edit_lost_race"
    EDIT_NOT_CONFIRMED = "edit_not_confirmed"
    NO_CONFIGURATION = "no_configuration"
    RATE_LIMITED = "rate_limited"
    QUEUE_FULL = "queue_full"
    NO_CAPACITY = "no_capacity"
    FAILURE_DOMAIN_OUT = "failure_domain_out"
    ISOLATED = "isolated"
    DRAINING = "draining"
    DEADLINE_PASSED = "deadline_passed"
    KEY_REUSED = "key_reused"
    CLAIM_HOME_UNREACHABLE = "claim_home_unreachable"
    CLAIM_LOST = "claim_lost"
    SERVER_RESTARTED = "server_restarted"
    START_UNCONFIRMED = "start_unconfirmed"
    JOB_FAILED = "job_failed"
    CANCELLED = "cancelled"
    LOG_UNAVAILABLE = "log_unavailable"
    PEER_UNREACHABLE = "peer_unreachable"
    STALE_TICKET = "stale_ticket"
    BUSY = "busy"
    INVALID_SETTING = "invalid_setting"
    INVALID_FILE = "invalid_file"
    BAD_COMMAND = "bad_command"
    VM_UNREACHABLE = "vm_unreachable"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class Problem:
    """An error with its remedy, as reported to a caller or an operator.

    Attributes
    ----------
    kind : ProblemKind
        What went wrong.
    message : str
        One sentence that names the affected object.
    remedy : str
        What the reader can do about it.
    retry_after_seconds : int or None
        Whole seconds, at least 1, before a retry can help; None when it cannot.
    """

    kind: ProblemKind
    message: str
    remedy: str
    retry_after_seconds: int | None = None


DEFAULT_REMEDIES: dict[ProblemKind, tuple[str, int | None]] = {
    ProblemKind.BAD_REQUEST: ("correct the request and send it again", None),
    ProblemKind.BODY_TOO_LARGE: ("send a body under the limit", None),
    ProblemKind.HEADERS_TOO_LARGE: ("send fewer or shorter headers", None),
    ProblemKind.UNKNOWN_PATH: (
        "use /healthz, or a path under /v1/services, jobs, tables, domains, status, "
        "timeline, settings or usage",
        None,
    ),
    ProblemKind.UNKNOWN_CLIENT_ACCOUNT: (
        "use a client account that the routes table names",
        None,
    ),
    ProblemKind.UNKNOWN_SERVICE: (
        "use a service that a route of the client account names",
        None,
    ),
    ProblemKind.UNKNOWN_JOB: ("check the job id that the submission returned", None),
    ProblemKind.UNKNOWN_FAILURE_DOMAIN: (
        "use a failure domain listed by 'tables show'",
        None,
    ),
    ProblemKind.IMPOSSIBLE_SHAPE: (
        "ask for a shape that a pool of the client account's routes can hold",
        None,
    ),
    ProblemKind.INVALID_TABLES: ("correct the rows named in the message", None),
    ProblemKind.EDIT_LOST_RACE: (
        "read the current tables, redo the edit on them and submit it again",
        None,
    ),
    ProblemKind.EDIT_NOT_CONFIRMED: (
        "run 'tables show' before repeating the edit; it may be in force",
        2,
    ),
    ProblemKind.NO_CONFIGURATION: (
        "retry after this VM has learned the configuration",
        2,
    ),
    ProblemKind.RATE_LIMITED: ("send less often, or raise the route's limit", 1),
    ProblemKind.QUEUE_FULL: ("retry later, or raise the route's queue limit", 2),
    ProblemKind.NO_CAPACITY: ("retry later; no allowed backend server is free", 1),
    ProblemKind.FAILURE_DOMAIN_OUT: (
        "retry after the failure domain is back in service, or add a pool elsewhere "
        "to the route",
        5,
    ),
    ProblemKind.ISOLATED: (
        "retry another VM; this failure domain has no evidence of being in service",
        2,
    ),
    ProblemKind.DRAINING: ("retry at once; the balancer chooses another VM", 1),
    ProblemKind.DEADLINE_PASSED: ("retry with a later deadline", 1),
    ProblemKind.KEY_REUSED: ("use a new idempotency key for a new request", None),
    ProblemKind.CLAIM_HOME_UNREACHABLE: ("send the same idempotency key again", 2),
    ProblemKind.CLAIM_LOST: (
        "check the effect of earlier attempts; the same idempotency key is of use "
        "again after the key retention",
        600,
    ),
    ProblemKind.SERVER_RESTARTED: (
        "the request may have run before the restart; check its effect",
        None,
    ),
    ProblemKind.START_UNCONFIRMED: (
        "the request may have run; check its effect, or send the same idempotency "
        "key again if it carried one",
        2,
    ),
    ProblemKind.JOB_FAILED: ("correct the job; it failed on several servers", None),
    ProblemKind.CANCELLED: ("submit the job again if it is still wanted", None),
    ProblemKind.LOG_UNAVAILABLE: ("retry when the log service answers again", 5),
    ProblemKind.PEER_UNREACHABLE: ("retry; the VM chooses another peer", 1),
    ProblemKind.STALE_TICKET: ("retry; a new start ticket was issued", 1),
    ProblemKind.BUSY: ("retry; the backend server has no free slot", 1),
    ProblemKind.INVALID_SETTING: ("correct the flag or environment variable", None),
    ProblemKind.INVALID_FILE: ("correct the file and run the command again", None),
    ProblemKind.BAD_COMMAND: (
        "run 'cardamomdyke --help' or the command with --help",
        None,
    ),
    ProblemKind.VM_UNREACHABLE: (
        "check the address, or name another VM with --vm HOST:PORT",
        None,
    ),
    ProblemKind.INTERNAL: ("report the request id to the operators", None),
}


def make_problem(
    kind: ProblemKind, message: str, *, retry_after_seconds: int | None = None
) -> Problem:
    """Create a problem with the default remedy and delay of its kind.

    Parameters
    ----------
    kind : ProblemKind
        What went wrong.
    message : str
        One sentence that names the affected object.
    retry_after_seconds : int, optional
        Replaces the kind's default delay; whole seconds, at least 1.
    """
    remedy, default_delay = DEFAULT_REMEDIES[kind]
    delay = default_delay if retry_after_seconds is None else retry_after_seconds
    return Problem(kind, message, remedy, delay)
