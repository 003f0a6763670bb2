"""Short requests and the claims of their idempotency keys."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ShortRequest:
    """A request that uses one slot of a backend server.

    Attributes
    ----------
    request_id : str
        Unique id assigned by the VM that received the request.
    client_account : str
        Client account that is billed.
    service : str
        Service that answers it.
    body : bytes
        Passed on unchanged.
    content_type : str
        Media type of the body.
    repeatable : bool
        True when the request may safely run twice.
    idempotency_key : str
        Caller's key; empty for none.
    deadline_seconds : float
        Seconds from receipt or forwarding after which the answer is useless.
    first_attempt : bool
        True when the caller states that it never sent this idempotency key before.
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
    """Assigns the request of an idempotency key to one backend server.

    Attributes
    ----------
    key : str
        Client account and idempotency key, see `dispatch.claims.make_claim_key`.
    digest : str
        Digest of the request.
    server : str
        The backend server that may run it.
    boot_id : str
        Boot of that server; another boot does not know what ran.
    attempt : str
        Request id of the attempt that made the claim.
    """

    key: str
    digest: str
    server: str
    boot_id: str
    attempt: str
