"""Checks of submitted jobs."""

import re

from expression import Error, Ok, Result

from cardamomdyke.model.orders import JobOrder, StepOrder

JOB_ID_LENGTH = 16
JOB_ID = re.compile(rf"[0-9a-f]{{{JOB_ID_LENGTH}}}", re.ASCII)
MAX_SPECIFICATION_BYTES = 4000
# The progress of a job is one record of the store, at most 256 KB, with about 65
# bytes per task.
MAX_TASKS = 3000


def check_job_id(job_id: str) -> bool:
    """Return whether a job id is 16 lower-case hexadecimal digits."""
    return JOB_ID.fullmatch(job_id) is not None


def check_order(order: JobOrder) -> Result[JobOrder, str]:
    """Check an order for invalid values and exceeded limits.

    Parameters
    ----------
    order : JobOrder
        As the caller submitted it.

    Returns
    -------
    Result of JobOrder or str
        The unchanged order, or its first fault.
    """
    size = len(order.specification.encode())
    if size > MAX_SPECIFICATION_BYTES:
        limit = MAX_SPECIFICATION_BYTES
        return Error(f"the specification has {size} bytes; at most {limit} are allowed")
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
    """Return what is wrong with a step; empty when it is valid."""
    if step.count < 1:
        return "has no task"
    shape = step.shape
    if min(shape.millicores, shape.memory_mb, shape.accelerators) < 0:
        return "requests a negative amount of a resource"
    if not any((shape.millicores, shape.memory_mb, shape.accelerators)):
        return "requests no resources"
    if any(not 0 <= earlier < number for earlier in step.after):
        return "depends on a step that is not an earlier one"
    if min(step.server_limit, step.absence_limit, step.estimated_seconds) < 0:
        return "has a negative limit or estimate"
    return ""


def find_unsupported(order: JobOrder) -> str:
    """Return an order's feature that is not supported yet; empty for none."""
    for step in order.steps:
        if step.fills or step.target_seconds:
            return "shared backend servers"
    return ""
