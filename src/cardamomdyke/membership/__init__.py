"""View of all VMs, rendezvous hashing and planner candidates."""
