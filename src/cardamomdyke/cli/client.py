"""Commands of the operators' client."""

import difflib
import os
import sys
from collections.abc import Callable, Iterable
from typing import Any, NoReturn
from urllib.parse import quote, urlencode

from expression import Result
from fire.decorators import SetParseFn
from msgspec import to_builtins
from msgspec.json import encode, format

from cardamomdyke.cli.calls import (
    ALL_VMS_TIMEOUT_SECONDS,
    Answer,
    Call,
    call_vm,
    call_vms,
)
from cardamomdyke.cli.files import check_tables, read_tables_file, read_value_file
from cardamomdyke.cli.logs import read_log_files
from cardamomdyke.cli.texts import render_bills, render_event, render_value
from cardamomdyke.model.errors import Problem, ProblemKind, make_problem
from cardamomdyke.model.jobs import JobSpecification

VM_VARIABLE = "CARDAMOMDYKE_CLIENT_VM"
MAX_LIMIT_DIGITS = 9
EXIT_REFUSED = 1
EXIT_BAD_COMMAND = 2
EXIT_UNREACHABLE = 3
EXIT_LOST_RACE = 4
EXIT_NOT_KNOWN = 5
EXIT_PARTIAL = 6
EXIT_BY_KIND = {
    ProblemKind.BAD_COMMAND: EXIT_BAD_COMMAND,
    ProblemKind.INVALID_FILE: EXIT_BAD_COMMAND,
    ProblemKind.VM_UNREACHABLE: EXIT_UNREACHABLE,
    ProblemKind.EDIT_LOST_RACE: EXIT_LOST_RACE,
    ProblemKind.EDIT_NOT_CONFIRMED: EXIT_NOT_KNOWN,
    ProblemKind.START_UNCONFIRMED: EXIT_NOT_KNOWN,
    ProblemKind.CLAIM_HOME_UNREACHABLE: EXIT_NOT_KNOWN,
}


