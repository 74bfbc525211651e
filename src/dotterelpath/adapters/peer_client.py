"""Calls peers over HTTP with JSON."""

from __future__ import annotations

import typing
import urllib.parse

import orjson

from dotterelpath.adapters import http_client
from dotterelpath.adapters import peer_codec
from dotterelpath.domain import exchange
from dotterelpath.domain import fleet_membership
from dotterelpath.domain import keys
from dotterelpath.domain import vms
from dotterelpath.ports import document_codec as codec_port
from dotterelpath.ports import peers

# The timeout of heartbeats and suspicion reports.
HEARTBEAT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 3.0
# Added to the time left for a forwarded request; the sum is the call's timeout.
FORWARD_MARGIN_S = 0.5


class PeerClient:
    """Calls peers over HTTP; see peers.Peers."""

    __slots__ = ("_client", "_codec", "_data_centre", "_own_home")

    def __init__(
        self,
        own_home: keys.Home,
        data_centre: str,
        client: http_client.HttpClient,
        codec: codec_port.DocumentCodec,
    ) -> None:
        """Creates a client.

        Args:
            own_home: The home of this daemon.
            data_centre: The data centre of this daemon.
            client: Sends the calls.
            codec: Decodes heads and ledgers.
        """
        self._own_home = own_home
        self._data_centre = data_centre
        self._client = client
        self._codec = codec

    async def heartbeat(
        self, vm: vms.Vm, heartbeat: fleet_membership.Heartbeat
    ) -> fleet_membership.Heartbeat:
        """Exchanges heartbeats; see peers.Peers."""
        data = await self._post(
            vm,
            "/peer/heartbeat",
            peer_codec.heartbeat_to_json(heartbeat),
            HEARTBEAT_TIMEOUT_S,
        )
        return _decode(peer_codec.heartbeat_from_json, data)

    async def forward(
        self,
        vm: vms.Vm,
        request: exchange.Request,
        timeout_s: float,
        claimed_home: keys.Home | None,
    ) -> exchange.Outcome:
        """Forwards a request to the home of its key; see peers.Peers."""
        data = {
            "request": peer_codec.request_to_json(request),
            "timeout_s": timeout_s,
            "claimed_home": None
            if claimed_home is None
            else peer_codec.home_to_json(claimed_home),
        }
        response = await self._post(
            vm, "/peer/forward", data, timeout_s + FORWARD_MARGIN_S
        )
        return _decode(peer_codec.outcome_from_json, response)

    async def hand_off(self, vm: vms.Vm, hand_off: peers.HandOff) -> None:
        """Sends records to a successor; see peers.Peers."""
        await self._post(
            vm,
            "/peer/hand-off",
            peer_codec.hand_off_to_json(hand_off),
            CALL_TIMEOUT_S,
        )

    async def snapshot(self, vm: vms.Vm) -> peers.Snapshot:
        """Reads the document head and the ledgers; see peers.Peers."""
        data = await self._get(vm, "/peer/snapshot")
        try:
            head = data["head"]
            return peers.Snapshot(
                None if head is None else self._codec.decode_head(head),
                [
                    self._codec.decode_ledger(service, text, revision)
                    for service, text, revision in data["ledgers"]
                ],
            )
        except (KeyError, TypeError, ValueError) as error:
            raise peers.PeerNoResponseError(
                f"malformed snapshot: {error}"
            ) from error

    async def blob(self, vm: vms.Vm, digest: str) -> str | None:
        """Reads a section's text; see peers.Peers."""
        target = "/peer/blobs/" + urllib.parse.quote(digest, safe="")
        return (await self._get(vm, target)).get("text")

    async def key_prefix(self, vm: vms.Vm) -> str:
        """Requests a key prefix; see peers.Peers."""
        data = await self._get(vm, "/peer/key-prefix")
        try:
            return str(data["prefix"])
        except KeyError as error:
            raise peers.PeerNoResponseError(
                "the response has no prefix"
            ) from error

    async def report(
        self, vm: vms.Vm, service: str, scores: dict[str, float]
    ) -> None:
        """Reports suspected instances; see peers.Peers."""
        data = {
            "service": service,
            "daemon_id": self._own_home.daemon_id,
            "data_centre": self._data_centre,
            "scores": {i: round(s, 1) for i, s in scores.items()},
        }
        await self._post(vm, "/peer/reports", data, HEARTBEAT_TIMEOUT_S)

    async def _get(self, vm: vms.Vm, target: str) -> peer_codec.Json:
        return await self._call(
            vm,
            http_client.build_get(target),
            CALL_TIMEOUT_S,
            http_client.new_transfer(CALL_TIMEOUT_S),
        )

    async def _post(
        self,
        vm: vms.Vm,
        target: str,
        data: peer_codec.Json,
        timeout_s: float,
    ) -> peer_codec.Json:
        request = http_client.build_post(target, orjson.dumps(data))
        return await self._call(vm, request, timeout_s)

    async def _call(
        self,
        vm: vms.Vm,
        request: exchange.Request,
        timeout_s: float,
        transfer: exchange.Transfer | None = None,
    ) -> peer_codec.Json:
        try:
            response = await self._client.call(
                vm.host, vm.peer_port, request, timeout_s, transfer
            )
        except http_client.NotSentError as error:
            raise peers.PeerUnreachableError(str(error)) from error
        except http_client.NoResponseError as error:
            raise peers.PeerNoResponseError(str(error)) from error
        if response.status != 200:
            raise peers.PeerNoResponseError(
                f"status {response.status}, expected 200"
            )
        return _decode(orjson.loads, response.body)


R = typing.TypeVar("R")


def _decode(decode: typing.Callable[[typing.Any], R], data: typing.Any) -> R:
    try:
        return decode(data)
    except ValueError as error:
        raise peers.PeerNoResponseError(
            f"malformed response: {error}"
        ) from error
