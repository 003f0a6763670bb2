"""Scheduling of jobs on backend servers: pure decisions, no I/O."""
