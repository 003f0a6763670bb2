"""Scheduling decisions for jobs on backend servers, without any input or output."""
