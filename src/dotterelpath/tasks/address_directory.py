"""The task that tells callers which daemons to use for a service."""

from __future__ import annotations

import asyncio
import typing
import urllib.parse

import orjson

from dotterelpath import errors
from dotterelpath.domain import addresses
from dotterelpath.domain import document
from dotterelpath.domain import exchange
from dotterelpath.domain import keys
from dotterelpath.domain import vms
from dotterelpath.ports import clock as clock_port
from dotterelpath.ports import peers as peers_port
from dotterelpath.tasks import events
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import messages

ADDRESSES_PATH = "/-/addresses"
# The most services whose serving daemons are cached.
MAX_CACHED_SUBSETS = 1024
# How long the key prefix of a peer is cached, in seconds.
PREFIX_CACHE_S = 5.0


class _CachedPrefix:
    """A key prefix fetched from a peer."""

    __slots__ = ("fetched_s", "prefix")

    def __init__(self, prefix: str, fetched_s: float) -> None:
        self.prefix = prefix
        self.fetched_s = fetched_s


class AddressDirectory:
    """Responds to address requests with live daemons and a key prefix.

    The prefix names the first daemon of the response as the home of new
    keys. Callers send their requests to that daemon, so keyed requests need
    no forwarding.
    """

    __slots__ = (
        "_clock",
        "_data_centre",
        "_document",
        "_home",
        "_locations",
        "_mailbox",
        "_open_tasks",
        "_peers",
        "_prefixes",
        "_started_s",
        "_subsets",
        "_vms_by_id",
    )

    def __init__(
        self,
        home: keys.Home,
        data_centre: str,
        peers: peers_port.Peers,
        clock: clock_port.Clock,
        inbox: mailbox.Mailbox[typing.Any],
    ) -> None:
        """Creates the task's state.

        Args:
            home: This daemon, the home of the prefixes that it issues.
            data_centre: The data centre of this daemon.
            peers: The client for other daemons.
            clock: The clock of key epochs and cached prefixes.
            inbox: This task's mailbox.
        """
        self._home = home
        self._data_centre = data_centre
        self._peers = peers
        self._clock = clock
        self._prefixes: dict[str, _CachedPrefix] = {}
        self._open_tasks: set[asyncio.Task[None]] = set()
        self._mailbox = inbox
        self._started_s = clock.now_s()
        self._locations: list[addresses.DaemonLocation] = []
        self._subsets: dict[str, list[addresses.DaemonLocation]] = {}
        self._vms_by_id: dict[str, vms.Vm] = {}
        self._document: document.Document | None = None

    async def run(self) -> None:
        """Handles messages until cancelled."""
        while True:
            message = await self._mailbox.receive()
            if isinstance(message, messages.RequestArrived):
                self.on_request_arrived(message)
            elif isinstance(message, events.MembersChanged):
                self.on_members_changed(message)
            elif isinstance(message, events.VmsChanged):
                self._vms_by_id = message.table.by_id
            elif isinstance(message, events.DocumentChanged):
                self._document = message.document

    def on_request_arrived(self, message: messages.RequestArrived) -> None:
        """Responds to a request for addresses.

        Args:
            message: The request and the mailbox that gets its outcome.
        """
        try:
            chosen = self._select_daemons(message.request)
        except errors.DotterelpathError as error:
            outcome = exchange.Outcome(error.code, error.detail)
            self._reply(message, outcome)
            return
        first = chosen[0].id if chosen else self._home.daemon_id
        prefix = self._cached_prefix(first)
        if prefix is not None:
            self._reply(message, _encode_outcome(chosen, prefix))
            return
        task = asyncio.get_running_loop().create_task(
            self._fetch_prefix_and_reply(message, chosen)
        )
        self._open_tasks.add(task)
        task.add_done_callback(self._open_tasks.discard)

    def on_members_changed(self, message: events.MembersChanged) -> None:
        """Applies a change of the live daemons.

        Args:
            message: The live daemons.
        """
        self._subsets.clear()
        self._locations = [
            addresses.DaemonLocation(daemon_id, message.data_centres[daemon_id])
            for daemon_id in message.live
        ]

    def _select_daemons(self, request: exchange.Request) -> list[vms.Vm]:
        """Selects the daemons that a caller should use, the best first."""
        if request.path != ADDRESSES_PATH:
            raise errors.DotterelpathError(
                errors.ResultCode.NO_ROUTE, f"no route for {request.path}"
            )
        if request.method != "GET":
            raise errors.DotterelpathError(errors.ResultCode.METHOD_NOT_ALLOWED)
        query = urllib.parse.parse_qs(request.target.partition("?")[2])
        service = _first_value(query, "service")
        workspace = _first_value(query, "workspace") or request.workspace
        if self._document is None:
            raise errors.DotterelpathError(errors.ResultCode.NO_DOCUMENT)
        if service not in self._document.services:
            raise errors.DotterelpathError(
                errors.ResultCode.NO_ROUTE, f"there is no service {service!r}"
            )
        data_centre = _first_value(query, "data_centre") or self._data_centre
        ordered = addresses.order_for_workspace(
            self._subset(service), workspace, data_centre
        )
        found = (
            self._vms_by_id.get(location.daemon_id) for location in ordered
        )
        return [vm for vm in found if vm is not None]

    def _cached_prefix(self, daemon_id: str) -> str | None:
        now_s = self._clock.now_s()
        if daemon_id == self._home.daemon_id:
            return keys.issue_prefix(self._home, now_s - self._started_s)
        cached = self._prefixes.get(daemon_id)
        if cached is None or now_s - cached.fetched_s > PREFIX_CACHE_S:
            return None
        return cached.prefix

    async def _fetch_prefix_and_reply(
        self, message: messages.RequestArrived, chosen: list[vms.Vm]
    ) -> None:
        """Replies with the first daemon's prefix, or with this daemon's own.

        This daemon's own prefix is used if the first daemon does not
        respond.
        """
        first = chosen[0]
        try:
            prefix = await self._peers.key_prefix(first)
            self._prefixes[first.id] = _CachedPrefix(
                prefix, self._clock.now_s()
            )
        except (
            peers_port.PeerUnreachableError,
            peers_port.PeerNoResponseError,
        ):
            own = self._cached_prefix(self._home.daemon_id)
            assert own is not None
            prefix = own
        self._reply(message, _encode_outcome(chosen, prefix))

    def _reply(
        self, message: messages.RequestArrived, outcome: exchange.Outcome
    ) -> None:
        message.reply_to.force(messages.RequestEnded(message.token, outcome))

    def _subset(self, service: str) -> list[addresses.DaemonLocation]:
        """Returns the daemons that serve a service."""
        found = self._subsets.get(service)
        if found is None:
            if len(self._subsets) >= MAX_CACHED_SUBSETS:
                self._subsets.clear()
            found = addresses.subset(service, self._locations)
            self._subsets[service] = found
        return found


def _encode_outcome(chosen: list[vms.Vm], prefix: str) -> exchange.Outcome:
    listed = [
        {"host": vm.host, "port": vm.port, "data_centre": vm.data_centre}
        for vm in chosen
    ]
    body = orjson.dumps(
        {
            "addresses": listed,
            "ttl_s": addresses.ADDRESS_TTL_S,
            "key_prefix": prefix,
        }
    )
    fields = [(b"content-type", b"application/json")]
    response = exchange.Response(200, fields, body)
    return exchange.Outcome(errors.ResultCode.ANSWERED, response=response)


def _first_value(query: dict[str, list[str]], name: str) -> str:
    return query.get(name, [""])[0]
