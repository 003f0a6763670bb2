"""The timeline reads the log lines of daemons from files."""

from pathlib import Path
from typing import Any

import pytest
from msgspec.json import decode, encode

from tests.cli.test_command_line import run_command

JOB = "73dc063dcb85d891"
VICTIM = "b7d9afdee7184ad0"
START = 1_779_526_487.0


def make_line(
    at: float, vm: str, kind: str, subject: str = JOB, **fields: Any
) -> bytes:
    """Encode a line as a daemon writes it, in the order of its fields."""
    return encode(
        {
            "vm": vm,
            "subject": subject,
            **fields,
            "timestamp": START + at,
            "task_uuid": f"{at}-{vm}-{kind}",
            "task_level": [1],
            "message_type": kind,
        }
    )


GENT = [
    make_line(0.0, "gent-1", "job.accepted", priority=0, tasks=3),
    make_line(0.25, "gent-1", "job.accepted", VICTIM, priority=2, tasks=1),
    make_line(5.0, "gent-1", "job.completed", reason="all tasks are done"),
]
LOKEREN = [
    make_line(0.5, "lokeren-1", "planner.took_over", "lokeren-1", term=53),
    make_line(1.0, "lokeren-1", "unit.preempted", VICTIM, for_job=JOB, cost=0.2),
    make_line(1.5, "lokeren-1", "unit.placed", servers=["s1", "s2"], gang=True),
]


def write_file(directory: Path, name: str, lines: list[bytes]) -> str:
    path = directory / name
    path.write_bytes(b"\n".join(lines) + b"\n")
    return str(path)


def read_events(*words: str) -> tuple[list[dict[str, Any]], str]:
    """Run the timeline; return its events and what it notes on standard error."""
    result = run_command("timeline", *words, "--output", "json")
    assert result.returncode == 0, result.stderr
    return decode(result.stdout), result.stderr


def test_one_id_is_followed_over_all_processes(tmp_path: Path) -> None:
    """Guards against a story without the lines in which the id is a further field."""
    files = [
        write_file(tmp_path, "lokeren.log", LOKEREN),
        write_file(tmp_path, "gent.log", GENT),
    ]
    result = run_command("timeline", *files, "--subject", JOB)
    assert result.returncode == 0, result.stderr
    assert result.stderr == ""
    assert result.stdout.splitlines() == [
        f"2026-05-23T08:54:47.000Z  gent-1  job.accepted  {JOB}  priority=0 tasks=3",
        "2026-05-23T08:54:48.000Z  lokeren-1  unit.preempted  "
        f"{VICTIM}  for_job={JOB} cost=0.2",
        "2026-05-23T08:54:48.500Z  lokeren-1  unit.placed  "
        f'{JOB}  servers=["s1","s2"] gang=true',
        "2026-05-23T08:54:52.000Z  gent-1  job.completed  "
        f'{JOB}  reason="all tasks are done"',
    ]
    events, _ = read_events(*files)
    assert [event["at"] - START for event in events] == [0.0, 0.25, 0.5, 1.0, 1.5, 5.0]
    named, _ = read_events(*files, "--subject", "s2")
    assert [event["kind"] for event in named] == ["unit.placed"]


def test_repeated_and_prefixed_lines_are_one_event(tmp_path: Path) -> None:
    """Guards against events counted twice when files overlap."""
    files = [
        write_file(tmp_path, "one.log", GENT),
        write_file(tmp_path, "all.log", [b"gent-1 | " + line for line in GENT[:1]]),
        write_file(tmp_path, "two.log", GENT + LOKEREN),
    ]
    events, notes = read_events(*files)
    assert len(events) == len(GENT + LOKEREN)
    assert notes == ""


