"""Attempts that may be preempted in one planning pass."""

from dataclasses import dataclass, field

from cardamomdyke.model.orders import Shape

AttemptKey = tuple[str, tuple[int, int, int]]


# Job id, occurrence and step.
StepKey = tuple[str, int, int]


@dataclass(frozen=True, slots=True)
class Victim:
    """Attempt that may be preempted.

    Attributes
    ----------
    key : tuple of (str, UnitKey)
        Job id and unit.
    cost : float
        Cost of a stop in core seconds, by which victims are chosen.
    tasks : dict of str to (Shape, int)
        Shape and number of the attempt's tasks, by server.
    limited_step : StepKey or None
        Step of the attempt if it limits absences.
    lost : float
        Work that a stop makes the attempt do again, in core seconds.
    saves : bool
        True if the tasks save a checkpoint at the stop.
    repeats : int
        Number of earlier stops of the unit that count in the cost.
    """

    key: AttemptKey
    cost: float
    tasks: dict[str, tuple[Shape, int]]
    limited_step: StepKey | None = None
    lost: float = 0.0
    saves: bool = False
    repeats: int = 0

    @property
    def task_count(self) -> int:
        """Number of the attempt's tasks."""
        return sum(count for _, count in self.tasks.values())


@dataclass
class VictimIndex:
    """Attempts that may be preempted in one planning pass.

    Attributes
    ----------
    victims : dict of AttemptKey to Victim
        Victims by job and unit.
    by_server : dict of str to list of Victim
        The same victims by server.
    allowed_stops : dict of StepKey to int
        Number of tasks that may be stopped now, by step that limits absences.
    """

    victims: dict[AttemptKey, Victim] = field(default_factory=dict)
    by_server: dict[str, list[Victim]] = field(default_factory=dict)
    allowed_stops: dict[StepKey, int] = field(default_factory=dict)
