"""The operators' page lists all problems, settings, counters and events."""

import re
from dataclasses import fields
from pathlib import Path

from cardamomdyke.daemon.settings import Settings
from cardamomdyke.model.errors import DEFAULT_REMEDIES, ProblemKind

ROOT = Path(__file__).parents[2]
PAGE = (ROOT / "docs" / "operators.md").read_text()
RECORD_CALL = re.compile(r"\brecord(?:_change)?\(\s*(f?)\"([^\"]+)\"")
COUNT_CALL = re.compile(r"\bcount\(\s*(f?)\"([^\"]+)\"")


def list_counters() -> set[str]:
    """Return the counter names in the code, cut with ``<`` before a variable part."""
    names = set()
    for path in (ROOT / "src" / "cardamomdyke").rglob("*.py"):
        for formatted, name in COUNT_CALL.findall(path.read_text()):
            names.add(name.partition("{")[0] + "<" if formatted else name + "`")
    return names


def test_every_problem_is_on_the_page_with_its_remedy() -> None:
    """Guards against a problem kind that an operator cannot look up."""
    rows = {row.split("|")[1].strip(): row for row in PAGE.splitlines() if "|" in row}
    for kind in ProblemKind:
        row = rows[f"`{kind.value}`"]
        assert row.endswith(f"| {DEFAULT_REMEDIES[kind][0]} |")


def test_every_setting_is_on_the_page() -> None:
    """Guards against undocumented settings."""
    rows = {row.split("|")[1].strip(): row for row in PAGE.splitlines() if "|" in row}
    for field in fields(Settings):
        assert f"`{field.name}`" in rows


def test_every_counter_is_on_the_page() -> None:
    """Guards against undocumented counters, to which nobody can react."""
    counters = list_counters()
    assert len(counters) > 20
    missing = [name for name in counters if f"| `{name}" not in PAGE]
    assert missing == []


def test_every_event_is_on_the_page() -> None:
    """Guards against undocumented timeline events."""
    events = set()
    for path in (ROOT / "src" / "cardamomdyke").rglob("*.py"):
        for formatted, name in RECORD_CALL.findall(path.read_text()):
            events.add(name.partition("{")[0] if formatted else name + "`")
    assert len(events) > 15
    assert [event for event in events if f"`{event}" not in PAGE] == []


def test_fixed_words_are_in_the_glossary() -> None:
    """Guards against a glossary without the usual terms, such as zone or tenant."""
    glossary = (ROOT / "docs" / "glossary.md").read_text()
    for word, term in (
        ("VM", "node"),
        ("failure domain", "zone"),
        ("client account", "tenant"),
        ("backend server", "worker"),
    ):
        assert re.search(rf"^\| {word}\b[^|]*\|[^|]*\b{term}\b", glossary, re.MULTILINE)
