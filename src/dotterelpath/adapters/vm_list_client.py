"""Reads the platform's VM list over HTTP with JSON."""

from __future__ import annotations

import typing

import orjson

from dotterelpath import errors
from dotterelpath.adapters import http_client
from dotterelpath.domain import vms
from dotterelpath.ports import vm_list

# Added to the wait that a call requests; the sum is the call's timeout.
WATCH_MARGIN_S = 2.0


class VmListClient:
    """Calls the VM list service; see vm_list.VmList."""

    __slots__ = ("_client", "_host", "_port")

    def __init__(
        self, host: str, port: int, client: http_client.HttpClient
    ) -> None:
        """Creates a client.

        Args:
            host: The service's IP address.
            port: The service's port.
            client: Sends the calls.
        """
        self._host = host
        self._port = port
        self._client = client

    async def changes(self, since: int, wait_s: float) -> vm_list.VmChanges:
        """Waits for changes; see vm_list.VmList."""
        request = http_client.build_get(
            f"/v1/vms?since={since}&wait_s={wait_s}"
        )
        try:
            response = await self._client.call(
                self._host,
                self._port,
                request,
                wait_s + WATCH_MARGIN_S,
                http_client.new_transfer(WATCH_MARGIN_S),
            )
            if response.status != 200:
                raise errors.StoreError(
                    f"VM list: status {response.status}, expected 200"
                )
            data = orjson.loads(response.body)
            return vm_list.VmChanges(
                int(data["revision"]),
                [_vm_from_json(item) for item in data["changed"]],
                [str(item) for item in data["removed"]],
                bool(data["is_full"]),
            )
        except (
            http_client.NotSentError,
            http_client.NoResponseError,
        ) as error:
            raise errors.StoreError(str(error)) from error
        except (KeyError, TypeError, ValueError) as error:
            raise errors.StoreError(f"malformed VM list: {error!r}") from error


def _vm_from_json(item: dict[str, typing.Any]) -> vms.Vm:
    return vms.Vm(
        str(item["id"]),
        vms.VmRole(item["role"]),
        str(item["host"]),
        int(item["port"]),
        str(item["data_centre"]),
        vms.VmState(item["state"]),
        str(item.get("service", "")),
        int(item.get("peer_port", 0)),
    )
