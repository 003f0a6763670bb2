"""Leases and time limits of gangs, in seconds."""

# A claim may be used for this long after sending the call that proved it.
CLAIM_VALID_SECONDS = 2.0
# Backend servers refuse starts with an older ticket, so a start in transit takes no
# effect after this.
TICKET_VALID_SECONDS = 2.0
RESERVATION_LEASE_SECONDS = 2.0
START_LEASE_SECONDS = 2.0
RUN_LEASE_SECONDS = 10.0
RENEWAL_PERIOD_SECONDS = 3.0
# The other members are stopped this long before the lease of a silent member can
# end, so that they do not outlive it while the stop is in transit.
STOP_MARGIN_SECONDS = 1.0
# From taking another planner's claim to the first start: claim validity plus
# reservation lease, after which calls of a frozen planner have no effect.
TAKEOVER_WAIT_SECONDS = 4.0
CHECKPOINT_TIMEOUT_SECONDS = 1.0
# A call not sent within this time of its decision is dropped, for example because
# the process was frozen.
MAX_SEND_DELAY_SECONDS = 0.5
# The extension is sent at least this long before the first start lease can end;
# otherwise only some members might get it.
EXTENSION_MARGIN_SECONDS = 0.5
# Without all confirmations of the extension, the gang is stopped after this.
EXTENSION_TIMEOUT_SECONDS = 3.0
RESERVING_TIMEOUT_SECONDS = 2.0
RETRY_WAIT_SECONDS = 0.2
# Covers the drift between the clocks of planner and backend server.
CLOCK_MARGIN_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 5.0
# Failures of its own members after which a job ends as failed.
MAX_MEMBER_FAILURES = 3
# A gang whose renewals are answered this long after its start has outlived the start; a
# later crash of a server does not count against it.
START_RISK_SECONDS = 1.0
# Crashes of servers at a gang's starts after which its job ends as failed. The third
# spares a sound job that was twice on a server that crashed for another reason.
MAX_START_CRASHES = 3
# Time for the log to record a complete answer before the end goes into the claim.
LOG_RECORD_WAIT_SECONDS = 2.0
