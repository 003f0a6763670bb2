"""Random failures of processes and network."""

import asyncio
import signal
from dataclasses import dataclass
from typing import Any

from cardamomdyke_standins.deployment import Deployment
from cardamomdyke_standins.faults import Faults
from cardamomdyke_standins.load import Recorder
from cardamomdyke_standins.relay import Conditions, Cut

ACTIONS = (
    "kill_vm",
    "freeze_vm",
    "cut_domain",
    "silence_connections",
    "log_down",
    "log_loses_answers",
    "backend_loses_answers",
    "domain_out_and_in",
    "race_edits",
)


@dataclass
class Nemesis:
    """Injects failures into a deployment and ends them.

    Attributes
    ----------
    deployment : Deployment
        The processes.
    recorder : Recorder
        Source of the random choices; sends the operators' orders.
    """

    deployment: Deployment
    recorder: Recorder

    async def run_actions(self, count: int, pause_seconds: float) -> list[str]:
        """Run random actions and return their names."""
        names = []
        for _ in range(count):
            name = self.recorder.random.choice(ACTIONS)
            names.append(name)
            await getattr(self, name)()
            await asyncio.sleep(pause_seconds)
        return names

    def choose_vm(self) -> dict[str, str]:
        """Choose one entry VM."""
        vm: dict[str, str] = self.recorder.random.choice(self.deployment.example["vms"])
        return vm

    def choose_domain(self) -> str:
        """Choose one failure domain."""
        rows = self.deployment.example["tables"]["failure_domains"]
        name: str = self.recorder.random.choice(rows)["name"]
        return name

    def choose_server(self) -> str:
        """Choose one backend server."""
        pools = self.deployment.example["tables"]["pools"]
        pool = self.recorder.random.choice(pools)
        name: str = self.recorder.random.choice(pool["servers"])["name"]
        return name

    async def kill_vm(self) -> None:
        """Kill a daemon and start it again, without its state."""
        vm = self.choose_vm()
        process = self.deployment.processes[vm["vm"]]
        process.kill()
        process.wait()
        await asyncio.sleep(1.0)
        self.deployment.start_daemon(vm)

    async def freeze_vm(self) -> None:
        """Suspend a daemon with SIGSTOP."""
        process = self.deployment.processes[self.choose_vm()["vm"]]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.recorder.random.choice((1.5, 4.0, 8.0)))
        process.send_signal(signal.SIGCONT)

    async def cut_domain(self) -> None:
        """Isolate a failure domain, in half the cases from the platform too."""
        self.set_cut(self.choose_domain(), self.recorder.random.random() < 0.5)
        await asyncio.sleep(self.recorder.random.choice((2.0, 6.0)))
        self.deployment.set_conditions(Conditions())

    def set_cut(self, domain: str, with_platform: bool) -> None:
        """Isolate a failure domain."""
        self.deployment.set_conditions(
            Conditions(make_cuts(self.deployment.example, domain, with_platform))
        )

    async def silence_connections(self) -> None:
        """Silence all open connections permanently; new ones work."""
        self.deployment.set_conditions(Conditions(stale_silent=True))
        await asyncio.sleep(0.2)
        self.deployment.set_conditions(Conditions())

    async def log_down(self) -> None:
        """Make the log answer 503."""
        self.deployment.set_faults("log", Faults(down=True))
        await asyncio.sleep(self.recorder.random.choice((2.0, 6.0)))
        self.deployment.set_faults("log", Faults())

    async def log_loses_answers(self) -> None:
        """Lose the answers to two successful appends."""
        self.deployment.set_faults("log", Faults(lose_answers=2))
        await self.race_edits()
        self.deployment.set_faults("log", Faults())

    async def backend_loses_answers(self) -> None:
        """Lose the answers to three successful calls."""
        self.deployment.set_faults(self.choose_server(), Faults(lose_answers=3))
        await asyncio.sleep(2.0)

    async def domain_out_and_in(self) -> None:
        """Take a failure domain out for 8 s, then bring it back."""
        domain = self.choose_domain()
        await self.recorder.order_domain(domain, "out", self.choose_vm())
        await asyncio.sleep(8.0)
        for _ in range(10):
            reply = await self.recorder.order_domain(domain, "in", self.choose_vm())
            if reply is not None and "version" in reply:
                return
            await asyncio.sleep(1.0)

    async def race_edits(self) -> None:
        """Send two concurrent edits of the same version through two VMs."""
        first, second = self.choose_vm(), self.choose_vm()
        current = await self.recorder.call_vm(first, "GET", "/v1/tables")
        if current is None or not current.get("version"):
            return
        edit: dict[str, Any] = {
            "base_version": current["version"],
            "tables": current["tables"],
        }
        replies = await asyncio.gather(
            self.recorder.call_vm(first, "PUT", "/v1/tables", edit),
            self.recorder.call_vm(second, "PUT", "/v1/tables", edit),
        )
        accepted = [reply for reply in replies if reply and "version" in reply]
        if len(accepted) > 1:
            raise AssertionError(f"both racing edits were accepted: {accepted}")


def make_cuts(
    example: dict[str, Any], domain: str, with_platform: bool
) -> tuple[Cut, ...]:
    """Return the cuts that isolate a failure domain."""
    others = [
        row["name"]
        for row in example["tables"]["failure_domains"]
        if row["name"] != domain
    ]
    cuts = [Cut(domain, other) for other in others]
    cuts += [Cut(other, domain) for other in others]
    if with_platform:
        cuts.append(Cut(domain, "platform"))
    return tuple(cuts)
