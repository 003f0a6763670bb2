"""Looks at servers that leave starts unanswered, and repeats of those starts.

A look is a poll that changes nothing on the server. If a server crashes after an
unanswered start, only looks can tell whether the run had begun there.
"""

from cardamomdyke.model.servers import RunLists
from cardamomdyke.planner.actions import SendStart
from cardamomdyke.planner.crashes import was_missing
from cardamomdyke.planner.members import Member, MemberPhase
from cardamomdyke.planner.polls import confirm_member
from cardamomdyke.planner.replies import START_TIMEOUT_SECONDS
from cardamomdyke.planner.state import PlannerState, list_holders

# A start is answered within a few milliseconds; each look has a cost.
LOOK_PERIOD_SECONDS = 0.06
# The answer to a look may be lost too, and the next one is to come soon.
LOOK_TIMEOUT_SECONDS = 0.3
# Between a repeat and the next look it is not known whether a crash was the task's, so
# repeats are several looks apart. The members of a gang wait for each other for 3 s.
REPEAT_PERIOD_SECONDS = 0.3


def is_unanswered(member: Member) -> bool:
    """Return whether this planner has sent a member's start without an answer."""
    return member.phase is MemberPhase.STARTING and member.last_sent_at > 0


def has_unanswered_starts(state: PlannerState, name: str) -> bool:
    """Return whether starts on a server are unanswered.

    A server that no longer answers polls is not worth a look.
    """
    server = state.servers.get(name)
    if server is None or server.failing_since:
        return False
    return any(is_unanswered(member) for _, _, member in list_holders(state, server))


def needs_look(state: PlannerState, name: str, now: float) -> bool:
    """Return whether a look at a server is due.

    One is due while a start was not seen to be missing since it was sent, and again
    directly before the start is repeated.
    """
    server = state.servers.get(name)
    return server is not None and any(
        is_unanswered(member)
        and (not was_missing(member) or is_repeat_due(member, now))
        for _, _, member in list_holders(state, server)
    )


def is_repeat_due(member: Member, now: float) -> bool:
    """Return whether an unanswered start is to be sent again if it is missing."""
    in_time = now - member.sent_at < START_TIMEOUT_SECONDS
    due = now - member.last_sent_at >= REPEAT_PERIOD_SECONDS
    return in_time and due and not member.stop_requested


def handle_look_answer(
    state: PlannerState, name: str, sent_at: float, lists: RunLists, now: float
) -> None:
    """Confirm the starts that a look shows; mark and repeat the missing ones.

    Only here is a start known to meet the instance that it was meant for; elsewhere it
    could crash a second one. Answers may overtake each other, so a look changes nothing
    else; a new instance and ended runs are left to the next poll.

    Parameters
    ----------
    state : PlannerState
        Modified in place.
    name : str
        Name of the server.
    sent_at : float
        When the look was sent, in steady-clock seconds.
    lists : RunLists
        Running and ended runs on the server.
    now : float
        Steady-clock seconds.
    """
    server = state.servers.get(name)
    if server is None or lists.instance != server.instance:
        return
    running = {(report.task, report.run) for report in lists.running}
    ended = {(end.task, end.run) for end in lists.ended}
    for job, unit, member in list_holders(state, server):
        attempt = unit.attempt
        if attempt is None or member.phase is not MemberPhase.STARTING:
            continue
        start = (job.make_task_id(unit, member.index), attempt.run)
        if start in running:
            confirm_member(state, job, unit, member, server, now)
        elif start not in ended:
            member.missing_at = max(member.missing_at, sent_at)
            if was_missing(member) and is_repeat_due(member, now):
                member.repeat_due = False
                state.actions.append(SendStart(name, *start))
