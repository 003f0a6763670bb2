"""State of one backend server, without sockets.

Times are steady-clock seconds, passed in by the caller; usage is in Unix time.
"""

from dataclasses import dataclass, field
from typing import Any

TICKET_VALID_SECONDS = 2.0
KEY_RETENTION_SECONDS = 600.0
# A younger backend server refuses even claims marked as the first.
MIN_FIRST_CLAIM_AGE_SECONDS = 10.0


class RefusalError(Exception):
    """A call that had no effect.

    Parameters
    ----------
    reason : str
        Machine-readable reason.
    detail : str
        Explanation for people.
    """

    def __init__(self, reason: str, detail: str = "") -> None:
        super().__init__(f"{reason}: {detail}")
        self.reason = reason
        self.detail = detail


@dataclass
class Task:
    """One gang member; `started_at` and `ended_at` are 0 until known."""

    job_id: str
    member: int
    gang_size: int
    epoch: int
    holder: str
    client_account: str
    accelerators: tuple[int, ...]
    borrowed: bool
    specification: str
    lease_until: float
    run_seconds: float
    state: str = "reserved"
    confirmed: bool = False
    started_at: float = 0.0
    ended_at: float = 0.0
    checkpoint_at: float = 0.0
    usage_recorded_until: float = 0.0
    answer: str = ""