@pytest.mark.parametrize(
    "line",
    [
        b"cut: " + GENT[0][:40],
        b"41.617 s  request was sent",
        b"{" * 100_000,
        b'{"vm": "\xff"}',
        b"\x00\x1b[2J",
        b"[1]",
        b"{}",
        b'{"vm":1,"message_type":"x","timestamp":1}',
        b'{"vm":"v","message_type":"x","timestamp":"1"}',
        b'{"vm":"v","message_type":"x","timestamp":1e300}',
        b'{"vm":"v","message_type":"x","timestamp":-1}',
        b'{"vm":"v","message_type":"x","timestamp":true}',
        b'{"vm":"v","message_type":"x","timestamp":1,"subject":[]}',
    ],
)
def test_malformed_line_hides_no_other(tmp_path: Path, line: bytes) -> None:
    """Guards against one line that ends the command or is passed over in silence."""
    path = write_file(tmp_path, "day.log", [b"", GENT[0], line, *GENT[1:]])
    events, notes = read_events(path)
    assert len(events) == len(GENT)
    assert notes == f"{path}: 1 lines are no log lines; see line 3\n"


def test_unreadable_line_with_the_id_is_pointed_out(tmp_path: Path) -> None:
    """Guards against a line of the id that was cut off and is never seen."""
    lines = [b"other", GENT[0], GENT[2][:-20], b"more"]
    path = write_file(tmp_path, "day.log", lines)
    _, notes = read_events(path, "--subject", JOB)
    assert notes == (
        f"{path}: 3 lines are no log lines, 1 of them with {JOB!r}; see line 3\n"
    )


def test_lines_that_are_missing_are_told(tmp_path: Path) -> None:
    """Guards against a story that looks whole although lines were left out."""
    lines = [make_line(n, "gent-1", "unit.placed", number=n) for n in range(5)]
    dropping = make_line(9.0, "gent-1", "job.failed", VICTIM, dropped_before=17)
    other = make_line(0.0, "lokeren-1", "job.accepted")
    path = write_file(tmp_path, "day.log", [*lines, dropping, other])
    empty = write_file(tmp_path, "empty.log", [])
    words = (path, empty, "--subject", JOB, "--limit", "2")
    events, notes = read_events(*words)
    assert [event["detail"] for event in events] == ["", "number=3", "number=4"]
    assert "3 older events are left out" in notes
    assert f"{path}: daemons left out 17 lines above their rate limit" in notes
    assert f"{empty}: no log line of a daemon" in notes
    events, notes = read_events(path, "--subject", "nothing")
    assert events == []
    assert "no log line has the subject or value 'nothing'" in notes


def test_text_of_callers_cannot_forge_lines(tmp_path: Path) -> None:
    """Guards against line breaks and control characters of a path in the output."""
    forged = "/x\n2026-05-23 gent-1 job.completed \x1b[2J"
    path = write_file(
        tmp_path, "day.log", [make_line(0.0, "gent-1", "request.refused", forged)]
    )
    result = run_command("timeline", path)
    assert len(result.stdout.splitlines()) == 1
    assert "\x1b" not in result.stdout
    assert len(read_events(path, "--subject", forged)[0]) == 1


@pytest.mark.parametrize(
    ("words", "kind"),
    [
        (["missing.log"], "invalid_file"),
        (["."], "invalid_file"),
        (["empty.log"], "invalid_file"),
        (["other.log"], "invalid_file"),
        (["day.log", "missing.log"], "invalid_file"),
        (["day.log", "--limit", "0"], "bad_command"),
        (["day.log", "--limit", "some"], "bad_command"),
        (["day.log", "--limit", "9" * 5000], "bad_command"),
        (["day.log", "--since", "1"], "bad_command"),
    ],
)
def test_bad_words_are_explained(tmp_path: Path, words: list[str], kind: str) -> None:
    """Guards against tracebacks, and against part of the files taken for all."""
    write_file(tmp_path, "day.log", GENT)
    write_file(tmp_path, "empty.log", [])
    write_file(tmp_path, "other.log", [b"no line of a daemon"])
    names = [
        str(tmp_path / word) if word.endswith((".log", ".")) else word for word in words
    ]
    result = run_command("timeline", *names)
    assert result.returncode == 2, result.stderr
    assert result.stdout == ""
    assert result.stderr.startswith(f"{kind}: ")
    assert "; " in result.stderr
    assert "Traceback" not in result.stderr
