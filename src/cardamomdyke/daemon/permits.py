"""Checks whether tasks may start in a failure domain."""

from cardamomdyke.configuration.evidence import (
    Contact,
    Standing,
    check_mutual_contact,
    evaluate_standing,
    merge_contact,
    permit_starts,
)
from cardamomdyke.configuration.orders import list_orders
from cardamomdyke.daemon.node import Node
from cardamomdyke.model.errors import Problem, ProblemKind, make_problem
from cardamomdyke.model.tables import find_failure_domain


def check_start(node: Node, failure_domain: str) -> Problem | None:
    """Return why no task may start in a failure domain now.

    Parameters
    ----------
    node : Node
        The daemon's shared state.
    failure_domain : str
        Failure domain of the backend servers.

    Returns
    -------
    Problem or None
        None if a task may start.
    """
    node.detect_pause()
    configuration = node.configuration
    if configuration is None:
        message = "this VM has no configuration yet"
        return make_problem(ProblemKind.NO_CONFIGURATION, message)
    domain = find_failure_domain(configuration.tables, failure_domain)
    if domain is None:
        message = f"failure domain {failure_domain!r} is not in the tables"
        return make_problem(ProblemKind.FAILURE_DOMAIN_OUT, message)
    ordered_out = bool(list_orders(node.orders, failure_domain))
    if permit_starts(domain, ordered_out, find_standing(node)):
        return None
    node.counters.count("starts.held")
    out = ordered_out or not domain.in_service
    kind = ProblemKind.FAILURE_DOMAIN_OUT if out else ProblemKind.ISOLATED
    return make_problem(
        kind, f"no task may start in failure domain {failure_domain} now"
    )


def find_standing(node: Node) -> Standing:
    """Return whether the configuration in force is known to be current.

    Mutual contact counts only while the log is down and no own edit is undecided.
    """
    configuration = node.configuration
    if configuration is None:
        return Standing.ISOLATED
    now = node.clock()
    names = [domain.name for domain in configuration.tables.failure_domains]
    mutual = (
        node.log_down
        and node.edits_undecided == 0
        and check_mutual_contact(add_own_contact(node), names, now)
    )
    return evaluate_standing(node.evidence, configuration.version, mutual, now)


def add_own_contact(node: Node) -> tuple[Contact, ...]:
    """Return the contacts and this VM's own report that the log is down."""
    own = Contact(node.settings.failure_domain, down_at=node.clock())
    return merge_contact(node.contacts, own)
