"""Platform daemon: HTTP servers, store feeds, leader election and planner loop."""
