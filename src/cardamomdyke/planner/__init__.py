"""Planner of the platform's backend servers: pure decisions on jobs and runs."""
