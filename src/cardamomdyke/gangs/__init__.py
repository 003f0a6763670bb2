"""Pure state machine of a gang's reservations, starts and leases."""
