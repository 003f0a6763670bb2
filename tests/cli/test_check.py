"""The check of a configuration finds what daemons refuse, and survives any input."""

import os
import subprocess
import sys
from copy import deepcopy
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.json import decode, encode

from cardamomdyke.cli.check import (
    check_platform_tables,
    check_product_tables,
    run_check,
)
from cardamomdyke.configuration.findings import Deployment
from cardamomdyke.platform.tables import decode_tables
from tests.cli.test_command_line import ROOT, run_command

CONFIG: dict[str, Any] = {
    "version": 7,
    "routes": [
        {"name": "a", "host": "h", "path_prefix": "/a/", "service": "p", "priority": 0},
        {"name": "b", "host": "h", "path_prefix": "/b/", "service": "q", "stretch": 2},
    ],
    "services": [{"name": "p"}, {"name": "q", "standby": False}],
    "tenants": [
        {
            "name": "t",
            "api_keys": ["k"],
            "guaranteed": {"accelerators": 4},
            "max_count": {"cpu_millicores": 1000, "accelerators": 8},
        },
        {"name": "u", "api_keys": ["l"], "weight": 1.5},
    ],
    "limits": {"max_body_bytes": 1000, "idle_timeout_ms": 1500},
}
DEPLOYMENT = Deployment(10_000, 10_000, 2**53 - 1)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=4),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner)
    ),
    max_leaves=6,
)
MISSING = object()