@dataclass
class BackendState:
    """Slots, accelerators, claims, tasks and usage of one backend server.

    Attributes
    ----------
    name : str
        Name of the backend server.
    boot_id : str
        Differs after each restart.
    accelerators : int
        Number of accelerators.
    slots : int
        Maximum number of concurrent short requests.
    booted_at : float
        Time of the boot.
    unix_offset_seconds : float
        Unix time minus steady-clock time.
    events : list of tuple
        Time, kind, job id or request marker, and member of each start and end.
    """

    name: str
    boot_id: str
    accelerators: int
    slots: int
    booted_at: float = float("-inf")
    unix_offset_seconds: float = 0.0
    draining: bool = False
    fail_tasks: bool = False
    busy_slots: int = 0
    answers: dict[str, bytes] = field(default_factory=dict)
    running: set[str] = field(default_factory=set)
    failed: set[str] = field(default_factory=set)
    claims: dict[str, dict[str, Any]] = field(default_factory=dict)
    key_claims: dict[str, tuple[float, dict[str, Any]]] = field(default_factory=dict)
    tasks: dict[tuple[str, int], Task] = field(default_factory=dict)
    fences: dict[str, tuple[int, str]] = field(default_factory=dict)
    usage: list[dict[str, Any]] = field(default_factory=list)
    events: list[tuple[float, str, str, int]] = field(default_factory=list)

    def make_ticket(self, now: float) -> str:
        """Return a start ticket: boot id and milliseconds."""
        return f"{self.boot_id}:{int(now * 1000)}"

    def check_ticket(self, ticket: str, now: float) -> None:
        """Refuse a ticket that expired or is of another boot."""
        if now - self.read_ticket(ticket) > TICKET_VALID_SECONDS:
            raise RefusalError("stale_ticket", "ticket is too old")

    def read_ticket(self, ticket: str) -> float:
        """Return the time of issue of a ticket; refuse one of another boot."""
        boot_id, _, issued = ticket.rpartition(":")
        if boot_id != self.boot_id:
            raise RefusalError("stale_ticket", "ticket of another boot")
        return int(issued) / 1000

    def find_renewal_end(self, call: dict[str, Any], now: float) -> float:
        """Return the end of a renewed lease, which counts from a time of its sender.

        A late or duplicated renewal must not extend a lease beyond what its sender
        counted on.
        """
        lease_from = self.read_ticket(call["ticket"]) + call["ticket_age_seconds"]
        lease_until: float = min(lease_from, now) + call["lease_seconds"]
        if lease_until <= now:
            raise RefusalError("stale_ticket", "the lease ended before the renewal")
        return lease_until

    def start_request(
        self, request_id: str, ticket: str, now: float, marker: str = ""
    ) -> bytes | None:
        """Occupy a slot, or return the stored answer of the same id."""
        if request_id in self.answers:
            return self.answers[request_id]
        if request_id in self.failed:
            raise RefusalError("failed", request_id)
        if request_id in self.running:
            raise RefusalError("in_progress", request_id)
        if self.draining:
            raise RefusalError("draining", self.name)
        self.check_ticket(ticket, now)
        if self.busy_slots >= self.slots:
            raise RefusalError("busy", f"{self.slots} slots in use")
        self.busy_slots += 1
        self.running.add(request_id)
        self.events.append((now, "request", marker or request_id, 0))
        return None

    def end_request(self, request_id: str, answer: bytes) -> None:
        """Release the slot and store the answer."""
        self.busy_slots -= 1
        self.running.discard(request_id)
        self.answers[request_id] = answer

    def fail_request(self, request_id: str) -> RefusalError:
        """Release the slot, store the failure and return it."""
        self.busy_slots -= 1
        self.running.discard(request_id)
        self.failed.add(request_id)
        return RefusalError("failed", request_id)

    def find_answer(self, request_id: str, ticket: str, now: float) -> bytes:
        """Return the answer of a request.

        Raises
        ------
        RefusalError
            When there is none; ``unknown`` means that the request did not run and
            that a start with this ticket will be refused.
        """
        if request_id in self.answers:
            return self.answers[request_id]
        if request_id in self.failed:
            raise RefusalError("failed", request_id)
        if request_id in self.running:
            raise RefusalError("in_progress", request_id)
        boot_id, _, issued = ticket.rpartition(":")
        if not ticket:
            raise RefusalError("pending", "the start's ticket is not given")
        if boot_id != self.boot_id:
            raise RefusalError("forgotten", "the start was before a restart")
        if now - int(issued) / 1000 <= TICKET_VALID_SECONDS:
            raise RefusalError("pending", "the start may still arrive")
        raise RefusalError("unknown", request_id)

    def claim_request(
        self, claim: dict[str, Any], first: bool, ticket: str, now: float
    ) -> tuple[dict[str, Any], bool, float]:
        """Store the first claim of an idempotency key for `KEY_RETENTION_SECONDS`.

        A restart loses the claims, so a server younger than that accepts only
        claims marked as the first of their key. Returns the claim in force, whether
        this call stored it, and its remaining seconds.
        """
        claimed_at, existing = self.key_claims.get(claim["key"], (float("-inf"), claim))
        remaining = claimed_at + KEY_RETENTION_SECONDS - now
        if remaining > 0:
            return existing, False, remaining
        if first:
            self.check_ticket(ticket, now)
        min_age_seconds = (
            MIN_FIRST_CLAIM_AGE_SECONDS if first else KEY_RETENTION_SECONDS
        )
        if now - self.booted_at < min_age_seconds:
            raise RefusalError("forgotten", "earlier claims are not known")
        self.key_claims[claim["key"]] = (now, claim)
        return claim, True, KEY_RETENTION_SECONDS

    def claim_key(self, claim: dict[str, Any]) -> tuple[dict[str, Any], bool]:
        """Return the claim of a key and whether this call stored it."""
        existing = self.claims.get(claim["key"])
        if existing is not None:
            return existing, False
        self.claims[claim["key"]] = claim
        return claim, True

    def take_claim(self, claim: dict[str, Any]) -> dict[str, Any]:
        """Replace a claim by one with a higher epoch."""
        existing = self.claims.get(claim["key"])
        if existing is not None and existing["epoch"] >= claim["epoch"]:
            raise RefusalError("fenced", f"epoch {existing['epoch']} is in force")
        self.claims[claim["key"]] = claim
        return claim

    def reserve_member(
        self, call: dict[str, Any], run_seconds: float, now: float
    ) -> Task:
        """Reserve accelerators under a lease; a repetition extends it."""
        self.expire_leases(now)
        self.check_ticket(call["ticket"], now)
        if self.draining:
            raise RefusalError("draining", self.name)
        self.check_fence(call["job_id"], call["epoch"], call["holder"])
        key = (call["job_id"], call["member"])
        requested = tuple(call["accelerators"])
        existing = self.tasks.get(key)
        if existing is not None:
            same = (existing.epoch, existing.holder, existing.accelerators) == (
                call["epoch"],
                call["holder"],
                requested,
            )
            if existing.state == "reserved" and same:
                existing.lease_until = now + call["lease_seconds"]
                return existing
            raise RefusalError("conflict", f"member exists in state {existing.state}")
        if any(index >= self.accelerators or index < 0 for index in requested):
            raise RefusalError("bad_request", "no such accelerator")
        held = {
            index
            for task in self.tasks.values()
            if task.state in ("reserved", "running")
            for index in task.accelerators
        }
        if held & set(requested):
            raise RefusalError(
                "conflict", f"accelerators {sorted(held & set(requested))} are held"
            )
        task = Task(
            job_id=call["job_id"],
            member=call["member"],
            gang_size=call["gang_size"],
            epoch=call["epoch"],
            holder=call["holder"],
            client_account=call["client_account"],
            accelerators=requested,
            borrowed=call.get("borrowed", False),
            specification=call.get("specification", ""),
            lease_until=now + call["lease_seconds"],
            run_seconds=run_seconds,
        )
        self.tasks[key] = task
        return task

    def check_fence(self, job_id: str, epoch: int, holder: str) -> None:
        """Refuse a fencing token below the highest of the job."""
        highest = self.fences.get(job_id, (0, ""))
        if (epoch, holder) < highest:
            raise RefusalError("fenced", f"token {highest} is in force")
        self.fences[job_id] = (epoch, holder)

    def find_task(self, call: dict[str, Any]) -> Task:
        """Check the fencing token of a call and return its member."""
        self.check_fence(call["job_id"], call["epoch"], call["holder"])
        task = self.tasks.get((call["job_id"], call["member"]))
        if task is None:
            raise RefusalError("unknown", f"{call['job_id']}/{call['member']}")
        return task

    def start_member(self, call: dict[str, Any], now: float) -> Task:
        """Start a reserved member; a running one is returned unchanged."""
        self.expire_leases(now)
        self.check_ticket(call["ticket"], now)
        task = self.find_task(call)
        if task.state == "running":
            return task
        if task.state != "reserved":
            raise RefusalError("lease_expired", f"member is {task.state}")
        task.state = "running"
        task.started_at = task.checkpoint_at = task.usage_recorded_until = now
        task.lease_until = now + call["lease_seconds"]
        self.events.append((now, "start", task.job_id, task.member))
        if self.fail_tasks:
            self._end_task(task, "failed", now)
            task.answer = "task failed"
        return task

    def renew_lease(self, call: dict[str, Any], now: float) -> Task:
        """Extend a lease; a started member becomes confirmed."""
        self.expire_leases(now)
        lease_until = self.find_renewal_end(call, now)
        task = self.find_task(call)
        task.epoch, task.holder = call["epoch"], call["holder"]
        if task.state in ("reserved", "running"):
            task.lease_until = max(task.lease_until, lease_until)
        if task.state in ("running", "finished"):
            task.confirmed = True
        return task

    def checkpoint_task(self, call: dict[str, Any], now: float) -> Task:
        """Record the time of a member's checkpoint."""
        task = self.find_task(call)
        task.checkpoint_at = now
        return task

    def release_task(self, call: dict[str, Any], now: float) -> Task:
        """Stop a member if it runs, and remove it."""
        task = self.find_task(call)
        if task.state == "running":
            self._end_task(task, "stopped", now)
        del self.tasks[(task.job_id, task.member)]
        return task

    def expire_leases(self, now: float) -> None:
        """Finish members whose run time is over; end those whose lease expired."""
        for key, task in list(self.tasks.items()):
            if task.state == "running":
                done_at = task.started_at + task.run_seconds
                if done_at <= min(now, task.lease_until):
                    self._end_task(task, "finished", done_at)
                    task.answer = f"{self.name}:{task.job_id}:{task.member}"
                elif task.lease_until <= now:
                    self._end_task(task, "stopped", task.lease_until)
            elif task.state == "reserved" and task.lease_until <= now:
                del self.tasks[key]

    def _end_task(self, task: Task, state: str, now: float) -> None:
        task.state = state
        task.ended_at = now
        self.events.append((now, state, task.job_id, task.member))
        self.record_task_usage(task, now)

    def record_task_usage(self, task: Task, now: float) -> None:
        """Append the usage of a member since its last report."""
        seconds = (now - task.usage_recorded_until) * len(task.accelerators)
        task.usage_recorded_until = now
        if seconds > 0:
            ended_at = now + self.unix_offset_seconds
            self.add_usage(task.client_account, seconds, 0, ended_at)

    def add_usage(
        self, client_account: str, seconds: float, requests: int, ended_at: float
    ) -> None:
        """Append one usage report."""
        self.usage.append(
            {
                "server": self.name,
                "boot_id": self.boot_id,
                "sequence": len(self.usage) + 1,
                "client_account": client_account,
                "pool": "",
                "accelerator_seconds": seconds,
                "requests": requests,
                "ended_at": ended_at,
            }
        )

    def make_task_report(self, task: Task, now: float) -> dict[str, Any]:
        """Return the inventory report of a member."""
        end = task.ended_at or now
        return {
            "job_id": task.job_id,
            "member": task.member,
            "gang_size": task.gang_size,
            "epoch": task.epoch,
            "holder": task.holder,
            "client_account": task.client_account,
            "accelerators": list(task.accelerators),
            "state": task.state,
            "confirmed": task.confirmed,
            "borrowed": task.borrowed,
            "ran_seconds": end - task.started_at if task.started_at else 0.0,
            "checkpoint_age_seconds": end - task.checkpoint_at
            if task.started_at
            else 0.0,
            "answer": task.answer,
            "specification": task.specification,
        }
