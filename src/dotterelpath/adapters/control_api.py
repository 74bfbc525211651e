"""Serves the calls of operators."""

from __future__ import annotations

import asyncio
import typing
import uuid

from dotterelpath import errors
from dotterelpath.adapters import api
from dotterelpath.adapters import connection_guard
from dotterelpath.adapters import metrics as metrics_adapter
from dotterelpath.domain import edits
from dotterelpath.domain import exchange
from dotterelpath.domain import fleet_membership
from dotterelpath.tasks import dispatcher as dispatcher_task
from dotterelpath.tasks import document_editor as editor_task
from dotterelpath.tasks import document_loader
from dotterelpath.tasks import ejection_coordinator as coordinator_task
from dotterelpath.tasks import gossip as gossip_task
from dotterelpath.tasks import mailbox

NEW_SECTION_ETAG = '""'
_BEARER = "Bearer "


class ControlApi:
    """Shows the daemon's state and saves edits of the document."""

    __slots__ = (
        "_callers",
        "_coordinator",
        "_dispatcher",
        "_editor",
        "_gossip",
        "_loader",
        "_metrics",
    )

    def __init__(
        self,
        editor: mailbox.Mailbox[editor_task.EditRequested],
        loader: document_loader.DocumentLoader,
        dispatcher: dispatcher_task.Dispatcher,
        gossip: gossip_task.Gossip,
        coordinator: coordinator_task.EjectionCoordinator,
        metrics: metrics_adapter.Metrics,
        callers: connection_guard.CallerRegistry,
    ) -> None:
        """Creates the handlers.

        Args:
            editor: The mailbox of the task that saves edits.
            loader: Holds the current document.
            dispatcher: Holds the state of the services.
            gossip: Holds the membership of the fleet.
            coordinator: Holds the ledgers.
            metrics: Holds this daemon's counters and histograms.
            callers: Holds the callers' connections and their memory.
        """
        self._callers = callers
        self._editor = editor
        self._loader = loader
        self._dispatcher = dispatcher
        self._gossip = gossip
        self._coordinator = coordinator
        self._metrics = metrics

    @property
    def handlers(self) -> dict[tuple[str, str], api.Handler]:
        """The handlers by method and path."""
        return {
            ("GET", "/health"): self.health,
            ("GET", "/status"): self.status,
            ("GET", "/outcomes"): self.outcomes,
            ("GET", "/metrics"): self.render_metrics,
            ("GET", "/document"): self.document,
            ("GET", "/document/sections/"): self.section,
            ("PUT", "/document/sections/"): self.put_section,
            ("DELETE", "/document/sections/"): self.delete_section,
        }

    async def health(self, request: exchange.Request) -> exchange.Response:
        """Shows whether this daemon accepts new requests.

        Args:
            request: The call.
        """
        state = self._gossip.membership.own_state
        is_ready = (
            self._dispatcher.is_fresh
            and self._loader.head is not None
            and state is fleet_membership.DaemonState.ALIVE
        )
        response = api.json_response({"ready": is_ready, "state": state.value})
        response.status = 200 if is_ready else 503
        return response

    async def status(self, request: exchange.Request) -> exchange.Response:
        """Shows the daemon's state.

        Args:
            request: The call.
        """
        membership = self._gossip.membership
        head = self._loader.head
        own = self._dispatcher.record_tables.own
        return api.json_response(
            {
                "daemon": repr(membership.own),
                "state": membership.own_state.value,
                "document_version": head.version if head else None,
                "is_fresh": self._dispatcher.is_fresh,
                "in_flight": self._dispatcher.in_flight,
                "records": len(own.records),
                "answers_for": [
                    repr(home)
                    for home in self._dispatcher.record_tables.adopted
                ],
                "members": {
                    member_id: {
                        "state": member.state.value,
                        "data_centre": member.vm.data_centre,
                        "document_version": member.document_version,
                    }
                    for member_id, member in membership.peers.items()
                },
                "services": self._service_states(),
                "callers": self._callers.status(),
            }
        )

    async def outcomes(self, request: exchange.Request) -> exchange.Response:
        """Shows the request counts since the start and the services' states.

        Args:
            request: The call.
        """
        return api.json_response(
            {
                "outcomes": self._metrics.outcomes(),
                "services": self._service_states(),
            }
        )

    async def render_metrics(
        self, request: exchange.Request
    ) -> exchange.Response:
        """Renders the metrics in the format of Prometheus.

        Args:
            request: The call.
        """
        fields, body = await self._metrics.render()
        return exchange.Response(200, fields, body)

    async def document(self, request: exchange.Request) -> exchange.Response:
        """Shows the current version and the digest of each section.

        Args:
            request: The call.
        """
        head = self._loader.head
        if head is None:
            raise errors.DotterelpathError(errors.ResultCode.NO_DOCUMENT)
        return api.json_response(
            {
                "version": head.version,
                "sections": head.digests,
                "recent_edits": head.recent_edits,
            }
        )

    async def section(self, request: exchange.Request) -> exchange.Response:
        """Shows the text of a section.

        Args:
            request: The call.
        """
        name = api.last_segment(request)
        head = self._loader.head
        digest = head.digests.get(name) if head else None
        if digest is None:
            raise errors.DotterelpathError(
                errors.ResultCode.NO_SECTION,
                f"the document has no section {name}",
            )
        fields = [
            (b"content-type", b"application/toml"),
            (b"etag", f'"{digest}"'.encode()),
        ]
        text = self._loader.texts[digest]
        return exchange.Response(200, fields, text.encode())

    async def put_section(self, request: exchange.Request) -> exchange.Response:
        """Saves a section.

        Args:
            request: The call.
        """
        try:
            text = request.body.decode()
        except UnicodeDecodeError as error:
            raise errors.DotterelpathError(
                errors.ResultCode.SECTION_SYNTAX, "the body is not UTF-8"
            ) from error
        return await self._save(request, text)

    async def delete_section(
        self, request: exchange.Request
    ) -> exchange.Response:
        """Removes a section.

        Args:
            request: The call.
        """
        return await self._save(request, None)

    async def _save(
        self, request: exchange.Request, text: str | None
    ) -> exchange.Response:
        reply = asyncio.get_running_loop().create_future()
        edit = editor_task.EditRequested(
            api.last_segment(request),
            text,
            _base_digest(request),
            api.header(request, b"edit-id") or uuid.uuid4().hex,
            _bearer_token(request),
            reply,
        )
        try:
            self._editor.post(edit)
        except mailbox.MailboxFullError as error:
            raise errors.DotterelpathError(
                errors.ResultCode.STORE_UNAVAILABLE,
                "too many edits are waiting",
            ) from error
        head = await reply
        return api.json_response(
            {
                "version": head.version,
                "edit_id": edit.edit_id,
                "digest": None if text is None else edits.digest(text),
            }
        )

    def _service_states(self) -> dict[str, typing.Any]:
        states = {}
        for name, state in self._dispatcher.service_table.services.items():
            pool = state.pool
            in_use = [
                i for i in pool.instances.values() if pool.is_available(i)
            ]
            healthy = len(set(pool.rotation) - set(pool.avoided))
            states[name] = {
                "instances": len(pool.instances),
                "in_use": len(in_use),
                "rotation": pool.rotation,
                "avoided": pool.avoided,
                "ejected": pool.ejected,
                "floor": pool.service.floor,
                "floor_margin": healthy - pool.service.floor,
                "weigh": pool.service.ejection_policy.value,
                "in_flight": state.admission.in_flight,
                "queued": state.admission.queued,
                "limit": state.admission.limit.limit,
            }
        return states


def _base_digest(request: exchange.Request) -> str | None:
    value = api.header(request, b"if-match")
    if value is None:
        raise errors.DotterelpathError(
            errors.ResultCode.BAD_REQUEST,
            "the header If-Match is missing: give the ETag of the section, or"
            ' "" for a new section',
        )
    return None if value == NEW_SECTION_ETAG else value.strip('"')


def _bearer_token(request: exchange.Request) -> str:
    value = api.header(request, b"authorization") or ""
    if not value.startswith(_BEARER):
        raise errors.DotterelpathError(
            errors.ResultCode.EDIT_FORBIDDEN,
            "the header Authorization has no bearer token",
        )
    return value[len(_BEARER) :]
