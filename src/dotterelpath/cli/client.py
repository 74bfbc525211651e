"""Calls the HTTP API of a daemon on behalf of the command-line tool."""

from __future__ import annotations

import asyncio
import typing
import urllib.parse

import orjson

from dotterelpath import errors
from dotterelpath.adapters import clock as clock_adapter
from dotterelpath.adapters import http_client
from dotterelpath.domain import deployment
from dotterelpath.domain import exchange

CALL_TIMEOUT_S = 20.0


def get_json(endpoint: deployment.Endpoint, target: str) -> typing.Any:
    """Fetches a JSON resource.

    Args:
        endpoint: The daemon's address.
        target: The path, with the query if there is one.

    Returns:
        The decoded JSON.

    Raises:
        DotterelpathError: The daemon cannot be reached or reports an error.
    """
    return orjson.loads(_call(endpoint, http_client.build_get(target)).body)


def get_section(endpoint: deployment.Endpoint, section: str) -> tuple[str, str]:
    """Fetches a section of the document.

    Args:
        endpoint: The daemon's address for operators.
        section: The section's name.

    Returns:
        The text and its digest.

    Raises:
        DotterelpathError: The daemon cannot be reached or reports an error.
    """
    response = _call(endpoint, http_client.build_get(_section_target(section)))
    etag = (response.header(b"etag") or b"").decode().strip('"')
    return response.body.decode(), etag


def get_digest(endpoint: deployment.Endpoint, section: str) -> str | None:
    """Fetches the digest of a section.

    Args:
        endpoint: The daemon's address for operators.
        section: The section's name.

    Returns:
        The digest, or None if there is no such section.

    Raises:
        DotterelpathError: The daemon cannot be reached or reports an error.
    """
    try:
        return get_section(endpoint, section)[1]
    except errors.DotterelpathError as error:
        if error.code is errors.ResultCode.NO_SECTION:
            return None
        raise


def put_section(
    endpoint: deployment.Endpoint,
    section: str,
    text: str,
    base_digest: str | None,
    token: str,
    edit_id: str,
) -> typing.Any:
    """Saves a section of the document.

    Args:
        endpoint: The daemon's address for operators.
        section: The section's name.
        text: The new text.
        base_digest: The digest of the text that the edit started from; None
            for a new section.
        token: The token of an owner of the section.
        edit_id: Identifies the edit, so that it can be repeated safely.

    Returns:
        The decoded JSON of the response.

    Raises:
        DotterelpathError: The edit was not saved, or its outcome is unknown.
    """
    headers = [
        (b"authorization", f"Bearer {token}".encode()),
        (b"if-match", f'"{base_digest or ""}"'.encode()),
        (b"edit-id", edit_id.encode()),
    ]
    request = exchange.Request(
        "PUT", _section_target(section), headers, text.encode()
    )
    try:
        return orjson.loads(_call(endpoint, request).body)
    except http_client.NoResponseError as error:
        raise errors.DotterelpathError(
            errors.ResultCode.EDIT_UNKNOWN,
            f"no response to edit {edit_id} arrived: {error}",
        ) from error


def get_addresses(
    endpoint: deployment.Endpoint, service: str, workspace: str
) -> typing.Any:
    """Fetches the addresses of the daemons that a caller should use.

    Args:
        endpoint: Any daemon's address for callers.
        service: The service.
        workspace: The caller's workspace.

    Returns:
        The decoded JSON.

    Raises:
        DotterelpathError: The daemon cannot be reached or reports an error.
    """
    query = urllib.parse.urlencode({"service": service, "workspace": workspace})
    return get_json(endpoint, f"/-/addresses?{query}")


def _section_target(section: str) -> str:
    return "/document/sections/" + urllib.parse.quote(section, safe="")


def _call(
    endpoint: deployment.Endpoint, request: exchange.Request
) -> exchange.Response:
    try:
        response = asyncio.run(_send(endpoint, request))
    except http_client.NotSentError as error:
        raise errors.DotterelpathError(
            errors.ResultCode.DAEMON_UNREACHABLE, f"{endpoint}: {error}"
        ) from error
    except http_client.NoResponseError as error:
        if request.method != "GET":
            # The daemon may have saved the edit; put_section reports that.
            raise
        raise errors.DotterelpathError(
            errors.ResultCode.DAEMON_UNREACHABLE, f"{endpoint}: {error}"
        ) from error
    if response.status < 300:
        return response
    try:
        problem = orjson.loads(response.body)
        code = errors.ResultCode(problem["code"])
        raise errors.DotterelpathError(code, problem["text"])
    except (ValueError, KeyError, TypeError) as error:
        raise errors.DotterelpathError(
            errors.ResultCode.BAD_REQUEST,
            f"status {response.status} without a known result code",
        ) from error


async def _send(
    endpoint: deployment.Endpoint, request: exchange.Request
) -> exchange.Response:
    client = http_client.HttpClient(clock_adapter.SystemClock())
    try:
        return await client.call(
            endpoint.host, endpoint.port, request, CALL_TIMEOUT_S
        )
    finally:
        client.close()
