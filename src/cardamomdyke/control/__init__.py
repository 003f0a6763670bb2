"""Loop of a daemon on the platform: ingress, feeds, leadership and calls."""
