"""Files that operators pass to commands."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

from expression import Error, Ok, Result
from msgspec import DecodeError, ValidationError, convert, to_builtins
from msgspec.json import decode

from cardamomdyke.configuration.validation import find_table_faults
from cardamomdyke.model.errors import Problem, ProblemKind, make_problem
from cardamomdyke.model.tables import Tables

Value = TypeVar("Value")


@dataclass(frozen=True, slots=True)
class TablesFile:
    """Tables read from a file.

    Attributes
    ----------
    tables : Tables
        The tables, not checked.
    version : int
        Version in the file, as ``tables show`` writes it; 0 for none.
    """

    tables: Tables
    version: int


def read_json_file(path: str) -> Result[Any, Problem]:
    """Read a JSON file."""
    try:
        return Ok(decode(Path(path).read_bytes()))
    except OSError as error:
        message = f"{path} cannot be read: {error.strerror}"
    except DecodeError as error:
        message = f"{path} is not valid JSON: {error}"
    return Error(make_problem(ProblemKind.INVALID_FILE, message))


def read_value_file(path: str, value_type: type[Value]) -> Result[Value, Problem]:
    """Read a JSON file and convert it to a data class."""
    content = read_json_file(path)
    if content.is_error():
        return Error(content.error)
    return convert_content(path, content.ok, value_type)


def read_tables_file(path: str) -> Result[TablesFile, Problem]:
    """Read tables, with or without the version of ``tables show``."""
    content = read_json_file(path)
    if content.is_error():
        return Error(content.error)
    raw, version = content.ok, 0
    if isinstance(raw, dict) and "tables" in raw:
        if isinstance(raw.get("version"), int):
            version = raw["version"]
        raw = raw["tables"]
    converted = convert_content(path, raw, Tables)
    return converted.map(lambda tables: TablesFile(tables, version))


def convert_content(
    path: str, raw: Any, value_type: type[Value]
) -> Result[Value, Problem]:
    """Convert JSON to a data class; refuse unknown fields."""
    try:
        value = convert(raw, value_type)
    except ValidationError as error:
        message = f"{path}: {error}"
        return Error(make_problem(ProblemKind.INVALID_FILE, message))
    unknown = find_unknown_fields(raw, to_builtins(value), "$")
    if unknown:
        message = f"{path}: unknown fields {', '.join(unknown)}"
        return Error(make_problem(ProblemKind.INVALID_FILE, message))
    return Ok(value)


def find_unknown_fields(raw: Any, known: Any, path: str) -> list[str]:
    """Return the paths of fields that ``known`` does not have."""
    if isinstance(raw, dict) and isinstance(known, dict):
        found = []
        for name, value in raw.items():
            if name not in known:
                found.append(f"{path}.{name}")
            else:
                found += find_unknown_fields(value, known[name], f"{path}.{name}")
        return found
    if isinstance(raw, list) and isinstance(known, list | tuple):
        return [
            text
            for index, (item, other) in enumerate(zip(raw, known, strict=False))
            for text in find_unknown_fields(item, other, f"{path}[{index}]")
        ]
    return []


def check_tables(path: str, content: TablesFile) -> Result[TablesFile, Problem]:
    """Validate tables as a VM would."""
    faults = find_table_faults(content.tables)
    if faults:
        message = f"{path}: {'; '.join(faults)}"
        return Error(make_problem(ProblemKind.INVALID_TABLES, message))
    return Ok(content)
