"""Tasks of an attempt, and their phases.

Times are seconds on the daemon's steady clock.
"""

from dataclasses import dataclass
from enum import StrEnum

from cardamomdyke.model.servers import EndKind


class MemberPhase(StrEnum):
    """Phase of one task of an attempt.

    Attributes
    ----------
    PLANNED
        The attempt is not recorded yet, so no start was sent.
    STARTING
        The start may have been sent, and is not confirmed.
    RUNNING
        The server has confirmed the run.
    ENDED
        The run has ended or never started; its resources are free.
    """

    PLANNED = "planned"
    STARTING = "starting"
    RUNNING = "running"
    ENDED = "ended"


@dataclass(slots=True)
class Member:
    """One task of an attempt.

    Attributes
    ----------
    index : int
        Index of the task within its step.
    server : str
        Name of the backend server.
    instance : int
        Server instance to which the start is addressed.
    phase : MemberPhase
        Current phase.
    inherited : bool
        True when an earlier planner sent the start.
    repeat_due : bool
        True when the start got no answer and is to be repeated.
    sent_at : float
        When the start was first sent.
    last_sent_at : float
        When this planner last sent the start; 0 for never.
    missing_at : float
        When the newest poll was sent whose answer did not list the run; 0 for none.
    confirmed_at : float
        When the run was last confirmed.
    stop_requested : bool
        True once the run is to be stopped.
    stop_sent_at : float
        When the stop was last sent; 0 for never.
    stop_confirmed_at : float
        When the server confirmed the stop; 0 for not yet.
    end : EndKind or None
        How the run ended; None while it runs, if unknown, or if it never ran.
    at_work : bool
        True once a long-running task has finished its start.
    """

    index: int
    server: str
    instance: int
    phase: MemberPhase = MemberPhase.PLANNED
    inherited: bool = False
    repeat_due: bool = False
    sent_at: float = 0.0
    last_sent_at: float = 0.0
    missing_at: float = 0.0
    confirmed_at: float = 0.0
    stop_requested: bool = False
    stop_sent_at: float = 0.0
    stop_confirmed_at: float = 0.0
    end: EndKind | None = None
    at_work: bool = False
