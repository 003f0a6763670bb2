"""The event loop of one VM: sockets, timers and wiring."""
