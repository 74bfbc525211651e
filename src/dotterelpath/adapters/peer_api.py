"""Serves the calls of peers."""

from __future__ import annotations

import asyncio
import itertools
import typing

import orjson

from dotterelpath import errors
from dotterelpath.adapters import api
from dotterelpath.adapters import peer_codec
from dotterelpath.domain import exchange
from dotterelpath.domain import keys
from dotterelpath.domain import record_tables
from dotterelpath.domain import records
from dotterelpath.ports import clock as clock_port
from dotterelpath.ports import document_codec as codec_port
from dotterelpath.tasks import document_loader
from dotterelpath.tasks import ejection_coordinator as coordinator_task
from dotterelpath.tasks import events
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import messages


class PeerApi:
    """Turns the calls of peers into messages to the daemon's tasks."""

    __slots__ = (
        "_clock",
        "_codec",
        "_coordinator",
        "_coordinator_inbox",
        "_dispatcher",
        "_gossip",
        "_loader",
        "_pending",
        "_record_tables",
        "_replies",
        "_tokens",
    )

    def __init__(
        self,
        clock: clock_port.Clock,
        codec: codec_port.DocumentCodec,
        loader: document_loader.DocumentLoader,
        coordinator: coordinator_task.EjectionCoordinator,
        tables: record_tables.RecordTables,
        replies: mailbox.Mailbox[typing.Any],
        dispatcher: mailbox.Mailbox[typing.Any],
        gossip: mailbox.Mailbox[typing.Any],
        coordinator_inbox: mailbox.Mailbox[typing.Any],
    ) -> None:
        """Creates the handlers.

        Args:
            clock: Gives the time.
            codec: Encodes heads and ledgers.
            loader: Holds the current document.
            coordinator: Holds the ledgers.
            tables: The record tables of this daemon and of adopted homes.
            replies: Receives the outcomes of forwarded requests.
            dispatcher: Receives forwarded requests and handed-off records.
            gossip: Receives heartbeats and adoptions.
            coordinator_inbox: Receives suspicion reports.
        """
        self._clock = clock
        self._codec = codec
        self._loader = loader
        self._coordinator = coordinator
        self._record_tables = tables
        self._replies = replies
        self._dispatcher = dispatcher
        self._gossip = gossip
        self._coordinator_inbox = coordinator_inbox
        self._tokens = itertools.count(1)
        self._pending: dict[int, asyncio.Future[exchange.Outcome]] = {}

    @property
    def handlers(self) -> dict[tuple[str, str], api.Handler]:
        """The handlers by method and path."""
        return {
            ("POST", "/peer/heartbeat"): self.heartbeat,
            ("POST", "/peer/forward"): self.forward,
            ("POST", "/peer/hand-off"): self.hand_off,
            ("POST", "/peer/reports"): self.reports,
            ("GET", "/peer/snapshot"): self.snapshot,
            ("GET", "/peer/blobs/"): self.blob,
            ("GET", "/peer/key-prefix"): self.key_prefix,
        }

    async def run(self) -> None:
        """Passes the outcomes of forwarded requests to the waiting calls."""
        while True:
            message = await self._replies.receive()
            if not isinstance(message, messages.RequestEnded):
                continue
            future = self._pending.pop(message.token, None)
            if future is not None and not future.done():
                future.set_result(message.outcome)

    async def heartbeat(self, request: exchange.Request) -> exchange.Response:
        """Exchanges heartbeats.

        Args:
            request: The call.
        """
        heartbeat = peer_codec.heartbeat_from_json(orjson.loads(request.body))
        reply = asyncio.get_running_loop().create_future()
        self._gossip.force(events.HeartbeatArrived(heartbeat, reply))
        return api.json_response(peer_codec.heartbeat_to_json(await reply))

    async def forward(self, request: exchange.Request) -> exchange.Response:
        """Runs a keyed request whose records this daemon stores.

        Args:
            request: The call.
        """
        data = orjson.loads(request.body)
        claimed_home = data.get("claimed_home")
        arrived = messages.RequestArrived(
            peer_codec.request_from_json(
                data["request"], float(data["timeout_s"])
            ),
            self._replies,
            next(self._tokens),
            True,
            None
            if claimed_home is None
            else peer_codec.home_from_json(claimed_home),
        )
        future = asyncio.get_running_loop().create_future()
        self._pending[arrived.token] = future
        try:
            self._dispatcher.post(arrived)
        except mailbox.MailboxFullError:
            del self._pending[arrived.token]
            # An earlier request with the key may have run, so the code must not
            # be one that says that the request was not run.
            code = errors.ResultCode.RECORDS_FULL
            return _outcome_response(exchange.Outcome(code))
        return _outcome_response(await future)

    async def hand_off(self, request: exchange.Request) -> exchange.Response:
        """Adopts the records of a home that shuts down.

        Args:
            request: The call.
        """
        hand_off = peer_codec.hand_off_from_json(orjson.loads(request.body))
        now_s = self._clock.now_s()
        record_table = records.RecordTable(
            hand_off.home, now_s - hand_off.age_s
        )
        record_table.adopted_at_s = now_s
        record_table.raise_min_epoch(hand_off.min_epoch)
        for scoped_key, record in hand_off.records.items():
            record_table.import_record(scoped_key, record)
        if hand_off.is_closed:
            record_table.close()
        adopted = events.RecordTableAdopted(record_table)
        self._dispatcher.force(adopted)
        self._gossip.force(adopted)
        return api.json_response({})

    async def reports(self, request: exchange.Request) -> exchange.Response:
        """Handles a peer's suspicion reports on a service.

        Args:
            request: The call.
        """
        data = orjson.loads(request.body)
        try:
            arrived = events.SuspicionReportReceived(
                str(data["service"]),
                str(data["daemon_id"]),
                str(data["data_centre"]),
                {str(i): float(s) for i, s in data["scores"].items()},
            )
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"malformed reports: {error!r}") from error
        self._coordinator_inbox.force(arrived)
        return api.json_response({})

    async def snapshot(self, request: exchange.Request) -> exchange.Response:
        """Returns this daemon's document head and ledgers.

        Args:
            request: The call.
        """
        head = self._loader.head
        return api.json_response(
            {
                "head": None if head is None else self._codec.encode_head(head),
                "ledgers": [
                    [
                        service,
                        self._codec.encode_ledger(ledger),
                        ledger.revision,
                    ]
                    for service, ledger in self._coordinator.ledgers.items()
                ],
            }
        )

    async def key_prefix(self, request: exchange.Request) -> exchange.Response:
        """Issues a prefix for keys whose records this daemon stores.

        Args:
            request: The call.
        """
        own = self._record_tables.own
        uptime_s = self._clock.now_s() - own.started_at_s
        return api.json_response(
            {"prefix": keys.issue_prefix(own.home, uptime_s)}
        )

    async def blob(self, request: exchange.Request) -> exchange.Response:
        """Returns the text of a section.

        Args:
            request: The call.
        """
        text = self._loader.texts.get(api.last_segment(request))
        return api.json_response({"text": text})


def _outcome_response(outcome: exchange.Outcome) -> exchange.Response:
    return api.json_response(peer_codec.outcome_to_json(outcome))
