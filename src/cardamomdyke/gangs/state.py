"""State, events and actions of the state machine that runs a gang."""

from dataclasses import dataclass
from enum import StrEnum

from cardamomdyke.model.errors import Problem
from cardamomdyke.model.jobs import JobState, MemberPlacement


class Phase(StrEnum):
    """Phase of a gang at its planner."""

    QUEUED = "queued"
    CLAIMING = "claiming"
    RESERVING = "reserving"
    STARTING = "starting"
    MARKING = "marking"
    EXTENDING = "extending"
    RUNNING = "running"
    CHECKPOINTING = "checkpointing"
    STOPPING = "stopping"
    ENDED = "ended"


class Stage(StrEnum):
    """Progress of the gang that its claim records for a later planner."""

    QUEUED = "queued"
    STARTING = "starting"
    EXTENDING = "extending"
    ENDED = "ended"


class CallKind(StrEnum):
    """Call to the backend server of one member."""

    RESERVE = "reserve"
    START = "start"
    RENEW = "renew"
    CHECKPOINT = "checkpoint"
    RELEASE = "release"


class AnswerKind(StrEnum):
    """What the answer to a member's call proves.

    After ``LOST`` the call may have taken effect; ``NOT_SENT``, ``STALE`` and
    ``REFUSED`` prove that it did not.
    """

    RESERVED = "reserved"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    GONE = "gone"
    LOST = "lost"
    NOT_SENT = "not_sent"
    STALE = "stale"
    REFUSED = "refused"
    FENCED = "fenced"


class ClaimAnswerKind(StrEnum):
    """Result of a call to the claim home."""

    HELD = "held"
    OTHER = "other"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, slots=True)
class Member:
    """One member of a gang as its planner knows it.

    Times are seconds on the planner's steady clock.

    Attributes
    ----------
    state : AnswerKind or None
        Newest proof of its state; None before the first answer.
    pending : bool
        True while a call is in flight.
    may_hold : bool
        True once a reservation or start may have been sent.
    first_start_at : float
        Time of the first start that may have been sent; infinite before.
    may_hold_until : float
        Time after which it certainly holds no accelerators.
    renewed_at : float
        Sending time of the newest renewal that was answered.
    lease_from : float
        Time from which the lease of that renewal counts.
    retry_at : float
        Earliest time to repeat the call.
    boot_id : str
        Boot of its server when that last had the member; empty before.
    crashed : bool
        True once its server is known to have restarted since.
    checkpointed : bool
        True once the ordered checkpoint is confirmed.
    checkpoint_age_seconds : float
        Work that a stop would lose.
    answer : str
        Answer once finished, or error once failed.
    """

    state: AnswerKind | None = None
    pending: bool = False
    may_hold: bool = False
    first_start_at: float = float("inf")
    may_hold_until: float = float("-inf")
    renewed_at: float = float("-inf")
    lease_from: float = float("-inf")
    retry_at: float = float("-inf")
    boot_id: str = ""
    crashed: bool = False
    checkpointed: bool = False
    checkpoint_age_seconds: float = 0.0
    answer: str = ""


@dataclass(frozen=True, slots=True)
class Ending:
    """State of the job once all members have stopped.

    Attributes
    ----------
    state : JobState
        Final state, or ``QUEUED`` to queue the job again.
    problem : Problem or None
        Why the job did not finish.
    """

    state: JobState
    problem: Problem | None = None


@dataclass(frozen=True, slots=True)
class Gang:
    """State of one gang at its planner.

    Times are seconds on the planner's steady clock.

    Attributes
    ----------
    job_id : str
        Id of the gang's job.
    size : int
        Number of members.
    repeatable : bool
        True when the job may safely run twice.
    holder : str
        This planner: VM and incarnation.
    deadline_at : float
        Time after which the answer is useless; infinite for none.
    phase : Phase
        Current phase.
    epoch : int
        Epoch of the claim that this planner holds; 0 before the first.
    pending_claim : RequestClaim or None
        Claim call in flight.
    claimed_at : float
        Sending time of the newest call that proved this planner's claim.
    claim_retry_at : float
        Earliest time of the next claim call after an unanswered one.
    not_before : float
        Earliest time of a start, after a takeover or a failed attempt.
    suspect_servers : tuple of str
        Backend servers on which a previous planner may have started members.
    unknown_history : bool
        True while no claim tells what a previous planner did: the claim home
        restarted, the previous planner never reached it, or a backend server knows a
        later epoch than the claim home.
    fenced : bool
        True after a suspect server refused a release, until the next epoch is taken.
    was_extended : bool
        True when a new start might repeat work that already counted.
    placements : tuple of MemberPlacement
        One entry per member; empty before placement.
    borrowed : bool
        True when placed outside the client account's guarantee.
    members : tuple of Member
        One entry per member; empty before placement.
    phase_entered_at : float
        Time of the last change of phase.
    renewal_round_at : float
        Start of the current renewal round.
    renewal_seconds : float
        Interval between renewal rounds.
    end_marked : bool
        True once the end is recorded where a later planner finds it.
    started_at : float
        Time of the first start; infinite before.
    attempts : int
        Placements since the gang last ran that did not get it running.
    failed_servers : tuple of str
        Backend servers on which members failed by themselves, one per failure.
    crashed_servers : tuple of str
        Backend servers that crashed at the gang's starts, one per attempt, since it
        last outlived a start.
    ending : Ending or None
        What follows once all members have stopped; None while undecided.
    """

    job_id: str
    size: int
    repeatable: bool
    holder: str
    deadline_at: float = float("inf")
    phase: Phase = Phase.QUEUED
    epoch: int = 0
    pending_claim: "RequestClaim | None" = None
    claimed_at: float = float("-inf")
    claim_retry_at: float = float("-inf")
    not_before: float = float("-inf")
    suspect_servers: tuple[str, ...] = ()
    unknown_history: bool = False
    fenced: bool = False
    was_extended: bool = False
    placements: tuple[MemberPlacement, ...] = ()
    borrowed: bool = False
    members: tuple[Member, ...] = ()
    phase_entered_at: float = float("-inf")
    renewal_round_at: float = float("-inf")
    renewal_seconds: float = 3.0
    end_marked: bool = False
    started_at: float = float("inf")
    attempts: int = 0
    failed_servers: tuple[str, ...] = ()
    crashed_servers: tuple[str, ...] = ()
    ending: Ending | None = None


