"""Edits and failure domain orders through real processes."""

from concurrent.futures import ThreadPoolExecutor
from typing import Any
from urllib.error import HTTPError

import pytest
from msgspec.json import decode, encode

from cardamomdyke_standins.deployment import Deployment, send_http, wait_until

pytestmark = pytest.mark.processes


def set_log_faults(deployment: Deployment, **faults: object) -> None:
    url = f"http://{deployment.example['log_address']}/faults"
    send_http("PUT", url, encode(faults))


def put_tables(vm: dict[str, str], base: int, tables: Any) -> tuple[int, Any]:
    """Submit an edit; return the status code and the reply."""
    body = encode({"base_version": base, "tables": tables})
    url = f"http://{vm['caller_address']}/v1/tables"
    try:
        return 200, decode(send_http("PUT", url, body))
    except HTTPError as error:
        return error.code, decode(error.read())


def switch_domain(vm: dict[str, str], name: str, action: str) -> Any:
    url = f"http://{vm['caller_address']}/v1/domains/{name}/{action}"
    return decode(send_http("POST", url, b""))


def wait_for_all(deployment: Deployment, check: Any) -> None:
    """Wait until every VM's status passes a check."""
    for vm in deployment.example["vms"]:

        def passes(vm: dict[str, str] = vm) -> bool:
            status = deployment.read_json(vm, "/v1/status")
            return status is not None and check(status)

        wait_until(passes)


def test_racing_edits_leave_one_winner(small_federation: Deployment) -> None:
    """Guards against two accepted edits of one version through two VMs."""
    vms = small_federation.example["vms"]
    current = small_federation.read_json(vms[0], "/v1/tables")
    with ThreadPoolExecutor(2) as executor:
        replies = list(
            executor.map(
                lambda vm: put_tables(vm, current["version"], current["tables"]),
                vms[:2],
            )
        )
    codes = sorted(code for code, _ in replies)
    assert codes == [200, 409], replies
    loser = next(reply for code, reply in replies if code == 409)
    assert loser["kind"] == "edit_lost_race"
    version = next(reply["version"] for code, reply in replies if code == 200)
    wait_for_all(small_federation, lambda status: status["version"] == version)


def test_edit_with_a_lost_answer_is_found(small_federation: Deployment) -> None:
    """Guards against an edit repeated or reported as failed though in force."""
    vm = small_federation.example["vms"][0]
    current = small_federation.read_json(vm, "/v1/tables")
    set_log_faults(small_federation, lose_answers=1)
    code, reply = put_tables(vm, current["version"], current["tables"])
    assert code == 200, reply
    address = small_federation.example["log_address"]
    page = decode(
        send_http("GET", f"http://{address}/v1/streams/config/records?from=0")
    )
    assert page["end"] == 2
    wait_for_all(small_federation, lambda s: s["version"] == reply["version"])


def test_domain_out_without_the_log(small_federation: Deployment) -> None:
    """Guards against an order that needs the log, or that its return undoes."""
    vms = small_federation.example["vms"]
    set_log_faults(small_federation, down=True)
    report = switch_domain(vms[0], "kortrijk", "out")
    assert report["recording"] == "not_recorded"
    assert all(row["confirmed"] for row in report["vms"]), report
    assert report["no_start_after"] is not None
    with pytest.raises(HTTPError) as refused:
        switch_domain(vms[0], "kortrijk", "in")
    assert decode(refused.value.read())["kind"] == "log_unavailable"
    wait_for_all(small_federation, lambda status: len(status["orders"]) == 1)
    set_log_faults(small_federation)
    wait_for_all(small_federation, lambda s: s["version"] > 1 and not s["orders"])
    tables = small_federation.read_json(vms[2], "/v1/tables")["tables"]
    states = {row["name"]: row["in_service"] for row in tables["failure_domains"]}
    assert states == {"gent": True, "kortrijk": False, "lokeren": True}
    version = switch_domain(vms[2], "kortrijk", "in")["version"]
    wait_for_all(small_federation, lambda status: status["version"] == version)
