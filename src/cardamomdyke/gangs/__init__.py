"""Pure state machine for the reservations, starts and leases of a gang."""
