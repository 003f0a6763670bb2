"""Typed refusals of oversized and misdirected requests, on both daemons."""

import socket
from collections.abc import Iterator
from dataclasses import dataclass
from http.client import HTTPResponse
from typing import Any

import pytest
from msgspec.json import decode, encode

from cardamomdyke_standins.deployment import (
    keep_failure_domain,
    move_to_free_ports,
    read_example,
    run_deployment,
    shrink_example,
)
from cardamomdyke_standins.nodes import API_KEY, PATH_PREFIX, ROUTE_HOST, run_nodes
from tests.processes.conftest import ROOT

pytestmark = pytest.mark.processes
TIMEOUT_SECONDS = 30.0
CHUNK = b"x" * 65_536
MEGABYTE = 1_048_576
JOB_ID = "00000000000000a1"


@dataclass(frozen=True)
class Target:
    """A daemon's interface for callers, and a valid path with its headers.

    Attributes
    ----------
    address : str
        ``host:port``.
    path : str
        Path that takes a body.
    headers : dict of str to str
        Headers of a valid request.
    fields : frozenset of str
        Fields of each refusal's JSON.
    """

    address: str
    path: str
    headers: dict[str, str]
    fields: frozenset[str]


@dataclass(frozen=True)
class Reply:
    """Status, headers and body of a reply."""

    status: int
    headers: dict[str, str]
    body: bytes

    def read_problem(self) -> dict[str, Any]:
        assert self.headers["Content-Type"].startswith("application/json")
        problem: dict[str, Any] = decode(self.body)
        return problem


@pytest.fixture(scope="module")
def product(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Target]:
    """Run the product's own daemon with one backend server."""
    example = read_example(ROOT / "examples" / "federation.json")
    example = keep_failure_domain(shrink_example(example, 1, 1), "gent")
    directory = tmp_path_factory.mktemp("product")
    with run_deployment(move_to_free_ports(example), directory) as deployment:
        yield Target(
            deployment.example["vms"][0]["caller_address"],
            "/v1/services/order-desk/requests",
            {"Host": "x", "Client-Account": "koffie-invoer"},
            frozenset({"outcome", "kind", "message", "remedy"}),
        )


@pytest.fixture(scope="module")
def node(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Target]:
    """Run the daemon of the platform with one backend server."""
    with run_nodes(tmp_path_factory.mktemp("node"), vms=1, servers=1) as nodes:
        yield Target(
            nodes.callers["vm0"],
            PATH_PREFIX + JOB_ID,
            {"Host": ROUTE_HOST, "Api-Key": API_KEY},
            frozenset({"error", "remedy"}),
        )


@pytest.fixture(params=["product", "node"])
def target(request: pytest.FixtureRequest) -> Target:
    found: Target = request.getfixturevalue(request.param)
    return found


def connect(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=TIMEOUT_SECONDS)


def make_head(target: Target, **changes: str) -> bytes:
    """Return the head of a POST; ``method`` and ``path`` replace those of the target.

    Other changes are headers, with underscores for hyphens.
    """
    method = changes.pop("method", "POST")
    path = changes.pop("path", target.path)
    added = {name.replace("_", "-"): value for name, value in changes.items()}
    lines = [f"{name}: {value}" for name, value in {**target.headers, **added}.items()]
    return "\r\n".join([f"{method} {path} HTTP/1.1", *lines, "", ""]).encode()


def read_reply(connection: socket.socket) -> Reply:
    response = HTTPResponse(connection)
    response.begin()
    return Reply(response.status, dict(response.getheaders()), response.read())


def send(target: Target, body: bytes = b"", **changes: str) -> Reply:
    """Send a whole request, and only then read the reply."""
    if "Transfer_Encoding" not in changes:
        changes.setdefault("Content_Length", str(len(body)))
    with connect(target.address) as connection:
        connection.sendall(make_head(target, **changes) + body)
        return read_reply(connection)


def check_refusal(target: Target, reply: Reply, status: int) -> dict[str, Any]:
    assert reply.status == status, reply
    problem = reply.read_problem()
    assert set(problem) == target.fields
    assert all(problem.values())
    if "outcome" in target.fields:
        assert reply.headers["Outcome"] == problem["outcome"] == "not_run"
        assert reply.headers["Request-Id"]
    return problem


@pytest.mark.parametrize("size", [70_000, MEGABYTE, 8 * MEGABYTE])
def test_long_headers_are_refused(target: Target, size: int) -> None:
    """Guards against a connection that is closed without a reply."""
    reply = send(target, X_Long="x" * size)
    check_refusal(target, reply, 431)
    assert send(target, method="GET", path="/nowhere").status == 404


