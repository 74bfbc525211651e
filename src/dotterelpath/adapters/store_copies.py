"""Exchanges copies of the store between daemons over HTTP."""

from __future__ import annotations

import typing
import urllib.parse
import zlib

import orjson

from dotterelpath import errors
from dotterelpath.adapters import api
from dotterelpath.adapters import http_client
from dotterelpath.domain import exchange
from dotterelpath.domain import steering
from dotterelpath.domain import store_position
from dotterelpath.ports import metrics as metrics_port
from dotterelpath.ports import store
from dotterelpath.ports import store_copies

CHANGES_PATH = "/store/changes"
# Fast, and enough for a configuration, whose routes repeat each other.
COMPRESSION_LEVEL = 1
# The most encoded responses that are kept. Most daemons follow closely and ask
# for the same changes.
MAX_KEPT_RESPONSES = 4


class StoreCopyApi:
    """Serves this daemon's copy of the store to other daemons."""

    __slots__ = ("_holder", "_kept")

    def __init__(self, holder: store_copies.CopyHolder) -> None:
        """Creates the handlers.

        Args:
            holder: Has the copy.
        """
        self._holder = holder
        # Encoded changes by the positions after and up to which they are.
        self._kept: dict[
            tuple[store_position.Position, store_position.Position], bytes
        ] = {}

    @property
    def handlers(self) -> dict[tuple[str, str], api.Handler]:
        """The handlers by method and path."""
        return {("GET", CHANGES_PATH): self._on_changes}

    async def _on_changes(self, request: exchange.Request) -> exchange.Response:
        query = urllib.parse.parse_qs(request.target.partition("?")[2])
        after = store_position.Position(
            int(query.get("era", ["0"])[0]), int(query.get("after", ["0"])[0])
        )
        changes = self._holder.changes_after(after)
        key = (after, changes.position)
        body = self._kept.get(key)
        if body is None:
            body = self._kept[key] = encode_changes(changes)
            if len(self._kept) > MAX_KEPT_RESPONSES:
                del self._kept[next(iter(self._kept))]
        fields = [(b"content-type", b"application/octet-stream")]
        return exchange.Response(200, fields, body)


class StoreCopyClient:
    """Reads the copies of other daemons; see store_copies.StoreCopies."""

    __slots__ = ("_client", "_max_bytes", "_metrics")

    def __init__(
        self,
        client: http_client.HttpClient,
        max_bytes: int,
        metrics: metrics_port.Metrics,
    ) -> None:
        """Creates a client.

        Args:
            client: Sends the calls.
            max_bytes: The most bytes of a decompressed response.
            metrics: Counts the calls.
        """
        self._client = client
        self._max_bytes = max_bytes
        self._metrics = metrics

    async def changes_after(
        self,
        daemon: steering.Daemon,
        position: store_position.Position,
        transfer: exchange.Transfer,
    ) -> store.Changes:
        """Reads changed keys; see store_copies.StoreCopies."""
        query = urllib.parse.urlencode(
            {"after": position.revision, "era": position.era}
        )
        call = http_client.build_get(f"{CHANGES_PATH}?{query}")
        is_read = False
        try:
            response = await self._client.call(
                daemon.peer_host,
                daemon.peer_port,
                call,
                transfer.pause_s,
                transfer,
            )
            if response.status != 200:
                raise errors.StoreError(
                    f"copy of {daemon.id}: status {response.status}"
                )
            changes = decode_changes(response.body, self._max_bytes)
            is_read = True
            return changes
        except (
            http_client.NotSentError,
            http_client.NoResponseError,
        ) as error:
            raise errors.StoreError(f"copy of {daemon.id}: {error}") from error
        finally:
            self._metrics.record_copy_read(is_read)


def encode_changes(changes: store.Changes) -> bytes:
    """Encodes changes as compressed JSON.

    Args:
        changes: The changes.
    """
    data = {
        "era": changes.position.era,
        "revision": changes.position.revision,
        "is_full": changes.is_full,
        "entries": [
            (entry.key, entry.value, entry.revision, entry.lease)
            for entry in changes.entries
        ],
    }
    return zlib.compress(orjson.dumps(data), COMPRESSION_LEVEL)


def decode_changes(body: bytes, max_bytes: int) -> store.Changes:
    """Decodes changes.

    Args:
        body: The compressed JSON.
        max_bytes: The most bytes of the JSON.

    Raises:
        StoreError: The body is not valid.
    """
    try:
        decompressor = zlib.decompressobj()
        text = decompressor.decompress(body, max_bytes)
        if not decompressor.eof:
            raise ValueError(f"incomplete, or longer than {max_bytes} bytes")
        data = orjson.loads(text)
        entries = [_decode_entry(*item) for item in data["entries"]]
        return store.Changes(
            entries,
            # A daemon of an older build does not send the era.
            store_position.Position(
                _check_integer(data.get("era", 0)),
                _check_integer(data["revision"]),
            ),
            data["is_full"] is True,
            len(body),
        )
    except (
        AttributeError,
        KeyError,
        TypeError,
        ValueError,
        zlib.error,
    ) as error:
        raise errors.StoreError(f"the copy is invalid: {error!r}") from error


def _decode_entry(
    key: typing.Any,
    value: typing.Any,
    revision: typing.Any,
    lease: typing.Any,
) -> store.VersionedValue:
    if not isinstance(key, str) or not isinstance(value, str | None):
        raise ValueError("a key or a value is not a string")
    return store.VersionedValue(
        key, value, _check_integer(revision), _check_integer(lease)
    )


def _check_integer(value: typing.Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError(f"{value!r} is not an integer")
    return value
