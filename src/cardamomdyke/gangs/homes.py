"""Claim homes: the backend servers that keep the claims of a key."""

from cardamomdyke.configuration.fold import KEY_RETENTION_SECONDS
from cardamomdyke.membership.hashing import choose_node
from cardamomdyke.model.tables import BackendServer, Configuration, iterate_servers


def list_claim_homes(
    configuration: Configuration, key: str, unix_now: float
) -> tuple[BackendServer, ...]:
    """Return the claim homes of a key, oldest server set first.

    Parameters
    ----------
    configuration : Configuration
        Configuration in force; all VMs with it derive the same homes.
    key : str
        Job id, or client account and idempotency key.
    unix_now : float
        Unix time, in seconds.

    Returns
    -------
    tuple of BackendServer
        One per remembered server set, without duplicates. A former home that left
        the pools table has no address; the next server in the key's rendezvous
        order replaces it.
    """
    present = {
        server.name: server for _, server in iterate_servers(configuration.tables)
    }
    sets = [
        tuple(name for name in former.servers if name in present)
        for former in configuration.former_servers
        if former.replaced_at + KEY_RETENTION_SECONDS > unix_now
    ]
    names = [choose_node(key, names) for names in (*sets, tuple(present))]
    return tuple(present[name] for name in dict.fromkeys(names) if name)
