"""Looks for accepted work that could run in a simulation, and has no run."""

from collections import Counter
from collections.abc import Iterator

from cardamomdyke.jobs.records import FINAL_PHASES, JobRecord
from cardamomdyke.model.orders import Shape, StepOrder, TaskId
from cardamomdyke.scheduling.placement import count_fits
from tests.planner.crash_world import CrashWorld

# The platform counts work as lost that waits for longer while its pool has room for it
# twice over and is used to less than half.
MAX_WAIT_SECONDS = 3.0
SPARE_FACTOR = 2
USED_SHARE = 0.5
SAMPLE_SECONDS = 0.5


def check_waits(world: CrashWorld, seconds: float) -> None:
    """Run a simulation for a while, and add a violation for work that waits."""
    since: dict[TaskId, float] = {}
    reported: set[TaskId] = set()
    end = world.now + seconds
    while world.now < end:
        world.run_for(SAMPLE_SECONDS)
        waiting = set(list_waiting(world))
        since = {task: since.get(task, world.now) for task in waiting}
        for task, at in since.items():
            if world.now - at > MAX_WAIT_SECONDS and task not in reported:
                reported.add(task)
                world.violations.append(f"LOST: {task} waits since {at:.1f}")


def list_waiting(world: CrashWorld) -> Iterator[TaskId]:
    """Yield the first task of each single task or gang that could run and does not."""
    free = measure_free(world)
    active = {
        run.task
        for server in world.cluster.servers.values()
        if server.up
        for run in server.runs.values()
    }
    if measure_used_share(world, free) >= USED_SHARE:
        return
    for job_id, record in world.orders.items():
        if world.find_phase(job_id) in FINAL_PHASES:
            continue
        runs = any(task.job_id == job_id for task in active)
        for number, step in enumerate(record.order.steps):
            if runs and not step.long_running or not is_due(world, record, number):
                continue
            for indices in list_units(step):
                tasks = [TaskId(job_id, 0, number, index) for index in indices]
                if set(tasks) & (active | world.completed_tasks):
                    continue
                if count_room(world, free, tasks[0], step) >= SPARE_FACTOR * len(tasks):
                    yield tasks[0]


def list_units(step: StepOrder) -> list[list[int]]:
    """Return the indices of the tasks that start together, for each unit of a step."""
    indices = list(range(step.count))
    return [indices] if step.gang else [[index] for index in indices]


def is_due(world: CrashWorld, record: JobRecord, number: int) -> bool:
    """Return whether the steps that a step depends on are done."""
    return all(
        TaskId(record.job_id, 0, before, index) in world.completed_tasks
        for before in record.order.steps[number].after
        for index in range(record.order.steps[before].count)
    )


def measure_free(world: CrashWorld) -> dict[str, Shape]:
    """Return the free capacity of the servers that are up, listed and in service."""
    free = {}
    for name, server in world.cluster.servers.items():
        entry = world.listed.get(name)
        if not server.up or entry is None or entry.draining or name in world.replaced:
            continue
        used = [
            world.orders[run.task.job_id].order.steps[run.task.step].shape
            for run in server.runs.values()
        ]
        free[name] = Shape(
            server.capacity.millicores - sum(shape.millicores for shape in used),
            server.capacity.memory_mb - sum(shape.memory_mb for shape in used),
            server.capacity.accelerators - sum(shape.accelerators for shape in used),
        )
    return free


def measure_used_share(world: CrashWorld, free: dict[str, Shape]) -> float:
    """Return the used share of the most used resource; 1 without servers."""
    if not free:
        return 1.0
    shares = []
    for resource in ("millicores", "memory_mb", "accelerators"):
        total = sum(
            getattr(world.cluster.servers[name].capacity, resource) for name in free
        )
        left = sum(getattr(shape, resource) for shape in free.values())
        shares.append(1.0 - left / total if total else 1.0)
    return max(shares)


def count_room(
    world: CrashWorld, free: dict[str, Shape], task: TaskId, step: StepOrder
) -> int:
    """Return how many more tasks of a step fit on servers with the required label."""
    room = 0
    for name, shape in free.items():
        server = world.cluster.servers[name]
        if step.required_label and step.required_label not in ("a", server.rack):
            continue
        fits = count_fits(shape, step.shape)
        if step.server_limit:
            here = Counter((run.job_id, run.step) for run in server.runs)
            fits = min(fits, step.server_limit - here[task.job_id, task.step])
        room += max(0, fits)
    return room
