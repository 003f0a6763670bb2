"""Validation of settings at the start of a daemon."""

from dataclasses import fields

import pytest

from cardamomdyke.daemon.settings import Settings, read_settings

VALID: dict[str, object] = {
    "vm": "gent-e1",
    "failure_domain": "gent",
    "caller_address": "127.0.0.1:8000",
    "peer_address": "[::1]:8001",
    "log_url": "http://127.0.0.1:7000",
    "vmlist_url": "https://list.internal:7001/base",
}


def test_valid_settings_are_read_with_their_origins() -> None:
    """Guards against values whose origin an operator cannot find out."""
    environment = {"CARDAMOMDYKE_DRAIN_SECONDS": "5", "CARDAMOMDYKE_CLIENT_VM": "x"}
    flags = {**VALID, "maximum_body_bytes": 10}
    settings, origins = read_settings(flags, environment).ok
    assert (settings.drain_seconds, settings.maximum_body_bytes) == (5.0, 10)
    assert origins["drain_seconds"] == "CARDAMOMDYKE_DRAIN_SECONDS"
    assert origins["vm"] == "flag --vm"
    assert origins["statsd_address"] == "default"
    assert set(origins) == {field.name for field in fields(Settings)}


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("vm", ""),
        ("vm", "a b"),
        ("failure_domain", "x" * 64),
        ("caller_address", "127.0.0.1"),
        ("caller_address", "127.0.0.1:0"),
        ("caller_address", "127.0.0.1:65536"),
        ("caller_address", "0.0.0.0:80"),
        ("caller_address", "gent-e1:80"),
        ("peer_address", "127.0.0.1:8000"),
        ("statsd_address", "8125"),
        ("log_url", "127.0.0.1:7000"),
        ("log_url", "http://127.0.0.1:port"),
        ("vmlist_url", "http://h/?a=b"),
        ("maximum_body_bytes", "1.5"),
        ("maximum_body_bytes", "0"),
        ("maximum_body_bytes", True),
        ("drain_seconds", "nan"),
        ("drain_seconds", "-1"),
        ("drain_seconds", "inf"),
        ("usage_period_seconds", "0"),
        ("log_retention_seconds", "soon"),
        ("colour", "red"),
    ],
)
def test_invalid_value_is_refused(name: str, value: object) -> None:
    """Guards against a daemon that starts with an invalid setting and fails later."""
    problem = read_settings({**VALID, name: value}, {}).error
    assert problem.kind == "invalid_setting"
    assert name in problem.message
    assert problem.remedy


def test_all_faults_are_named_at_once() -> None:
    """Guards against a restart of the daemon for each error."""
    environment = {"CARDAMOMDYKE_COLOUR": "red", "CARDAMOMDYKE_DRAIN_SECONDS": "x"}
    message = read_settings({"vm": "?", "size": 1}, environment).error.message
    for word in (
        "--size",
        "CARDAMOMDYKE_COLOUR",
        "drain_seconds",
        "CARDAMOMDYKE_DRAIN_SECONDS",
        "vm is '?' (flag --vm)",
        "CARDAMOMDYKE_LOG_URL",
    ):
        assert word in message
