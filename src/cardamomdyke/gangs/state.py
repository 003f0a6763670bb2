"""Data of one gang: its state, what can happen to it and what it asks for."""

from dataclasses import dataclass
from enum import StrEnum

from cardamomdyke.model.errors import Problem
from cardamomdyke.model.jobs import JobState, MemberPlacement


class Phase(StrEnum):
    """How far a gang is."""

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
    """What the job's claim says of the gang, for a later planner."""

    QUEUED = "queued"
    STARTING = "starting"
    EXTENDING = "extending"
    ENDED = "ended"


class CallKind(StrEnum):
    """Calls to the backend server of one member."""

    RESERVE = "reserve"
    START = "start"
    RENEW = "renew"
    CHECKPOINT = "checkpoint"
    RELEASE = "release"


class AnswerKind(StrEnum):
    """What the answer to a member's call proves.

    ``LOST`` leaves open whether the call took effect. ``NOT_SENT``, ``STALE``
    and ``REFUSED`` prove that it did not.
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
    """What the claim home answered."""

    HELD = "held"
    OTHER = "other"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, slots=True)
class Member:
    """One member of a gang as its planner knows it.

    Attributes
    ----------
    state : AnswerKind or None
        Newest proof of its state; None before the first.
    pending : bool
        True while a call is in flight.
    may_hold : bool
        True once a call that can hold accelerators may have left.
    first_start_at : float
        Time of the first start that may have left; infinite before.
    may_hold_until : float
        Time after which it certainly holds nothing, by the planner's clock.
    renewed_at : float
        Time of sending of the newest renewal that was answered.
    retry_at : float
        Time of the next call of the same kind.
    checkpointed : bool
        True once the checkpoint that was ordered is confirmed.
    checkpoint_age_seconds : float
        Work that a stop would lose.
    answer : str
        Its answer once finished, or its error once failed.
    """

    state: AnswerKind | None = None
    pending: bool = False
    may_hold: bool = False
    first_start_at: float = float("inf")
    may_hold_until: float = float("-inf")
    renewed_at: float = float("-inf")
    retry_at: float = float("-inf")
    checkpointed: bool = False
    checkpoint_age_seconds: float = 0.0
    answer: str = ""


@dataclass(frozen=True, slots=True)
class Ending:
    """How a job ends, once its members have stopped.

    Attributes
    ----------
    state : JobState
        Final state; ``QUEUED`` sends it back into the queue.
    problem : Problem or None
        Reason when it did not finish.
    """

    state: JobState
    problem: Problem | None = None


@dataclass(frozen=True, slots=True)
class Gang:
    """State of one gang at its planner.

    Attributes
    ----------
    job_id : str
        Job that it runs.
    size : int
        Number of members.
    repeatable : bool
        True when running it twice does no harm.
    holder : str
        This planner: VM and incarnation.
    deadline_at : float
        Time after which its answer is of no use; infinite for none.
    phase : Phase
        How far it is.
    epoch : int
        Epoch of the claim that this planner holds; 0 before the first.
    pending_claim : RequestClaim or None
        Claim call in flight.
    claimed_at : float
        Time of sending of the newest claim call that proved this planner's claim.
    claim_retry_at : float
        Time of the next claim call after one without an answer.
    not_before : float
        Time of the first start allowed, after a takeover or a failed attempt.
    suspect_servers : tuple of str
        Backend servers on which a former planner may have started members.
    unknown_history : bool
        True while no claim tells what a former planner did: the claim home
        restarted, or the former planner never reached it.
    was_extended : bool
        True when work may have counted that a later start would repeat.
    placements : tuple of MemberPlacement
        One entry per member from its placement on.
    borrowed : bool
        True when placed outside the client account's guarantee.
    members : tuple of Member
        One entry per member from its placement on.
    phase_entered_at : float
        Time of the last change of phase.
    renewal_round_at : float
        Time of the current round of renewals.
    renewal_seconds : float
        Time between rounds of renewals.
    end_marked : bool
        True once the end is recorded where a later planner finds it.
    started_at : float
        Time of the first start; infinite before.
    attempts : int
        Placements that did not lead to a running gang, since the last that did.
    failed_servers : tuple of str
        Backend servers on which members failed by themselves, one per failure.
    ending : Ending or None
        What follows once all members have stopped.
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
    ending: Ending | None = None


