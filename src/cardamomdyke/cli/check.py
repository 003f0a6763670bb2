"""Check of a configuration before operators publish it."""

import os
import sys
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from io import TextIOWrapper
from typing import Any

from expression import Error, Ok, Result
from msgspec import ValidationError, convert, to_builtins
from msgspec.json import decode, encode, format

from cardamomdyke.cli.files import find_unknown_fields
from cardamomdyke.configuration.changes import Change, list_changes
from cardamomdyke.configuration.findings import (
    Deployment,
    Finding,
    FindingKind,
    check_numbers,
    check_version,
    find_findings,
    split_place,
)
from cardamomdyke.configuration.validation import find_table_faults
from cardamomdyke.control.inputs import MAX_BODY_BYTES
from cardamomdyke.model.errors import DECODE_ERRORS, Problem, ProblemKind, make_problem
from cardamomdyke.model.queues import QueueTables
from cardamomdyke.model.tables import Tables
from cardamomdyke.platform.numbers import MAX_NUMBER
from cardamomdyke.platform.tables import decode_rows, decode_tables
from cardamomdyke.protocol.connections import MAX_HEADER_BYTES

# Far above any configuration; a file without an end must not use up the memory.
MAX_FILE_BYTES = 64_000_000
STANDARD_INPUT = "standard input"
MAX_COUNT_DIGITS = 9
EXIT_FINDINGS = 1
EXIT_UNREADABLE = 2
FLAGS = frozenset({"format", "tables", "former", "accelerators"})
REFUSED_REMEDY = "correct the value; daemons keep the former configuration"


@dataclass(frozen=True, slots=True)
class CheckReport:
    """Result of a check.

    Attributes
    ----------
    accepted : bool
        True when a daemon puts the configuration in force.
    findings : tuple of Finding
        All findings.
    changes : tuple of Change
        Differences from the former version; empty without one.
    """

    accepted: bool
    findings: tuple[Finding, ...]
    changes: tuple[Change, ...] = ()


def run_check(files: Sequence[str], flags: Mapping[str, str]) -> int:
    """Check a configuration and print the report.

    Parameters
    ----------
    files : sequence of str
        One file, or none for standard input.
    flags : mapping of str to str
        Flags of the command by name.

    Returns
    -------
    int
        Exit status: 0, `EXIT_FINDINGS`, or `EXIT_UNREADABLE` after a problem.
    """
    # Names in a configuration may not be encodable on the terminal.
    for stream in (sys.stdout, sys.stderr):
        if isinstance(stream, TextIOWrapper):
            stream.reconfigure(errors="backslashreplace")
    as_json = flags.get("format") == "json"
    result = make_report(files, flags)
    if result.is_error():
        problem = result.error
        text = f"{problem.kind}: {problem.message}; {problem.remedy}"
        shown = encode(problem).decode() if as_json else escape_controls(text)
        print(shown, file=sys.stderr)
        return EXIT_UNREADABLE
    report = result.ok
    if as_json:
        print(format(encode(report), indent=2).decode())
    else:
        print("\n".join(render_report(report)))
    return EXIT_FINDINGS if report.findings else 0


def make_report(
    files: Sequence[str], flags: Mapping[str, str]
) -> Result[CheckReport, Problem]:
    """Read what the command names and check it."""
    fault = find_flag_fault(files, flags)
    if fault:
        return Error(make_problem(ProblemKind.BAD_COMMAND, fault))
    sizes = parse_accelerators(flags.get("accelerators", ""))
    if sizes.is_error():
        return Error(sizes.error)
    path, former_path = "".join(files), flags.get("former", "")
    data = read_input(path)
    if data.is_error():
        return Error(data.error)
    if flags.get("tables") == "product":
        return check_product_tables(path, data.ok)
    deployment = Deployment(MAX_BODY_BYTES, MAX_HEADER_BYTES, MAX_NUMBER, sizes.ok)
    if not former_path:
        return check_platform_tables(path, data.ok, None, deployment)
    former = read_input(former_path).bind(
        lambda content: decode_former(former_path, content)
    )
    if former.is_error():
        return Error(former.error)
    return check_platform_tables(path, data.ok, former.ok, deployment)


def find_flag_fault(files: Sequence[str], flags: Mapping[str, str]) -> str:
    """Return what is wrong with the arguments; empty for nothing."""
    unknown = sorted(flags.keys() - FLAGS)
    if unknown:
        return f"check has no flag --{show_path(unknown[0])}"
    if len(files) > 1 or "" in files:
        return "check accepts one file, or none for standard input"
    if flags.get("format", "text") not in ("text", "json"):
        return f"--format must be text or json, not {flags['format']!r}"
    if flags.get("tables", "platform") not in ("platform", "product"):
        return f"--tables must be platform or product, not {flags['tables']!r}"
    if flags.get("tables") == "product" and flags.keys() & {"former", "accelerators"}:
        return "--former and --accelerators are for the platform's tables only"
    if "former" in flags and not flags["former"]:
        return "--former must name a file"
    return ""


def read_input(path: str) -> Result[bytes, Problem]:
    """Read a file, or standard input for an empty path."""
    name = show_path(path)
    try:
        if path:
            with open(path, "rb") as file:
                data = file.read(MAX_FILE_BYTES + 1)
        elif sys.stdin is None:
            return Error(_make_file_problem(f"{name} is closed"))
        else:
            data = sys.stdin.buffer.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        message = f"{name} cannot be read: {error.strerror}"
        return Error(_make_file_problem(message))
    if len(data) > MAX_FILE_BYTES:
        message = f"{name} is longer than {MAX_FILE_BYTES} bytes"
        return Error(_make_file_problem(message))
    return Ok(data)


