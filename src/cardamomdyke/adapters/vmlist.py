"""Client of the platform's delayed list of VMs and backend servers."""

from dataclasses import dataclass
from enum import StrEnum

from expression import Error, Ok, Result
from msgspec.json import Decoder
from tornado.curl_httpclient import CurlAsyncHTTPClient

from cardamomdyke.adapters.http import HttpCall, send_call
from cardamomdyke.model.errors import DECODE_ERRORS


class MachineKind(StrEnum):
    """What a listed machine runs."""

    ENTRY = "entry"
    BACKEND = "backend"


class MachineState(StrEnum):
    """Whether a listed machine is in use or being removed."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Machine:
    """One machine on the platform's list.

    Attributes
    ----------
    name : str
        Unique name.
    kind : MachineKind
        Entry VM or backend server.
    failure_domain : str
        Failure domain of the machine.
    state : MachineState
        In use or being removed.
    caller_address : str
        ``host:port`` of the HTTP interface for callers.
    peer_address : str
        ``host:port`` for other VMs; empty for a backend server.
    """

    name: str
    kind: MachineKind
    failure_domain: str
    state: MachineState
    caller_address: str
    peer_address: str = ""


@dataclass(frozen=True, slots=True)
class _WireList:
    machines: tuple[Machine, ...]


_LIST_DECODER = Decoder(_WireList)


@dataclass(frozen=True)
class VmListClient:
    """Client of the VM list service.

    Attributes
    ----------
    http : CurlAsyncHTTPClient
        The loop's HTTP client.
    url : str
        Base URL of the service.
    """

    http: CurlAsyncHTTPClient
    url: str

    async def read_machines(self) -> Result[tuple[Machine, ...], str]:
        """Read the complete list.

        Returns
        -------
        Result of tuple of Machine or str
            The list, possibly outdated, or an error message.
        """
        call = HttpCall("GET", f"{self.url}/v1/machines", timeout_seconds=2.0)
        result = await send_call(self.http, call)
        if result.is_error():
            return Error(result.error.detail)
        if result.ok.code != 200:
            return Error(f"VM list service returned status {result.ok.code}")
        try:
            return Ok(_LIST_DECODER.decode(result.ok.body).machines)
        except DECODE_ERRORS as error:
            return Error(f"malformed reply from VM list service: {error}")