def list_paths(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the paths of all values below one."""
    if not isinstance(value, dict | list):
        return []
    items = value.items() if isinstance(value, dict) else enumerate(value)
    return [
        found
        for key, item in items
        for found in [(*path, key), *list_paths(item, (*path, key))]
    ]


def replace_value(path: tuple[Any, ...], value: Any) -> dict[str, Any]:
    """Return the configuration with another value, or none, at a path."""
    config = deepcopy(CONFIG)
    parent: Any = config
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = value
    if value is MISSING:
        del parent[path[-1]]
    return config


def render_path(path: tuple[Any, ...]) -> str:
    """Return a path as findings show it."""
    return "$" + "".join(f"[{k}]" if isinstance(k, int) else f".{k}" for k in path)


def find(config: dict[str, Any], deployment: Deployment = DEPLOYMENT) -> set[str]:
    """Return the findings about a configuration, as kind and place."""
    report = check_platform_tables("", encode(config), None, deployment).ok
    assert report.accepted
    return {f"{finding.kind} {finding.place}" for finding in report.findings}


@settings(max_examples=400, deadline=None)
@given(path=st.sampled_from(list_paths(CONFIG)), value=VALUES | st.just(MISSING))
def test_each_refused_value_is_found_with_its_place(
    path: tuple[Any, ...], value: Any
) -> None:
    """Guards against a configuration that passes and that daemons then refuse."""
    data = encode(replace_value(path, value))
    report = check_platform_tables("", data, None, DEPLOYMENT).ok
    assert report.accepted == decode_tables(data).is_ok()
    if not report.accepted:
        assert report.findings[0].kind == "refused"
        place = render_path(path[:-1] if value is MISSING else path)
        assert report.findings[0].place.startswith(place)


@settings(max_examples=300, deadline=None)
@given(
    data=st.binary(max_size=60)
    | VALUES.map(encode)
    | st.tuples(st.integers(0, 700), st.binary(max_size=3)).map(
        lambda cut: encode(CONFIG)[: cut[0]] + cut[1] + encode(CONFIG)[cut[0] + 1 :]
    ),
    flag=st.sampled_from([{}, {"tables": "product"}, {"format": "json"}]),
)
def test_any_bytes_are_checked_or_refused(
    tmp_path_factory: pytest.TempPathFactory, data: bytes, flag: dict[str, str]
) -> None:
    """Guards against tracebacks, and against a pass of what daemons refuse."""
    path = tmp_path_factory.getbasetemp() / "any"
    path.write_bytes(data)
    status = run_check([str(path)], flag)
    assert status in (0, 1, 2)
    if "tables" not in flag and decode_tables(data).is_error():
        assert status != 0


def test_sound_configuration_has_no_findings() -> None:
    """Guards against findings that operators learn to ignore."""
    assert find(CONFIG) == set()
    assert find(CONFIG, Deployment(10**6, 10**6, 2**53, {"p": 8, "q": 8})) == set()


@pytest.mark.parametrize(
    ("path", "value", "found"),
    [
        (("routes", 1, "path_prefix"), "/a/", "shadowed_route $.routes[1]"),
        (("routes", 1, "host"), "H", "unmatchable_route $.routes[1].host"),
        (("routes", 1, "host"), "h:80", "unmatchable_route $.routes[1].host"),
        (
            ("routes", 1, "path_prefix"),
            "b",
            "unmatchable_route $.routes[1].path_prefix",
        ),
        (("routes", 1, "name"), "a", "repeated_name $.routes[1].name"),
        (("routes", 1, "service"), "r", "unknown_service $.routes[1].service"),
        (("routes", 1, "service"), "p", "unused_service $.services[1]"),
        (("routes", 1, "max_attempts"), 0, "no_attempts $.routes[1].max_attempts"),
        (("routes", 1, "stretch"), 0.5, "no_objective $.routes[1].stretch"),
        (("routes", 1, "max_atempts"), 2, "ignored_field $.routes[1].max_atempts"),
        (("services", 1, "standby"), True, "service_without_servers $.services[1]"),
        (("services", 1, "name"), "p", "repeated_name $.services[1].name"),
        (("tenants",), [], "unusable_queue $.routes[0]"),
        (("tenants", 1, "name"), "", "empty_name $.tenants[1].name"),
        (("tenants", 1, "api_keys"), [], "account_without_key $.tenants[1]"),
        (("tenants", 1, "api_keys"), ["", "m"], "empty_key $.tenants[1].api_keys"),
        (("tenants", 1, "api_keys"), ["k"], "shared_key $.tenants[1].api_keys"),
        (
            ("tenants", 0, "max_count", "accelerators"),
            3,
            "guarantee_over_quota $.tenants[0].guaranteed.accelerators",
        ),
        (
            ("tenants", 0, "guaranteed", "accelerators"),
            5,
            "guarantees_over_servers $.tenants",
        ),
        (("limits", "max_body_bytes"), 0, "limit_refuses_all $.limits.max_body_bytes"),
        (
            ("limits", "max_header_bytes"),
            10_001,
            "limit_without_effect $.limits.max_header_bytes",
        ),
        (("version",), 2**64, "number_out_of_range $.version"),
        (("tenants", 1, "weight"), -1, "number_out_of_range $.tenants[1].weight"),
    ],
)
def test_entry_without_effect_or_in_contradiction_is_found(
    path: tuple[Any, ...], value: Any, found: str
) -> None:
    """Guards against a mistake that operators only notice in production."""
    sizes = {"p": 4, "q": 0}
    assert found in find(
        replace_value(path, value), Deployment(10_000, 10_000, 2**53 - 1, sizes)
    )


def test_changes_name_each_row_but_no_key() -> None:
    """Guards against changes that are left out, and against printed secrets."""
    former = decode_tables(encode(CONFIG)).ok
    config = replace_value(("routes", 1, "name"), "c")
    config["tenants"][0]["api_keys"] = ["secret"]
    config["limits"]["max_body_bytes"] = 2000
    report = check_platform_tables("", encode(config), former, DEPLOYMENT).ok
    assert not report.accepted  # Daemons ignore a version that is not higher.
    assert [finding.kind for finding in report.findings] == ["version_not_higher"]
    assert [f"{change.kind} {change.row}" for change in report.changes] == [
        "removed queue 'b'",
        "added queue 'c'",
        "changed account 't'",
        "changed limit body_limit_bytes",
    ]
    assert "secret" not in repr(report)


def test_product_tables_are_checked_by_the_rules_of_the_daemon() -> None:
    """Guards against two sets of rules for the product's own tables."""
    row = {"client_account": "a", "service": "s", "pools": ["p"]}
    report = check_product_tables("", encode({"routes": [row]})).ok
    assert not report.accepted
    assert "unknown pool 'p'" in report.findings[0].message


@pytest.mark.parametrize("level", ["pool", "rack", "server", "accelerators"])
@settings(max_examples=60, deadline=None)
@given(
    numbers=st.lists(st.integers(-3, 9) | st.integers(), min_size=4, max_size=4),
)
def test_any_numbers_of_product_tables_are_checked(
    level: str, numbers: list[int]
) -> None:
    """Guards against an edit that uses up the memory of the daemon which checks it."""
    count, size, *accelerators = numbers
    row = {"client_account": "a", "level": level, "count": count, "accelerators": size}
    servers = [
        {"name": f"{i}", "rack": "r", "address": "h:1", "accelerators": number}
        for i, number in enumerate(accelerators)
    ]
    pool = {"name": "p", "service": "s", "failure_domain": "f", "servers": servers}
    domain = {"name": "f", "region": "r"}
    tables = {"pools": [{**pool, "guarantees": [row]}], "failure_domains": [domain]}
    report = check_product_tables("", encode(tables)).ok
    assert report.accepted == (not report.findings)


@pytest.mark.parametrize(
    ("words", "status"),
    [
        (["sound"], 0),
        (["sound", "--former=sound", "--format=json"], 1),
        (["odd"], 1),
        (["odd", "--format=json"], 1),
        (["empty"], 2),
        (["missing"], 2),
        (["."], 2),
        ([], 2),
        (["sound", "--former=odd"], 2),
        (["sound", "--former=missing"], 2),
        (["sound", "--format=yaml"], 2),
        (["sound", "--colour=red"], 2),
        (["sound", "--accelerators=p:\u0663"], 2),
        (["sound", "odd"], 2),
    ],
    ids=repr,
)
def test_exit_status_tells_findings_from_unreadable_files(
    words: list[str], status: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against scripts that take a file that was not checked for a sound one."""
    (tmp_path / "sound").write_bytes(encode(CONFIG))
    (tmp_path / "odd").write_bytes(b'{"version": "7", "routes": [], "services": []}')
    (tmp_path / "empty").write_bytes(b"")
    monkeypatch.chdir(tmp_path)
    result = run_command("check", *words)
    assert result.returncode == status, result.stderr
    assert "Traceback" not in result.stdout + result.stderr
    assert bool(result.stdout) == (status != 2)
    if status != 2 and "--format=json" in words:
        assert decode(result.stdout)["findings"]


def test_standard_input_and_an_ascii_terminal_are_enough() -> None:
    """Guards against names that the terminal cannot show."""
    config = replace_value(("services", 1, "name"), "caf\u00e9\n\u0645")
    result = subprocess.run(
        [sys.executable, "-m", "cardamomdyke", "check"],
        env={**os.environ, "PYTHONPATH": f"{ROOT}/src", "PYTHONIOENCODING": "ascii"},
        input=encode(config),
        capture_output=True,
        timeout=60,
        check=False,
    )
    assert result.returncode == 1, result.stderr
    assert b"caf\\xe9" in result.stdout
    assert not result.stderr
