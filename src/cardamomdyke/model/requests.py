"""Short requests as the callers submit them."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ShortRequest:
    """A request that occupies one slot of a backend server.

    Attributes
    ----------
    request_id : str
        Unique id given by the VM that took the request.
    client_account : str
        Client account that pays for it.
    service : str
        Service that answers it.
    body : bytes
        Passed on unchanged.
    content_type : str
        Media type of the body.
    repeatable : bool
        True when running it twice does no harm.
    idempotency_key : str
        Caller's key; empty when there is none.
    deadline_seconds : float
        Seconds, from now, after which the answer is of no use.
    first_attempt : bool
        True when the caller has sent this idempotency key never before.
    """

    request_id: str
    client_account: str
    service: str
    body: bytes
    content_type: str = "application/octet-stream"
    repeatable: bool = False
    idempotency_key: str = ""
    deadline_seconds: float = 30.0
    first_attempt: bool = False


@dataclass(frozen=True, slots=True)
class KeyClaim:
    """Which backend server may run the request of an idempotency key.

    Attributes
    ----------
    key : str
        Client account and idempotency key, see `dispatch.claims.make_claim_key`.
    digest : str
        Digest of the request.
    server : str
        Backend server chosen to run it.
    boot_id : str
        Boot of that backend server; another boot has forgotten what ran.
    attempt : str
        Request id of the attempt that made the claim.
    """

    key: str
    digest: str
    server: str
    boot_id: str
    attempt: str
