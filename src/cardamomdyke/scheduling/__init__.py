"""Scheduling decisions of the platform's planner and entry VMs; pure."""
