"""Daemons under clients that keep to no limits, and the decisions about them."""