@dataclass(frozen=True, slots=True)
class ObservedMember:
    """A member that a backend server's inventory shows.

    Attributes
    ----------
    member : int
        Index within the gang, from 0.
    placement : MemberPlacement
        Where it is.
    state : AnswerKind
        ``RESERVED``, ``RUNNING``, ``FINISHED``, ``FAILED`` or ``STOPPED``.
    confirmed : bool
        True once it was extended, so that its work counts.
    borrowed : bool
        True when held outside the guarantee.
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
    """The policy chose accelerators for a queued gang."""

    placements: tuple[MemberPlacement, ...]
    borrowed: bool = False


@dataclass(frozen=True, slots=True)
class ClaimAnswered:
    """A claim call ended.

    Attributes
    ----------
    kind : ClaimAnswerKind
        ``HELD`` when the claim asked for is in force.
    epoch : int
        Epoch of the claim in force.
    holder : str
        Holder of the claim in force.
    stage : Stage
        What the claim in force says of the gang.
    servers : tuple of str
        Backend servers that the claim in force names.
    sent_at : float
        Time of sending.
    """

    kind: ClaimAnswerKind
    epoch: int = 0
    holder: str = ""
    stage: Stage = Stage.QUEUED
    servers: tuple[str, ...] = ()
    sent_at: float = float("-inf")


@dataclass(frozen=True, slots=True)
class MemberAnswered:
    """A call to the backend server of one member ended.

    Attributes
    ----------
    call : CallMember
        What was asked.
    kind : AnswerKind
        What the answer proves.
    sent_at : float
        Time of sending.
    checkpoint_age_seconds : float
        Work that a stop would lose.
    answer : str
        The member's answer or error.
    """

    call: "CallMember"
    kind: AnswerKind
    sent_at: float
    checkpoint_age_seconds: float = 0.0
    answer: str = ""


@dataclass(frozen=True, slots=True)
class Ticked:
    """Time passed."""


@dataclass(frozen=True, slots=True)
class CancelRequested:
    """The caller cancels the job."""


@dataclass(frozen=True, slots=True)
class PreemptionRequested:
    """The policy needs the gang's accelerators for another job."""


@dataclass(frozen=True, slots=True)
class EndRecorded:
    """The log holds the job's end."""


@dataclass(frozen=True, slots=True)
class Adopted:
    """Inventories show every member of the gang, started by a former planner.

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
    """No suspect backend server holds a member, and each knows the new epoch."""


@dataclass(frozen=True, slots=True)
class PartialGangFound:
    """A former planner's members had their extension but cannot be adopted whole."""


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
    | PartialGangFound
)


@dataclass(frozen=True, slots=True)
class RequestClaim:
    """Validate the job's claim, or replace it by one with the next epoch.

    Attributes
    ----------
    epoch : int
        Epoch that this planner wants to hold.
    stage : Stage
        What the claim shall say of the gang.
    servers : tuple of str
        Backend servers that it shall name.
    take : bool
        True to replace the claim in force; it must have a lower epoch.
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
        What to ask.
    member : int
        Index within the gang, from 0.
    epoch : int
        First part of the fencing token.
    not_after : float
        The call must not be sent later than this.
    """

    kind: CallKind
    member: int
    epoch: int
    not_after: float


@dataclass(frozen=True, slots=True)
class Superseded:
    """Another planner holds the job; this one forgets it."""


Action = RequestClaim | CallMember | Superseded
