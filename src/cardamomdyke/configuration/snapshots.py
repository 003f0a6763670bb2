"""Decides when a VM appends the snapshot again."""

from collections.abc import Iterable

from cardamomdyke.membership.hashing import rank_nodes

# A snapshot is due after this share of the log's retention.
SNAPSHOT_RETENTION_SHARE = 0.25
# Wait of each VM for the one before it in the order.
TURN_WAIT_SECONDS = 5.0
# VMs' clocks differ by less; a record dated further ahead has no usable age.
MAX_CLOCK_DIFFERENCE_SECONDS = 60.0


def find_turn_delay(key: str, vm: str, live_vms: Iterable[str]) -> float:
    """Return how long a VM waits for those before it in the rendezvous order.

    Parameters
    ----------
    key : str
        Rendezvous key; names an action that one VM is to take.
    vm : str
        This VM.
    live_vms : iterable of str
        VMs that may take it.

    Returns
    -------
    float
        Seconds; 0 for the first VM.
    """
    return rank_nodes(key, {vm, *live_vms}).index(vm) * TURN_WAIT_SECONDS


def check_snapshot_due(
    carried_at: float, unix_now: float, retention_seconds: float, delay_seconds: float
) -> bool:
    """Check whether this VM must append the snapshot.

    Parameters
    ----------
    carried_at : float
        Unix time, in seconds, of the newest record with the version in force.
    unix_now : float
        Unix time, in seconds.
    retention_seconds : float
        How long the log keeps a record.
    delay_seconds : float
        See `find_turn_delay`.

    Returns
    -------
    bool
        True if the record is too old and the wait is over, or if its date is too far
        in the future.
    """
    age = unix_now - carried_at
    if age < -MAX_CLOCK_DIFFERENCE_SECONDS:
        return True
    return age >= retention_seconds * SNAPSHOT_RETENTION_SHARE + delay_seconds
