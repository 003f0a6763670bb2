"""Checks what callers hand in."""

import re

from expression import Error, Ok, Result

from cardamomdyke.model.orders import JobOrder, StepOrder

JOB_ID = re.compile(r"[0-9a-f]{16}", re.ASCII)
MAX_SPECIFICATION_BYTES = 4000
# The progress of a job is one record of the store, 256 KB at most, with about 65
# bytes for each task.
MAX_TASKS = 3000


def check_job_id(job_id: str) -> bool:
    """Tell whether a text is 16 hexadecimal digits in lower case."""
    return JOB_ID.fullmatch(job_id) is not None


def check_order(order: JobOrder) -> Result[JobOrder, str]:
    """Check an order for contradictions and for parts that are not served.

    Parameters
    ----------
    order : JobOrder
        As the caller gave it.

    Returns
    -------
    Result of JobOrder or str
        The order, or what is wrong with it.
    """
    size = len(order.specification.encode())
    if size > MAX_SPECIFICATION_BYTES:
        limit = MAX_SPECIFICATION_BYTES
        return Error(f"the specification has {size} bytes; at most {limit} are taken")
    if not order.steps:
        return Error("the job has no step")
    for number, step in enumerate(order.steps):
        fault = find_step_fault(number, step)
        if fault:
            return Error(f"step {number} {fault}")
    if sum(step.count for step in order.steps) > MAX_TASKS:
        return Error(f"the job has more than {MAX_TASKS} tasks")
    if order.repetitions < 0 or order.interval_seconds < 0:
        return Error("repetitions and their interval cannot be negative")
    return Ok(order)


def find_step_fault(number: int, step: StepOrder) -> str:
    """Return what is wrong with one step, or an empty text."""
    if step.count < 1:
        return "has no task"
    shape = step.shape
    if min(shape.millicores, shape.memory_mb, shape.accelerators) < 0:
        return "asks for less than nothing"
    if not any((shape.millicores, shape.memory_mb, shape.accelerators)):
        return "asks for no room"
    if any(not 0 <= earlier < number for earlier in step.after):
        return "waits for a step that does not come before it"
    if min(step.server_limit, step.absence_limit, step.estimated_seconds) < 0:
        return "has a negative limit or estimate"
    return ""


def find_unserved(order: JobOrder) -> str:
    """Return what of an order is not served yet, or an empty text."""
    for step in order.steps:
        if step.fills or step.target_seconds:
            return "shared backend servers"
    return ""
