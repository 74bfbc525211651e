"""The task that tells callers which daemons to use."""

from __future__ import annotations

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
from dotterelpath.tasks import events
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import messages

ADDRESSES_PATH = "/-/addresses"
MAX_CACHED_SUBSETS = 1024


class Directory:
    """Answers requests for addresses with live daemons and a key prefix."""

    __slots__ = (
        "_clock",
        "_data_centre",
        "_document",
        "_home",
        "_listed",
        "_mailbox",
        "_places",
        "_started_s",
        "_subsets",
    )

    def __init__(
        self,
        home: keys.Home,
        data_centre: str,
        clock: clock_port.Clock,
        inbox: mailbox.Mailbox[typing.Any],
    ) -> None:
        """Creates the task's state.

        Args:
            home: This daemon, the home of the prefixes that it issues.
            data_centre: Where it stands.
            clock: Tells the time.
            inbox: This task's mailbox.
        """
        self._home = home
        self._data_centre = data_centre
        self._clock = clock
        self._mailbox = inbox
        self._started_s = clock.now_s()
        self._places: list[addresses.Place] = []
        self._subsets: dict[str, list[addresses.Place]] = {}
        self._listed: dict[str, vms.Vm] = {}
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
                self._listed = message.table.listed
            elif isinstance(message, events.DocumentChanged):
                self._document = message.document

    def on_request_arrived(self, message: messages.RequestArrived) -> None:
        """Answers a request for addresses.

        Args:
            message: The request and its receiver.
        """
        try:
            outcome = self._answer(message.request)
        except errors.DotterelpathError as error:
            outcome = exchange.Outcome(error.code, error.detail)
        message.reply_to.force(messages.RequestEnded(message.token, outcome))

    def on_members_changed(self, message: events.MembersChanged) -> None:
        """Takes in the live daemons.

        Args:
            message: The daemons.
        """
        self._subsets.clear()
        self._places = [
            addresses.Place(daemon_id, message.data_centres[daemon_id])
            for daemon_id in message.live
        ]

    def _answer(self, request: exchange.Request) -> exchange.Outcome:
        if request.path != ADDRESSES_PATH:
            raise errors.DotterelpathError(
                errors.ResultCode.NO_ROUTE, f"no route for {request.path}"
            )
        if request.method != "GET":
            raise errors.DotterelpathError(errors.ResultCode.METHOD_NOT_ALLOWED)
        query = urllib.parse.parse_qs(request.target.partition("?")[2])
        service = _one(query, "service")
        workspace = _one(query, "workspace") or request.workspace
        if self._document is None:
            raise errors.DotterelpathError(errors.ResultCode.NO_DOCUMENT)
        if service not in self._document.services:
            raise errors.DotterelpathError(
                errors.ResultCode.NO_ROUTE, f"there is no service {service!r}"
            )
        near = _one(query, "data_centre") or self._data_centre
        chosen = addresses.ordered(self._subset(service), workspace, near)
        return self._encode(chosen)

    def _subset(self, service: str) -> list[addresses.Place]:
        found = self._subsets.get(service)
        if found is None:
            if len(self._subsets) >= MAX_CACHED_SUBSETS:
                self._subsets.clear()
            found = addresses.subset(service, self._places)
            self._subsets[service] = found
        return found

    def _encode(self, chosen: list[addresses.Place]) -> exchange.Outcome:
        uptime_s = self._clock.now_s() - self._started_s
        listed = [
            {
                "host": vm.host,
                "port": vm.port,
                "data_centre": vm.data_centre,
            }
            for vm in (self._listed.get(place.daemon_id) for place in chosen)
            if vm is not None
        ]
        body = orjson.dumps(
            {
                "addresses": listed,
                "ttl_s": addresses.ADDRESS_TTL_S,
                "key_prefix": keys.mint_prefix(self._home, uptime_s),
            }
        )
        fields = [(b"content-type", b"application/json")]
        answer = exchange.Answer(200, fields, body)
        return exchange.Outcome(errors.ResultCode.ANSWERED, answer=answer)


def _one(query: dict[str, list[str]], name: str) -> str:
    return query.get(name, [""])[0]
