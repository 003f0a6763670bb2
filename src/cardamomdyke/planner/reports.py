"""What reports of runs and ends say of checkpoints and progress."""

from cardamomdyke.model.servers import EndKind, EndReport, RunReport
from cardamomdyke.planner.state import Unit
from cardamomdyke.scheduling.endings import update_progress


def keep_report(unit: Unit, report: RunReport, now: float) -> None:
    """Keep the checkpoint and progress of a listed run."""
    attempt = unit.attempt
    if attempt is None:
        return
    attempt.progress = update_progress(attempt.progress, report.percent, now)
    is_new = report.checkpoint and report.checkpoint != unit.checkpoint
    if is_new and not attempt.saved_at_stop:
        unit.checkpoint = report.checkpoint
        attempt.checkpoint_seen_at = now


def keep_checkpoint(unit: Unit, end: EndReport) -> None:
    """Keep the checkpoint of an ended run, for the next one to resume from.

    A run saves a new checkpoint at its stop. The first stopped member of a gang ends
    the others, which may report an older checkpoint afterwards.
    """
    attempt = unit.attempt
    if attempt is not None:
        if end.kind is EndKind.STOPPED:
            attempt.saved_at_stop = True
        elif attempt.saved_at_stop:
            return
    unit.checkpoint = end.checkpoint
