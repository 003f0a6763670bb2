"""Leases and limits of gangs, in seconds."""

# A claim may be used for this long after the call that proved it was sent.
CLAIM_VALID_SECONDS = 2.0
# Backend servers refuse starts with an older ticket, so a start that is still on
# its way takes no effect after this.
TICKET_VALID_SECONDS = 2.0
RESERVATION_LEASE_SECONDS = 2.0
START_LEASE_SECONDS = 2.0
RUN_LEASE_SECONDS = 10.0
RENEWAL_SECONDS = 3.0
# The other members are stopped this long before a silent member's lease can
# end, so that they do not outlive it while the stop is on its way.
STOP_MARGIN_SECONDS = 1.0
# From taking another planner's claim to the first start: claim validity and
# reservation lease, after which a frozen planner's calls are void.
TAKEOVER_WAIT_SECONDS = 4.0
CHECKPOINT_LIMIT_SECONDS = 1.0
# A call not sent this soon after the decision is dropped, for example because
# the process froze.
SEND_LIMIT_SECONDS = 0.5
# The extension is not sent later than this before the first start lease can
# end; otherwise some members could get it and others not.
EXTENSION_MARGIN_SECONDS = 0.5
# Without all answers to the extension the gang is stopped after this.
EXTENSION_LIMIT_SECONDS = 3.0
RESERVING_LIMIT_SECONDS = 2.0
RETRY_SECONDS = 0.2
# Covers the difference in rate between the clocks of planner and backend server.
CLOCK_MARGIN_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 5.0
# A job that ended by its own failure this often is failed as its own fault.
OWN_FAILURE_LIMIT = 3
# The log has this long to record a whole answer before the claim alone does.
LOG_FIRST_SECONDS = 2.0