class Client:
    """Operate the entry VMs.

    Name any entry VM with --vm HOST:PORT or the environment variable
    CARDAMOMDYKE_CLIENT_VM. --output json prints JSON.

    Exit codes: 0 done, 1 refused, 2 bad command or file, 3 VM unreachable,
    4 edit lost a race, 5 not known whether it took effect, 6 some VMs did not
    answer or confirm.
    """

    def __init__(self, *, vm: str = "", output: str = "text") -> None:
        self._vm = str(vm) or os.environ.get(VM_VARIABLE, "")
        self._output = output
        if output not in ("text", "json"):
            self._output = "text"
            self._fail_command(f"--output must be text or json, not {output!r}")
        self.tables = {
            "show": self._show_tables,
            "check": self._check_tables,
            "diff": self._diff_tables,
            "edit": self._edit_tables,
        }
        self.domain = {"out": self._take_domain_out, "in": self._bring_domain_in}
        self.job = {
            "submit": self._submit_job,
            "show": self._show_job,
            "cancel": self._cancel_job,
        }

    @SetParseFn(str)  # type: ignore[untyped-decorator]
    def status(self, *extra: str, **unknown: str) -> None:
        """Show the state of all VMs."""
        self._check_command(self.status, extra, unknown)
        rows, unreachable = self._call_all_vms("/v1/status")
        states = [answer.value for answer in rows]
        if self._output == "json":
            self._print(
                {"vms": states, "unreachable": [p.message for p in unreachable]}
            )
        else:
            for state in states:
                vm = state["vm"]
                state.pop("vms", None)
                print("\n".join((f"VM {vm}", *render_value(state, "  "))))
        self._report_unreachable(unreachable)

    @SetParseFn(str)  # type: ignore[untyped-decorator]
    def usage(self, *extra: str, **unknown: str) -> None:
        """Show usage, cost and the month-end forecast of each client account."""
        self._check_command(self.usage, extra, unknown)
        self._print(self._call("/v1/usage").value, render_bills)

    @SetParseFn(str)  # type: ignore[untyped-decorator]
    def settings(self, *extra: str, **unknown: str) -> None:
        """Show the VM's settings and where each value came from."""
        self._check_command(self.settings, extra, unknown)
        self._print(self._call("/v1/settings").value, render_settings)

    @SetParseFn(str)  # type: ignore[untyped-decorator]
    def timeline(
        self, *files: str, subject: str = "", limit: str = "500", **unknown: str
    ) -> None:
        """Show the events of all VMs, oldest first.

        --subject ID selects one request, job, failure domain or VM. --limit N limits
        the events per VM. With FILES, the events are read from the log lines of
        daemons in these files, and no VM is asked.
        """
        self._check_command(self.timeline, (), unknown)
        if files:
            self._show_log_files(files, subject, limit)
            return
        subjects, events, left_out = [subject], {}, 0
        unreachable: list[Problem] = []
        for wanted in subjects:
            query = urlencode({"subject": wanted, "limit": limit})
            answers, unreachable = self._call_all_vms(f"/v1/timeline?{query}")
            for answer in answers:
                left_out += answer.events_left_out
                for event in answer.value:
                    events[encode(event)] = event
                    linked = event["kind"].endswith(".linked") and wanted
                    if linked and event["detail"] not in subjects:
                        subjects.append(event["detail"])
        self._print_events(events.values(), left_out)
        self._report_unreachable(unreachable)

    def _show_log_files(self, files: Iterable[str], subject: str, limit: str) -> None:
        """Show the events in log files."""
        is_limit = (
            limit.isascii() and limit.isdigit() and len(limit) <= MAX_LIMIT_DIGITS
        )
        if not is_limit or not int(limit):
            self._fail_command(f"--limit must be a whole number from 1 on: {limit!r}")
        extract = self._unwrap(read_log_files(files, subject, int(limit)))
        self._print_events(to_builtins(extract.events), extract.left_out)
        for note in extract.notes:
            print(note, file=sys.stderr)

    def _print_events(self, events: Iterable[dict[str, Any]], left_out: int) -> None:
        """Print events, oldest first."""
        ordered = sorted(events, key=lambda event: event["at"])
        self._print(ordered, lambda rows: [render_event(row) for row in rows])
        if left_out:
            print(f"{left_out} older events are left out", file=sys.stderr)

    @SetParseFn(str)  # type: ignore[untyped-decorator]
    def daemon(self, *extra: str, **unknown: str) -> None:
        """Run the daemon of this VM; see 'daemon --help'."""
        self._fail_command("daemon must be the first word of the command")

    @SetParseFn(str)  # type: ignore[untyped-decorator]
    def _show_tables(self, *extra: str, **unknown: str) -> None:
        """Show the tables in force and their version."""
        self._check_command(self._show_tables, extra, unknown)
        print(format_json(self._call("/v1/tables").value))

    @SetParseFn(str)  # type: ignore[untyped-decorator]
    def _check_tables(self, file: str, *extra: str, **unknown: str) -> None:
        """Check a tables file without a VM."""
        self._check_command(self._check_tables, extra, unknown)
        content = self._unwrap(read_tables_file(file))
        self._unwrap(check_tables(file, content))
        self._print({"file": file, "valid": True})

    @SetParseFn(str)  # type: ignore[untyped-decorator]
    def _diff_tables(self, file: str, *extra: str, **unknown: str) -> None:
        """Compare the tables in force with a file."""
        self._check_command(self._diff_tables, extra, unknown)
        content = self._unwrap(read_tables_file(file))
        current = self._call("/v1/tables").value
        lines = list(
            difflib.unified_diff(
                format_json(current["tables"]).splitlines(),
                format_json(content.tables).splitlines(),
                f"version {current['version']}",
                file,
                lineterm="",
            )
        )
        self._print({"version": current["version"], "diff": lines}, render_diff)

    @SetParseFn(str)  # type: ignore[untyped-decorator]
    def _edit_tables(
        self, file: str, *extra: str, base: str = "", **unknown: str
    ) -> None:
        """Replace the tables with a file edited from version --base."""
        self._check_command(self._edit_tables, extra, unknown)
        if not base.isascii() or not base.isdigit():
            self._fail_command(
                "name the tables version that was edited with --base VERSION"
            )
        content = self._unwrap(read_tables_file(file))
        self._unwrap(check_tables(file, content))
        if content.version not in (0, int(base)):
            message = f"{file} holds version {content.version}, --base is {base}"
            self._fail(make_problem(ProblemKind.INVALID_FILE, message))
        body = encode({"base_version": int(base), "tables": content.tables})
        self._print(self._call("/v1/tables", "PUT", body).value)

    @SetParseFn(str)  # type: ignore[untyped-decorator]
    def _take_domain_out(self, name: str, *extra: str, **unknown: str) -> None:
        """Take a failure domain out of service."""
        self._check_command(self._take_domain_out, extra, unknown)
        report = self._call(f"/v1/domains/{quote(name, safe='')}/out", "POST").value
        self._print(report)
        confirmed = all(vm.get("confirmed", True) for vm in report.get("vms", ()))
        if not confirmed or report.get("recording", "recorded") != "recorded":
            sys.exit(EXIT_PARTIAL)

    @SetParseFn(str)  # type: ignore[untyped-decorator]
    def _bring_domain_in(self, name: str, *extra: str, **unknown: str) -> None:
        """Bring a failure domain back into service."""
        self._check_command(self._bring_domain_in, extra, unknown)
        path = f"/v1/domains/{quote(name, safe='')}/in"
        self._print(self._call(path, "POST").value)

    @SetParseFn(str)  # type: ignore[untyped-decorator]
    def _submit_job(self, file: str, *extra: str, **unknown: str) -> None:
        """Submit the job specified in a file, in the format of POST /v1/jobs."""
        self._check_command(self._submit_job, extra, unknown)
        specification = self._unwrap(read_value_file(file, JobSpecification))
        self._print(self._call("/v1/jobs", "POST", encode(specification)).value)

    @SetParseFn(str)  # type: ignore[untyped-decorator]
    def _show_job(self, job_id: str, *extra: str, **unknown: str) -> None:
        """Show the state of a job."""
        self._check_command(self._show_job, extra, unknown)
        self._print(self._call(f"/v1/jobs/{quote(job_id, safe='')}").value)

    @SetParseFn(str)  # type: ignore[untyped-decorator]
    def _cancel_job(self, job_id: str, *extra: str, **unknown: str) -> None:
        """Cancel a job."""
        self._check_command(self._cancel_job, extra, unknown)
        path = f"/v1/jobs/{quote(job_id, safe='')}"
        self._print(self._call(path, "DELETE").value)

    def _check_command(
        self, command: Callable[..., None], extra: Iterable[str], unknown: Iterable[str]
    ) -> None:
        """Reject unknown arguments before a command takes effect."""
        if "help" in unknown or "h" in unknown:
            print(command.__doc__)
            sys.exit(0)
        words = [*extra, *(f"--{name}" for name in unknown)]
        if words:
            self._fail_command(f"unknown arguments: {' '.join(words)}")

    def _call(self, path: str, method: str = "GET", body: bytes | None = None) -> Any:
        return self._unwrap(call_vm(Call(self._require_vm(), path, method, body)))

    def _require_vm(self) -> str:
        if not self._vm:
            self._fail_command(f"name a VM with --vm HOST:PORT or {VM_VARIABLE}")
        return self._vm

    def _call_all_vms(self, path: str) -> tuple[list[Answer], list[Problem]]:
        """Call all VMs that the named VM knows.

        Returns the answers and a problem per unreachable VM. Others end the command.
        """
        status = self._call("/v1/status").value
        addresses = [vm["caller_address"] for vm in status["vms"]]
        results = call_vms(
            Call(address, path, timeout_seconds=ALL_VMS_TIMEOUT_SECONDS)
            for address in addresses
        )
        answers = [result.ok for result in results if result.is_ok()]
        problems = [result.error for result in results if result.is_error()]
        for problem in problems:
            if problem.kind is not ProblemKind.VM_UNREACHABLE:
                self._fail(problem)
        return answers, problems

    def _report_unreachable(self, unreachable: list[Problem]) -> None:
        """Print the problems; exit with ``EXIT_PARTIAL`` if there are any."""
        for problem in unreachable:
            self._report(problem)
        if unreachable:
            sys.exit(EXIT_PARTIAL)

    def _print(
        self, value: Any, render: Callable[[Any], list[str]] = render_value
    ) -> None:
        if self._output == "json":
            print(format_json(value))
            return
        for line in render(value):
            print(line)

    def _unwrap(self, result: Result[Any, Problem]) -> Any:
        if result.is_error():
            self._fail(result.error)
        return result.ok

    def _fail_command(self, message: str) -> NoReturn:
        self._fail(make_problem(ProblemKind.BAD_COMMAND, message))

    def _fail(self, problem: Problem) -> NoReturn:
        self._report(problem)
        sys.exit(EXIT_BY_KIND.get(problem.kind, EXIT_REFUSED))

    def _report(self, problem: Problem) -> None:
        if self._output == "json":
            print(encode(problem).decode(), file=sys.stderr)
            return
        text = f"{problem.kind}: {problem.message}; {problem.remedy}"
        print(text, file=sys.stderr)


def format_json(value: Any) -> str:
    """Return indented JSON, in the order of the data classes."""
    return format(encode(value), indent=2).decode()


def render_diff(value: dict[str, Any]) -> list[str]:
    """Return the lines of a tables diff."""
    return value["diff"] or [f"no difference from version {value['version']}"]


def render_settings(value: dict[str, Any]) -> list[str]:
    """Return one line per setting."""
    rows = [{"setting": name, **entry} for name, entry in value.items()]
    return render_value(rows)
