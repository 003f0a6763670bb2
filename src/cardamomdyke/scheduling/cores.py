"""Size of tasks in processor cores, in which work and its loss are counted."""

from cardamomdyke.model.orders import Shape

# Weight of an accelerator in processor cores, as the platform prices it.
CORES_PER_ACCELERATOR = 8.0
MILLICORES = 1000.0


def measure_cores(shape: Shape) -> float:
    """Return a task's processor cores; an accelerator counts as 8."""
    return shape.millicores / MILLICORES + CORES_PER_ACCELERATOR * shape.accelerators