@dataclass(frozen=True, slots=True)
class ObservedMember:
    """A gang member that a backend server's inventory shows.

    Attributes
    ----------
    member : int
        Index within the gang, from 0.
    placement : MemberPlacement
        Its server and accelerators.
    state : AnswerKind
        ``RESERVED``, ``RUNNING``, ``FINISHED``, ``FAILED`` or ``STOPPED``.
    confirmed : bool
        True once extended, so that its work counts.
    borrowed : bool
        True when placed outside the client account's guarantee.
    epoch : int
        Highest epoch that its backend server has seen.
    """

    member: int
    placement: MemberPlacement
    state: AnswerKind
    confirmed: bool
    borrowed: bool
    epoch: int


@dataclass(frozen=True, slots=True)
class Placed:
    """The placement policy chose accelerators for a queued gang."""

    placements: tuple[MemberPlacement, ...]
    borrowed: bool = False


@dataclass(frozen=True, slots=True)
class ClaimAnswered:
    """A claim call was answered or failed.

    Attributes
    ----------
    kind : ClaimAnswerKind
        ``HELD`` when the requested claim is in force.
    epoch : int
        Epoch of the claim in force.
    holder : str
        Holder of the claim in force.
    stage : Stage
        Progress of the gang in the claim in force.
    servers : tuple of str
        Backend servers that the claim in force names.
    sent_at : float
        Sending time, by the planner's steady clock.
    """

    kind: ClaimAnswerKind
    epoch: int = 0
    holder: str = ""
    stage: Stage = Stage.QUEUED
    servers: tuple[str, ...] = ()
    sent_at: float = float("-inf")


@dataclass(frozen=True, slots=True)
class MemberAnswered:
    """A call to the backend server of one member was answered or failed.

    Attributes
    ----------
    call : CallMember
        The call.
    kind : AnswerKind
        What the answer proves.
    sent_at : float
        Sending time, by the planner's steady clock.
    checkpoint_age_seconds : float
        Work that a stop would lose.
    answer : str
        The member's answer or error.
    boot_id : str
        Boot of the backend server that answered; empty without an answer.
    """

    call: "CallMember"
    kind: AnswerKind
    sent_at: float
    checkpoint_age_seconds: float = 0.0
    answer: str = ""
    boot_id: str = ""


@dataclass(frozen=True, slots=True)
class Ticked:
    """Time has passed; timeouts and retries may be due."""


@dataclass(frozen=True, slots=True)
class CancelRequested:
    """The caller cancelled the job."""


@dataclass(frozen=True, slots=True)
class PreemptionRequested:
    """The policy needs the gang's accelerators for another job."""


@dataclass(frozen=True, slots=True)
class EndRecorded:
    """The log holds the job's end."""


@dataclass(frozen=True, slots=True)
class Adopted:
    """Every member that a previous planner started was found in an inventory.

    Attributes
    ----------
    placements : tuple of MemberPlacement
        One entry per member.
    borrowed : bool
        True when placed outside the client account's guarantee.
    epoch : int
        Highest epoch that the members' backend servers have seen.
    """

    placements: tuple[MemberPlacement, ...]
    borrowed: bool
    epoch: int


@dataclass(frozen=True, slots=True)
class SuspectServersCleared:
    """No suspect server holds a member, and all know the new epoch."""


@dataclass(frozen=True, slots=True)
class ReleaseFenced:
    """A suspect server knows a later epoch and refused to release members.

    Attributes
    ----------
    epoch : int
        Epoch of the refused call.
    """

    epoch: int


@dataclass(frozen=True, slots=True)
class PartialGangFound:
    """Members of a previous planner were extended, but not all can be adopted."""


Event = (
    Placed
    | ClaimAnswered
    | MemberAnswered
    | Ticked
    | CancelRequested
    | PreemptionRequested
    | EndRecorded
    | Adopted
    | SuspectServersCleared
    | ReleaseFenced
    | PartialGangFound
)


@dataclass(frozen=True, slots=True)
class RequestClaim:
    """Validate the job's claim, or replace it by one with the next epoch.

    Attributes
    ----------
    epoch : int
        Epoch of the requested claim.
    stage : Stage
        Progress of the gang to record in the claim.
    servers : tuple of str
        Backend servers to name in the claim.
    take : bool
        True to replace the claim in force, which must have a lower epoch.
    """

    epoch: int
    stage: Stage
    servers: tuple[str, ...]
    take: bool


@dataclass(frozen=True, slots=True)
class CallMember:
    """Call the backend server of one member.

    Attributes
    ----------
    kind : CallKind
        Operation to call.
    member : int
        Index within the gang, from 0.
    epoch : int
        First part of the fencing token.
    not_after : float
        Latest sending time, by the planner's steady clock.
    lease_from : float
        Time from which a renewed lease counts, at the latest its sending.
    """

    kind: CallKind
    member: int
    epoch: int
    not_after: float
    lease_from: float = float("inf")


@dataclass(frozen=True, slots=True)
class Superseded:
    """Drop the job, because another planner holds it."""


Action = RequestClaim | CallMember | Superseded
