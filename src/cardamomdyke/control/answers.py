"""Answers and refusals to callers."""

from dataclasses import dataclass

from cardamomdyke.platform.records import StoreFault, StoreFaultKind
from cardamomdyke.platform.submissions import encode_refusal
from cardamomdyke.scheduling.admission import AdmissionReason, AdmissionRefusal

# Retry-After of refusals because of a fault or a missing configuration. Callers give up
# 3 s after their first try, so a longer pause would cost them their last tries.
RETRY_AFTER_SECONDS = 1
# Jobs make room when they end, and callers get one more try within their 3 s.
ROOM_RETRY_AFTER_SECONDS = 2
NO_JOB_KIND = "no_job"


@dataclass(frozen=True, slots=True)
class CallerAnswer:
    """Answer to a caller.

    Attributes
    ----------
    code : int
        HTTP status.
    body : bytes
        JSON.
    retry_after_seconds : int
        When to retry; 0 if that does not help.
    reached : bool
        False when the store was not reached or a configuration is missing; another
        VM may serve the request.
    """

    code: int
    body: bytes
    retry_after_seconds: int = 0
    reached: bool = True


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is not served.

    Attributes
    ----------
    code : int
        HTTP status.
    kind : str
        Reason code in log lines.
    detail : str
        What is wrong.
    remedy : str
        What the caller can do.
    retry_after_seconds : int
        When to retry; 0 if that does not help.
    """

    code: int
    kind: str
    detail: str
    remedy: str
    retry_after_seconds: int = 0


NOT_REACHED = Refusal(
    503,
    "store_unreachable",
    "this VM does not reach the platform's store; the request was not run",
    "send the request again",
    RETRY_AFTER_SECONDS,
)
NOT_KNOWN = Refusal(
    504,
    "not_known",
    "the platform's store did not answer; it is not known whether this took effect",
    "send the same request again",
    RETRY_AFTER_SECONDS,
)
NO_TABLES = Refusal(
    503,
    "no_configuration",
    "this VM has no configuration yet; the request was not run",
    "send the request again",
    RETRY_AFTER_SECONDS,
)
WITHDRAWN = Refusal(
    503,
    "withdrawn",
    "the job was cancelled, and this request may have been sent before that; it was "
    "not run",
    "send the request again if the job is still wanted",
    RETRY_AFTER_SECONDS,
)
OLD_TABLES = Refusal(
    503,
    "old_configuration",
    "this VM has an older configuration than one that it has served by; the request "
    "was not run",
    "send the request again",
    RETRY_AFTER_SECONDS,
)
NOT_STORED = Refusal(
    400,
    "not_stored",
    "the platform's store refuses the record of this request; it was not run",
    "send a smaller request",
)
REMEDIES = {
    AdmissionReason.TOO_LARGE: "submit smaller tasks; larger servers may join later",
    AdmissionReason.TOO_LATE: "send the request again later, if it is still of use",
}
UNREACHED_KINDS = frozenset(
    {NOT_REACHED.kind, NOT_KNOWN.kind, NO_TABLES.kind, OLD_TABLES.kind}
)


def make_answer(refusal: Refusal) -> CallerAnswer:
    """Convert a refusal to an answer."""
    return CallerAnswer(
        refusal.code,
        encode_refusal(refusal.detail, refusal.remedy),
        refusal.retry_after_seconds,
        reached=refusal.kind not in UNREACHED_KINDS,
    )


def make_unknown_job(job_id: str) -> Refusal:
    """Return the refusal of a request about an id without a job."""
    return Refusal(410, NO_JOB_KIND, f"no job has the id {job_id}", "check the job id")


def make_large_body(limit_bytes: int) -> Refusal:
    """Return the refusal of a body over a limit."""
    detail = f"the body is over {limit_bytes} bytes"
    return Refusal(413, "body_too_large", detail, "send a smaller body")


def make_large_job(size_bytes: int, limit_bytes: int) -> Refusal:
    """Return the refusal of a job whose record the store does not take."""
    detail = (
        f"the record of the job has {size_bytes} bytes; the store takes {limit_bytes}"
    )
    remedy = "submit fewer steps, or several jobs"
    return Refusal(413, "job_too_large", detail, remedy)


def make_large_headers(limit_bytes: int, limit_fields: int) -> Refusal:
    """Return the refusal of headers over the limits."""
    detail = f"the headers are over {limit_bytes} bytes or {limit_fields} fields"
    return Refusal(431, "headers_too_large", detail, "send fewer or shorter headers")


def make_bad_request(code: int, reason: str) -> Refusal:
    """Return the refusal of a request that cannot be processed."""
    detail = f"the request is invalid: {reason}"
    return Refusal(code, "bad_request", detail, "correct the request")


def make_unexpected_error(code: int) -> Refusal:
    """Return the answer to a request that ended in an unexpected error."""
    detail = "an unexpected error; it is not known whether this took effect"
    return Refusal(code, "internal", detail, "send the same request again")


def make_admission_refusal(refusal: AdmissionRefusal) -> Refusal:
    """Return the answer to a job that is refused before anything is stored."""
    return Refusal(
        429,
        refusal.reason.value,
        f"{refusal.detail}; the request has not run",
        REMEDIES[refusal.reason],
        refusal.retry_after_seconds,
    )


def make_room_refusal(account: str) -> Refusal:
    """Return the refusal of a job for which the daemons have no memory."""
    owner = f"client account {account}" if account else "anonymous callers"
    detail = f"too many jobs and tasks are accepted, of {owner} or in all"
    return Refusal(
        429,
        "no_room_for_job",
        f"{detail}; the request has not run",
        "send the request again once jobs have ended, or cancel some",
        ROOM_RETRY_AFTER_SECONDS,
    )


def make_append_refusal(fault: StoreFault) -> Refusal:
    """Return the refusal that says what is certain after a failed append."""
    if fault.kind is StoreFaultKind.FENCED:
        return WITHDRAWN
    if fault.kind is StoreFaultKind.REFUSED:
        return NOT_STORED
    return NOT_KNOWN if fault.kind is StoreFaultKind.UNCERTAIN else NOT_REACHED
