"""Client of the Thrift messages between VMs."""

from dataclasses import dataclass
from typing import Any, TypeVar

from expression import Error, Ok, Result
from tornado.curl_httpclient import CurlAsyncHTTPClient

from cardamomdyke.adapters.http import (
    HttpCall,
    TransportFault,
    TransportFaultKind,
    send_call,
)
from cardamomdyke.protocol.codec import (
    MalformedMessageError,
    decode_message,
    encode_message,
)
from cardamomdyke.protocol.gen.ttypes import (
    ConfigurationCall,
    ConfigurationReply,
    DirectOrder,
    DispatchCall,
    DispatchReply,
    Empty,
    Gossip,
    JobCall,
    JobReply,
    RelayCall,
    RelayReply,
)

Reply = TypeVar("Reply")
MEDIA_TYPE = "application/x-thrift"


@dataclass(frozen=True)
class PeerClient:
    """Client of the other VMs.

    Attributes
    ----------
    http : CurlAsyncHTTPClient
        The loop's HTTP client.
    """

    http: CurlAsyncHTTPClient

    async def exchange_gossip(
        self, address: str, gossip: Gossip
    ) -> Result[Gossip, TransportFault]:
        """Send this VM's view and receive the peer's."""
        return await self._call(address, "exchange_gossip", gossip, Gossip)

    async def fetch_configuration(
        self, address: str, call: ConfigurationCall
    ) -> Result[ConfigurationReply, TransportFault]:
        """Fetch a configuration newer than the known version."""
        return await self._call(
            address, "fetch_configuration", call, ConfigurationReply
        )

    async def dispatch_request(
        self, address: str, call: DispatchCall, timeout_seconds: float
    ) -> Result[DispatchReply, TransportFault]:
        """Forward a short request to a VM of another failure domain."""
        return await self._call(
            address, "dispatch_request", call, DispatchReply, timeout_seconds
        )

    async def handle_job(
        self, address: str, call: JobCall
    ) -> Result[JobReply, TransportFault]:
        """Submit, show or cancel a job at a planner."""
        return await self._call(address, "handle_job", call, JobReply)

    async def deliver_order(
        self, address: str, order: DirectOrder
    ) -> Result[Empty, TransportFault]:
        """Deliver an order to take a failure domain out of service."""
        return await self._call(address, "deliver_order", order, Empty)

    async def relay_request(
        self, address: str, call: RelayCall, timeout_seconds: float
    ) -> Result[RelayReply, TransportFault]:
        """Forward a caller's request to a daemon that reaches the store."""
        return await self._call(
            address, "relay_request", call, RelayReply, timeout_seconds
        )

    async def _call(
        self,
        address: str,
        method: str,
        message: Any,
        reply_type: type[Reply],
        timeout_seconds: float = 1.0,
    ) -> Result[Reply, TransportFault]:
        call = HttpCall(
            "POST",
            f"http://{address}/peer/{method}",
            headers={"Content-Type": MEDIA_TYPE},
            body=encode_message(message),
            timeout_seconds=timeout_seconds,
            # libcurl may resend on a reused connection; see HttpCall.
            fresh_connection=method == "dispatch_request" and not message.repeatable,
        )
        result = await send_call(self.http, call)
        if result.is_error():
            return Error(result.error)
        if result.ok.code != 200:
            detail = f"{address} returned status {result.ok.code} for {method}"
            return Error(TransportFault(TransportFaultKind.UNCERTAIN, detail))
        try:
            return Ok(decode_message(result.ok.body, reply_type))
        except MalformedMessageError as error:
            return Error(TransportFault(TransportFaultKind.UNCERTAIN, str(error)))
