"""Text rendering of the VMs' answers."""

from datetime import UTC, datetime
from typing import Any

COLUMN_GAP = "  "
# Fields that hold Unix times in seconds.
TIME_SUFFIXES = ("_at", "_after")


def render_value(value: Any, indent: str = "") -> list[str]:
    """Return the lines of a JSON value; lists of flat objects become columns."""
    if isinstance(value, dict):
        return render_fields(value, indent)
    if isinstance(value, list) and value and all(isinstance(v, dict) for v in value):
        if any(isinstance(x, dict | list) for row in value for x in row.values()):
            return [line for row in value for line in (*render_value(row, indent), "")]
        return [indent + line for line in render_columns(value)]
    return [indent + render_scalar(value)]


def render_fields(value: dict[str, Any], indent: str) -> list[str]:
    """Return one line per field; nested values follow indented."""
    lines = []
    for name, field in value.items():
        if isinstance(field, dict | list) and field and not is_flat_list(field):
            lines.append(f"{indent}{name}:")
            lines += render_value(field, indent + "  ")
        else:
            lines.append(f"{indent}{name}: {render_field(name, field)}")
    return lines


def render_columns(rows: list[dict[str, Any]]) -> list[str]:
    """Return aligned columns below a header line."""
    names = list(dict.fromkeys(name for row in rows for name in row))
    cells = [names, *([render_field(n, row.get(n)) for n in names] for row in rows)]
    widths = [max(len(line[i]) for line in cells) for i in range(len(names))]
    return [
        COLUMN_GAP.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in cells
    ]


def is_flat_list(value: Any) -> bool:
    """Check for a list without nested values, rendered on one line."""
    return isinstance(value, list) and not any(
        isinstance(item, dict | list) for item in value
    )


def render_scalar(value: Any) -> str:
    """Return a value on one line."""
    if isinstance(value, list):
        return ", ".join(render_scalar(item) for item in value) or "none"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if value is None or value == {}:
        return "none"
    return str(value)


def render_field(name: str, value: Any) -> str:
    """Return a field on one line; Unix times become dates."""
    if isinstance(value, float) and name.endswith(TIME_SUFFIXES):
        return render_time(value)
    return render_scalar(value)


def render_time(unix_seconds: float) -> str:
    """Return a time in UTC, with milliseconds."""
    time = datetime.fromtimestamp(unix_seconds, UTC)
    return time.strftime("%Y-%m-%dT%H:%M:%S.%f")[:-3] + "Z"


def render_event(event: dict[str, Any]) -> str:
    """Return the timeline's line for an event."""
    text = render_time(event["at"])
    words = [text, event["vm"], event["kind"], event["subject"], event["detail"]]
    return COLUMN_GAP.join(word for word in words if word)


def render_bills(view: dict[str, Any]) -> list[str]:
    """Return the month's bills in columns, below other fields."""
    rows = [
        {
            "client_account": bill["client_account"],
            "accelerator_hours": f"{bill['accelerator_hours']:.3f}",
            "requests": bill["requests"],
            "cost": f"{bill['cost']:.2f}",
            "month_end": f"{bill['forecast']['expected']:.2f}",
            "low": f"{bill['forecast']['low']:.2f}",
            "high": f"{bill['forecast']['high']:.2f}",
            "days_used": bill["forecast"]["days_used"],
        }
        for bill in view["bills"]
    ]
    head = {name: value for name, value in view.items() if name != "bills"}
    return [*render_fields(head, ""), *(render_columns(rows) if rows else [])]