def show_path(path: str) -> str:
    """Return a path as text that can be encoded."""
    shown = os.fsencode(path).decode("utf-8", "backslashreplace")
    return shown or STANDARD_INPUT


def parse_json(data: bytes) -> Result[Any, Finding]:
    """Decode JSON of any form; the finding names the first malformed byte."""
    try:
        data.decode()
        return Ok(decode(data))
    except UnicodeDecodeError as error:
        place, message = f"byte {error.start}", "the text is not valid UTF-8"
    except DECODE_ERRORS as error:
        place, message = split_place(str(error))
        if not data.strip():
            message = "the configuration is empty"
        elif "truncated" in message:
            place = f"byte {len(data)}"
    remedy = "write the configuration as JSON in UTF-8"
    return Error(Finding(FindingKind.INVALID_TEXT, place, message, remedy))


def check_platform_tables(
    path: str, data: bytes, former: QueueTables | None, deployment: Deployment
) -> Result[CheckReport, Problem]:
    """Check the platform's tables as daemons decode them.

    Parameters
    ----------
    path : str
        Name of the file, for the problem; empty for standard input.
    data : bytes
        Content of the file.
    former : QueueTables or None
        Version in force, if known.
    deployment : Deployment
        Limits and sizes that the configuration is compared with.

    Returns
    -------
    Result of CheckReport or Problem
        The report; a problem if the file is not JSON.
    """
    raw = parse_json(data)
    result, rows = decode_tables(data), decode_rows(data)
    if result.is_error() or rows.is_error():
        if raw.is_error():
            return Error(_make_text_problem(path, raw.error))
        return Ok(CheckReport(False, (_make_refusal(result.error),)))
    tables = result.ok
    findings = [
        *find_ignored(raw, rows.ok),
        *check_numbers(rows.ok, deployment.max_number, "$"),
        *find_findings(
            tables, [row["name"] for row in rows.ok["services"]], deployment
        ),
    ]
    if former is None:
        return Ok(CheckReport(True, tuple(findings)))
    stale = tuple(check_version(tables, former))
    return Ok(
        CheckReport(not stale, (*stale, *findings), tuple(list_changes(former, tables)))
    )


def check_product_tables(path: str, data: bytes) -> Result[CheckReport, Problem]:
    """Check the product's own tables, with or without their version."""
    raw = parse_json(data)
    if raw.is_error():
        return Error(_make_text_problem(path, raw.error))
    content = raw.ok
    if isinstance(content, dict) and "tables" in content:
        content = content["tables"]
    try:
        tables = convert(content, Tables)
    except (ValidationError, RecursionError) as error:
        return Ok(CheckReport(False, (_make_refusal(str(error)),)))
    remedy = "correct the rows named in the message"
    findings = [
        *find_ignored(Ok(content), to_builtins(tables)),
        *(
            Finding(FindingKind.INVALID_TABLES, "$", fault, remedy)
            for fault in find_table_faults(tables)
        ),
    ]
    return Ok(CheckReport(not findings, tuple(findings)))


def find_ignored(raw: Result[Any, Finding], rows: Any) -> Iterator[Finding]:
    """Yield a finding per field that daemons do not read.

    Daemons skip the value of such a field, so its text may even be malformed.
    """
    if raw.is_error():
        yield raw.error
        return
    for place in find_unknown_fields(raw.ok, rows, "$"):
        message = "no daemon reads this field"
        remedy = "correct its name or remove it"
        yield Finding(FindingKind.IGNORED_FIELD, place, message, remedy)


def decode_former(path: str, data: bytes) -> Result[QueueTables, Problem]:
    """Decode the version in force."""
    result = decode_tables(data)
    if result.is_error():
        message = f"{show_path(path)} is not a configuration: {result.error}"
        return Error(_make_file_problem(message))
    return Ok(result.ok)


def parse_accelerators(text: str) -> Result[Mapping[str, int], Problem]:
    """Parse the sizes of pools, as in ``fast:64,slow:8``."""
    sizes = {}
    for part in filter(None, text.split(",")):
        pool, _, count = part.rpartition(":")
        is_count = count.isascii() and count.isdigit()
        if not pool or not is_count or len(count) > MAX_COUNT_DIGITS:
            message = f"--accelerators must be POOL:N,POOL:N and so on, not {text!r}"
            return Error(make_problem(ProblemKind.BAD_COMMAND, message))
        sizes[pool] = int(count)
    return Ok(sizes)


def render_report(report: CheckReport) -> list[str]:
    """Return one line per finding and change, and one that sums up."""
    lines = [f"{f.kind}: {f.place}: {f.message}; {f.remedy}" for f in report.findings]
    for change in report.changes:
        detail = f": {change.detail}" if change.detail else ""
        lines.append(f"{change.kind}: {change.row}{detail}")
    verdict = "accept" if report.accepted else "do not accept"
    count = len(report.findings)
    noun = "finding" if count == 1 else "findings"
    lines.append(f"daemons {verdict} the configuration, {count} {noun}")
    return [escape_controls(line) for line in lines]


def escape_controls(text: str) -> str:
    """Return a text on one line, without control characters."""
    return "".join(c if c.isprintable() else ascii(c)[1:-1] for c in text)


def _make_refusal(detail: str) -> Finding:
    place, message = split_place(detail)
    return Finding(FindingKind.REFUSED, place, message, REFUSED_REMEDY)


def _make_text_problem(path: str, finding: Finding) -> Problem:
    message = f"{show_path(path)}, {finding.place}: {finding.message}"
    return Problem(ProblemKind.INVALID_FILE, message, finding.remedy)


def _make_file_problem(message: str) -> Problem:
    return make_problem(ProblemKind.INVALID_FILE, message)
