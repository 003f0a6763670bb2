"""Thrift messages between VMs, with their client and server."""
