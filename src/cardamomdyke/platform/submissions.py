"""Decodes jobs that callers submit, and encodes the answers."""

from expression import Error, Ok, Result
from msgspec import Raw, Struct, field
from msgspec.json import Decoder, encode

from cardamomdyke.model.errors import DECODE_ERRORS
from cardamomdyke.model.orders import JobOrder, Shape, StepOrder
from cardamomdyke.platform.numbers import Integer, Number

MILLISECONDS = 1000.0
# Header with the API key of the caller's client account.
KEY_HEADER = "Api-Key"
# Path of the load balancer's readiness check.
READINESS_PATH = "/readiness"
# A step takes two bytes in a body and 500 in memory. Longer bodies are checked for the
# number of objects in their steps; a job has at most 3,000 tasks.
UNCHECKED_BODY_BYTES = 65_536
MAX_STEP_OBJECTS = 20_000


class _Step(Struct):
    count: Integer = 0
    cpu_millicores: Integer = 0
    task_memory_mb: Integer = 0
    accelerators: Integer = 0
    estimated_ms: Number = 0.0
    after: list[int] = field(default_factory=list)
    checkpointing: bool = False
    gang: bool = False
    rack_sensitive: bool = False
    required_labels: str = ""
    affinity: str = ""
    anti_affinity: Integer = 0
    allow_duplicates: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: Number = 0.0
    fills: bool = False
    may_miss: Integer = 0


class _Submission(Struct):
    specification: str
    steps: list[_Step]
    repetitions: Integer = 0
    first_run_ms: Number = 0.0
    interval_ms: Number = 0.0


class _Outline(Struct):
    steps: Raw


_DECODER = Decoder(_Submission)
_OUTLINE_DECODER = Decoder(_Outline)


def decode_submission(data: bytes) -> Result[JobOrder, str]:
    """Decode the body of a submission.

    Parameters
    ----------
    data : bytes
        Body of the request.

    Returns
    -------
    Result of JobOrder or str
        The job, unchecked, or why it cannot be decoded.
    """
    try:
        if len(data) > UNCHECKED_BODY_BYTES:
            steps = bytes(_OUTLINE_DECODER.decode(data).steps)
            if steps.count(b"{") > MAX_STEP_OBJECTS:
                return Error(f"the steps have more than {MAX_STEP_OBJECTS} objects")
        wire = _DECODER.decode(data)
    except DECODE_ERRORS as error:
        return Error(str(error))
    return Ok(
        JobOrder(
            specification=wire.specification,
            steps=tuple(_convert_step(step) for step in wire.steps),
            repetitions=wire.repetitions,
            first_run_unix_seconds=wire.first_run_ms / MILLISECONDS,
            interval_seconds=wire.interval_ms / MILLISECONDS,
        )
    )


def _convert_step(wire: _Step) -> StepOrder:
    return StepOrder(
        count=wire.count,
        shape=Shape(wire.cpu_millicores, wire.task_memory_mb, wire.accelerators),
        estimated_seconds=wire.estimated_ms / MILLISECONDS,
        after=tuple(wire.after),
        checkpointing=wire.checkpointing,
        gang=wire.gang,
        rack_sensitive=wire.rack_sensitive,
        # Holds a single label, despite its plural name.
        required_label=wire.required_labels,
        # Rack that holds the data.
        data_rack=wire.affinity,
        # Largest number of tasks on one server.
        server_limit=wire.anti_affinity,
        copies_allowed=wire.allow_duplicates,
        long_running=wire.long_running,
        image=wire.image,
        target_seconds=wire.target_ms / MILLISECONDS,
        fills=wire.fills,
        absence_limit=wire.may_miss,
    )


def encode_state(state: str) -> bytes:
    """Encode the state of a job."""
    return encode({"state": state})


def encode_waiting(count: int) -> bytes:
    """Encode the number of a queue's jobs without a started task."""
    return encode({"pending": count})


def encode_refusal(detail: str, remedy: str) -> bytes:
    """Encode the reason and remedy of a refusal."""
    return encode({"error": detail, "remedy": remedy})
