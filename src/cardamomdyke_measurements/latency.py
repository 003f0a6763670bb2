"""Latency of short requests over direct calls to a backend stand-in."""

import asyncio
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from fire import Fire
from hdrh.histogram import HdrHistogram
from msgspec.json import decode, encode
from tornado.curl_httpclient import CurlAsyncHTTPClient

from cardamomdyke.adapters.http import HttpCall, make_http_client, send_call
from cardamomdyke_standins.deployment import (
    Deployment,
    move_to_free_ports,
    read_example,
    run_deployment,
    shrink_example,
)

ROOT = Path(__file__).parents[2]
MAX_MICROSECONDS = 60_000_000
PERCENTILES = (50.0, 99.0)


async def time_calls(http: CurlAsyncHTTPClient, calls: list[HttpCall]) -> HdrHistogram:
    """Send calls one after another; return a histogram of microseconds."""
    histogram = HdrHistogram(1, MAX_MICROSECONDS, 3)
    for call in calls:
        started_at = time.perf_counter()
        result = await send_call(http, call)
        if result.is_error() or result.ok.code != 200:
            raise RuntimeError(f"{call.url} failed: {result}")
        histogram.record_value(int((time.perf_counter() - started_at) * 1e6))
    return histogram


async def request_ticket(http: CurlAsyncHTTPClient, address: str) -> str:
    """Request a new start ticket from a backend server."""
    result = await send_call(http, HttpCall("GET", f"http://{address}/v1/ticket"))
    ticket: str = decode(result.ok.body)["ticket"]
    return ticket


async def measure_deployment(deployment: Deployment, count: int) -> dict[str, Any]:
    """Measure direct calls, then each kind of call through a VM."""
    http = make_http_client()
    vm = deployment.example["vms"][0]
    pool = deployment.example["tables"]["pools"][0]
    address = pool["servers"][0]["address"]
    url = f"http://{vm['caller_address']}/v1/services/{pool['service']}/requests"
    account = deployment.example["tables"]["routes"][0]["client_account"]

    def make_call(number: int, **headers: str) -> HttpCall:
        fields = {"Client-Account": account, **headers}
        return HttpCall("POST", url, fields, b"x", fresh_connection=False)

    report: dict[str, Any] = {}
    direct = HdrHistogram(1, MAX_MICROSECONDS, 3)
    for start in range(0, count, 50):
        ticket = await request_ticket(http, address)
        calls = [
            HttpCall(
                "POST",
                f"http://{address}/v1/run",
                {"Request-Id": f"direct-{n}", "Start-Ticket": ticket},
                b"x",
            )
            for n in range(start, start + 50)
        ]
        direct.add(await time_calls(http, calls))
    report["direct"] = list_percentiles(direct)
    call_factories: dict[str, Callable[[int], HttpCall]] = {
        "repeatable": lambda n: make_call(n, Repeatable="true"),
        "not repeatable": make_call,
        "with key": lambda n: make_call(n, **{"Idempotency-Key": f"k{n}"}),
    }
    for name, make_numbered_call in call_factories.items():
        histogram = await time_calls(
            http, [make_numbered_call(n) for n in range(count)]
        )
        report[name] = list_percentiles(histogram)
        report[f"{name} / direct"] = [
            round(routed_ms / direct_ms, 2)
            for routed_ms, direct_ms in zip(report[name], report["direct"], strict=True)
        ]
    return report


def list_percentiles(histogram: HdrHistogram) -> list[float]:
    """Return p50 and p99 in milliseconds."""
    return [
        histogram.get_value_at_percentile(percentile) / 1000
        for percentile in PERCENTILES
    ]


def main(count: int = 500) -> None:
    """Print p50 and p99 in milliseconds, and their ratios to direct calls, as JSON.

    Parameters
    ----------
    count : int
        Calls of each kind, a multiple of 50.
    """
    example = read_example(ROOT / "examples" / "federation.json")
    example = move_to_free_ports(shrink_example(example, 2, 1))
    directory = Path(tempfile.mkdtemp(prefix="cardamomdyke-latency-"))
    with run_deployment(example, directory) as deployment:
        report = asyncio.run(measure_deployment(deployment, count))
    print(encode(report).decode())


if __name__ == "__main__":
    Fire(main)
