"""Direct orders that take failure domains out of service without the log."""

from collections.abc import Iterable
from dataclasses import dataclass

from cardamomdyke.model.tables import Configuration

MAX_ORDERS = 64


@dataclass(frozen=True, slots=True)
class Order:
    """Order to take a failure domain out of service.

    Attributes
    ----------
    order_id : str
        Unique id; the order is settled once an accepted configuration lists it.
    failure_domain : str
        Failure domain to take out.
    issued_at : float
        Unix time, in seconds.
    """

    order_id: str
    failure_domain: str
    issued_at: float


def merge_orders(
    known: tuple[Order, ...],
    new: Iterable[Order],
    configuration: Configuration | None,
) -> tuple[Order, ...]:
    """Merge received orders and drop those that the configuration settles.

    Parameters
    ----------
    known : tuple of Order
        Orders in force here.
    new : iterable of Order
        Orders received.
    configuration : Configuration or None
        Configuration in force.

    Returns
    -------
    tuple of Order
        The newest `MAX_ORDERS` in force, by time of issue.
    """
    settled = frozenset(configuration.settled_orders if configuration else ())
    orders = {order.order_id: order for order in (*known, *new)}
    open_orders = [order for key, order in orders.items() if key not in settled]
    open_orders.sort(key=lambda order: (order.issued_at, order.order_id))
    return tuple(open_orders[-MAX_ORDERS:])


def list_orders(orders: Iterable[Order], failure_domain: str) -> tuple[Order, ...]:
    """Return the orders to take out one failure domain."""
    return tuple(order for order in orders if order.failure_domain == failure_domain)
