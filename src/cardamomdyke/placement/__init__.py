"""Placement of jobs on accelerators, as pure functions."""
