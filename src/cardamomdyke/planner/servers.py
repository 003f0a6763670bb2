"""What the planner knows of a backend server.

Times are seconds on the daemon's steady clock unless they are called Unix times.
"""

from dataclasses import dataclass, field

from cardamomdyke.model.orders import Shape, TaskId
from cardamomdyke.model.servers import ServerEntry
from cardamomdyke.planner.inputs import UnitKey, UnrecordedEnd
from cardamomdyke.planner.leases import ClockReading

# Job id, unit and index of a task that holds resources on a server.
HolderKey = tuple[str, UnitKey, int]


@dataclass(slots=True)
class Server:
    """A backend server.

    Attributes
    ----------
    entry : ServerEntry
        Newest entry in the store.
    listed : bool
        True while the store lists it.
    instance : int
        Instance that answered last; 0 before the first answer.
    reading : ClockReading or None
        Newest reading of the server's clock; None before the first answer.
    lease_until : float
        End of the longest lease granted by this planner, on the server's clock.
    grant_sent_at : float
        When the newest poll that renews the lease was sent; 0 for never.
    late_grant_until : float
        Until when an order to an earlier instance may extend the lease; 0 if none can.
    inherited_until : float
        When all leases granted by earlier planners have expired.
    last_contact_at : float
        When it last answered; 0 for never.
    failing_since : float
        Since when it has not answered; 0 while it answers.
    starts_paused_until : float
        Time until which nothing is started here, after a refused start.
    processed_end : int
        Number of the last end that the planner processed.
    unrecorded_ends : list of UnrecordedEnd
        Processed ends that wait for their job's record, the earliest first.
    confirmed_end : int
        Number of the last end whose acknowledgement the server confirmed.
    holders : dict of HolderKey to Shape
        Members that hold resources, and how much.
    unknown_runs : dict of (TaskId, int) to Shape
        Resources of runs that belong to no attempt, by task and run.
    failed_job_ids : set of str
        Jobs with a failed run here since the last successful run.
    suspensions : int
        Number of consecutive suspensions.
    suspect_until : float
        Time until which it gets only units that fit nowhere else.
    suspended_until : float
        Time until which it gets no units.
    leaves_at : float
        When it leaves at the earliest, if at short notice; else 0.
    """

    entry: ServerEntry
    listed: bool = True
    instance: int = 0
    reading: ClockReading | None = None
    lease_until: float = 0.0
    grant_sent_at: float = 0.0
    late_grant_until: float = 0.0
    inherited_until: float = 0.0
    last_contact_at: float = 0.0
    failing_since: float = 0.0
    starts_paused_until: float = 0.0
    processed_end: int = 0
    unrecorded_ends: list[UnrecordedEnd] = field(default_factory=list)
    confirmed_end: int = 0
    holders: dict[HolderKey, Shape] = field(default_factory=dict)
    unknown_runs: dict[tuple[TaskId, int], Shape] = field(default_factory=dict)
    failed_job_ids: set[str] = field(default_factory=set)
    suspensions: int = 0
    suspect_until: float = 0.0
    suspended_until: float = 0.0
    leaves_at: float = 0.0

    @property
    def acknowledged(self) -> int:
        """Number of the last end up to which the effects of all are recorded."""
        if self.unrecorded_ends:
            return self.unrecorded_ends[0].number - 1
        return self.processed_end
