"""Random histories of requests under lost, late and duplicated messages."""

from random import Random

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from cardamomdyke.configuration.fold import KEY_RETENTION_SECONDS
from cardamomdyke.dispatch.claims import list_homes, make_claim_key
from cardamomdyke.model.errors import ProblemKind
from cardamomdyke.model.outcomes import Finished, NotRun
from tests.dispatch.world import (
    SERVERS,
    START_AT,
    Fault,
    TrackedAttempt,
    Vm,
    World,
)

FAULTS = [Fault.NONE] * 8 + list(Fault)
WEIGHTS = {
    "submit": 8,
    "advance": 12,
    "deliver_late": 3,
    "pass_time": 3,
    "pass_long_time": 0.5,
    "restart_home": 0.7,
    "restart_server": 0.5,
    "drain_server": 1,
    "replace_vm": 0.5,
    "change_tables": 0.7,
    "learn_tables": 3,
}
SERVER_SETS = [SERVERS, SERVERS[:3], SERVERS[1:], SERVERS[:2], SERVERS[2:]]


class Histories(RuleBasedStateMachine):
    """Histories of VMs, backend servers, claim homes and callers of a few keys."""

    @initialize()
    def begin(self) -> None:
        self.world = World()
        self.first_sent: dict[str, float] = {}
        self.keys: tuple[str, ...] = ()

    def list_open(self) -> list[TrackedAttempt]:
        world = self.world
        return [
            t
            for t in world.attempts
            if t.outcome is None and t.vm in world.vms and t.forwarded_to is None
        ]

    @rule(seed=st.integers(0, 2**32), events=st.integers(15, 60))
    def play(self, seed: int, events: int) -> None:
        """Apply weighted random events and check the invariants after each."""
        random = Random(seed)
        for _ in range(events):
            name = random.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
            getattr(self, name)(random)
            self.runs_at_most_once()
            self.not_run_is_true()
            self.answers_are_own()

    def submit(self, random: Random) -> None:
        """Submit a request, possibly with a key that was used within its retention."""
        world = self.world
        key = random.choice(["", "", "a", "b", "c"])
        key = key and f"{key}{int((world.now - START_AT) // KEY_RETENTION_SECONDS)}"
        deadline = random.choice([1.0, 30.0, 200.0])
        sent = self.first_sent.setdefault(key, world.now)
        if key and world.now + deadline > sent + KEY_RETENTION_SECONDS:
            return
        first = bool(key) and not self.was_sent(key) and random.random() < 0.7
        digest = random.choice("xxxxxxxy")
        repeat = not key and random.random() < 0.5
        self.keys = (key, *self.keys)[:3] if key else self.keys
        vm = random.choice(world.vms)
        world.submit(vm, key, digest, deadline, first, repeat)

    def was_sent(self, key: str) -> bool:
        return any(t.shared_id == f"key-{key}" for t in self.world.attempts)

    def advance(self, random: Random) -> None:
        """Execute actions of open attempts, and finish some running requests."""
        for _ in range(random.choice([2, 8, 25])):
            opened = self.list_open()
            if not opened:
                return
            fault = random.choice(FAULTS)
            self.world.advance(random.choice(opened), fault, random.choice)
            if self.world.active_runs and random.random() < 0.3:
                self.world.end_run(random.randrange(len(self.world.active_runs)))

    def deliver_late(self, random: Random) -> None:
        """Deliver a message whose VM no longer waits for the reply."""
        if self.world.late_messages:
            index = random.randrange(len(self.world.late_messages))
            self.world.deliver(self.world.late_messages.pop(index), None, 0.0)

    def pass_time(self, random: Random) -> None:
        """Advance the clock; VMs and messages in transit are frozen meanwhile."""
        self.world.now += random.choice([0.5, 0.5, 2.5, 2.5, 6.0, 11.0])

    def pass_long_time(self, random: Random) -> None:
        """Advance the clock by tens or hundreds of seconds."""
        self.world.now += random.choice([40.0, 310.0])

    def restart_home(self, random: Random) -> None:
        """Restart a claim home of a key that was used."""
        configuration = self.world.fold.configuration
        assert configuration is not None
        if self.keys:
            joined = make_claim_key("koffie-invoer", random.choice(self.keys))
            homes = list_homes(configuration, joined, self.world.now)
            self.restart(random.choice(homes).server)

    def restart_server(self, random: Random) -> None:
        """Restart a backend server, which loses claims, runs and answers."""
        self.restart(random.choice(SERVERS))

    def restart(self, name: str) -> None:
        world = self.world
        previous = world.servers[name]
        world.active_runs[:] = [
            run for run in world.active_runs if run[0] is not previous
        ]
        world.servers[name] = world.boot(name)

    def drain_server(self, random: Random) -> None:
        """Let a backend server start or stop draining."""
        server = self.world.servers[random.choice(SERVERS)]
        server.draining = random.random() < 0.4

    def replace_vm(self, random: Random) -> None:
        """Replace a VM; callers and forwarding VMs lose their answers."""
        world = self.world
        index = random.randrange(len(world.vms))
        dead = world.vms[index]
        world.vms[index] = Vm(dead.name, dead.domain, dead.configuration)
        for tracked in list(world.attempts):
            child = tracked.forwarded_to
            if child is not None and child.vm is dead and tracked.vm in world.vms:
                tracked.forwarded_to = None
                world.time_out_reply(tracked)

    def change_tables(self, random: Random) -> None:
        """Change the pools table; VMs read it later."""
        self.world.change_tables(random.choice(SERVER_SETS))

    def learn_tables(self, random: Random) -> None:
        """Let a VM read the newest configuration."""
        assert self.world.fold.configuration is not None
        vm = random.choice(self.world.vms)
        vm.configuration = self.world.fold.configuration

    @invariant()
    def runs_at_most_once(self) -> None:
        """Guards against a second run of a request that is not repeatable."""
        for shared_id, count in self.world.runs.items():
            if shared_id not in self.world.repeatable_ids:
                assert count <= 1, f"{shared_id} ran {count} times"

    @invariant()
    def not_run_is_true(self) -> None:
        """Guards against a run of a request that was reported as not run."""
        world = self.world
        for tracked in world.attempts:
            if tracked.parent or not isinstance(tracked.outcome, NotRun):
                continue
            shared_id = tracked.shared_id
            if tracked.outcome.problem.kind is ProblemKind.KEY_REUSED:
                assert (shared_id, tracked.digest) not in world.run_digests
            elif shared_id.startswith("key-"):
                assert tracked.first_attempt, "an earlier attempt may have run"
                assert self.count_runs(tracked) == 0, f"{shared_id} ran"
            else:
                assert world.runs[shared_id] == 0, f"{shared_id} ran"

    def count_runs(self, tracked: TrackedAttempt) -> int:
        own = [t.uid for t in self.world.attempts if t.parent is tracked]
        return sum(self.world.runs_by_attempt[uid] for uid in (tracked.uid, *own))

    @invariant()
    def answers_are_own(self) -> None:
        """Guards against an answer that belongs to another request."""
        for tracked in self.world.attempts:
            if isinstance(tracked.outcome, Finished):
                expected = f"{tracked.shared_id}:{tracked.digest}".encode()
                assert tracked.outcome.body == expected


TestHistories = Histories.TestCase
TestHistories.settings = settings(
    max_examples=1000,
    stateful_step_count=3,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