def test_headers_that_never_end_are_refused(target: Target) -> None:
    """Guards against a daemon that reads headers without a bound."""
    head = make_head(target).removesuffix(b"\r\n")
    with connect(target.address) as connection:
        connection.sendall(head + b"X-Long: " + CHUNK + CHUNK)
        check_refusal(target, read_reply(connection), 431)


def test_unknown_path_is_refused(target: Target) -> None:
    """Guards against an HTML page where callers expect JSON."""
    for method in ("GET", "POST", "DELETE"):
        for path in ("/nowhere", "/v1", "/%00", "/" + "x" * 5000):
            check_refusal(target, send(target, method=method, path=path), 404)


def test_unknown_method_is_refused(target: Target) -> None:
    """Guards against an HTML page where callers expect JSON."""
    for method in ("FETCH", "PATCH"):
        check_refusal(target, send(target, method=method), 405)


@pytest.mark.parametrize("size", [2, 16])
def test_large_body_is_refused_after_it_was_sent(target: Target, size: int) -> None:
    """Guards against a reply that is lost with the rest of the body unread."""
    reply = send(target, b"x" * (size * MEGABYTE))
    check_refusal(target, reply, 413)
    assert reply.headers["Connection"] == "close"


def test_large_chunked_body_is_refused(target: Target) -> None:
    """Guards against a limit that holds only with the header Content-Length."""
    chunk = b"%x\r\n" % len(CHUNK) + CHUNK + b"\r\n"
    body = chunk * 32 + b"0\r\n\r\n"
    reply = send(target, body, Transfer_Encoding="chunked")
    check_refusal(target, reply, 413)
    assert reply.headers["Connection"] == "close"


def test_large_body_is_refused_while_it_is_sent(target: Target) -> None:
    """Guards against a caller who learns of the limit only after the whole body."""
    with connect(target.address) as connection:
        connection.sendall(make_head(target, Content_Length=str(10**12)))
        connection.sendall(CHUNK)
        reply = read_reply(connection)
        check_refusal(target, reply, 413)
        assert reply.headers["Connection"] == "close"
        # What the caller sends on is read, up to a bound.
        for _ in range(16):
            connection.sendall(CHUNK)
        with pytest.raises(OSError):
            while True:
                connection.sendall(CHUNK)


def test_oversized_key_is_refused(product: Target) -> None:
    """Guards against a key that reaches backend servers and the log at any length."""
    for size in (201, 60_000):
        reply = send(product, Idempotency_Key="k" * size)
        assert check_refusal(product, reply, 400)["kind"] == "bad_request"
    assert send(product, b"text", Idempotency_Key="k" * 200).status == 200


@pytest.mark.parametrize(
    "field",
    [
        {"idempotency_key": "k" * 201},
        {"idempotency_key": "key\n"},
        {"client_account": "k" * 201},
        {"service": "k" * 201},
    ],
)
def test_oversized_field_of_a_job_is_refused(
    product: Target, field: dict[str, str]
) -> None:
    """Guards against a key that reaches backend servers and the log at any length."""
    job = {"client_account": "koffie-invoer", "service": "order-desk", **field}
    reply = send(product, encode(job), path="/v1/jobs")
    problem = check_refusal(product, reply, 400)
    assert problem["kind"] == "bad_request"
    assert next(iter(field)) in problem["message"]


@pytest.mark.parametrize("wait", ["soon", "nan", "-1", "1e999", "9" * 5000])
def test_unreadable_wait_is_refused(product: Target, wait: str) -> None:
    """Guards against an unexpected error, status 504, for a typing error."""
    path = f"/v1/jobs/{JOB_ID}/answer?wait={wait}"
    check_refusal(product, send(product, method="GET", path=path), 400)


@pytest.mark.parametrize("limit", ["0", "-1", "some", "9" * 5000])
def test_unreadable_limit_is_refused(product: Target, limit: str) -> None:
    """Guards against an unexpected error for a number that Python does not convert."""
    path = f"/v1/timeline?limit={limit}"
    check_refusal(product, send(product, method="GET", path=path), 400)


def test_oversized_job_id_is_refused(node: Target) -> None:
    """Guards against an id that the store cannot take as a key."""
    path = PATH_PREFIX + "0" * 60_000
    check_refusal(node, send(node, b"{}", path=path), 400)


def test_oversized_api_key_is_refused(node: Target) -> None:
    """Guards against an unexpected error for a long key."""
    check_refusal(node, send(node, b"{}", Api_Key="k" * 60_000), 401)


def test_oversized_specification_is_refused(node: Target) -> None:
    """Guards against a job that the store cannot take."""
    body = encode({"specification": "x" * 4001, "steps": [{"count": 1}]})
    check_refusal(node, send(node, body), 400)
