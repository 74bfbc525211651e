"""State of the services of the document in force."""

from __future__ import annotations

import typing

from dotterelpath import errors
from dotterelpath.domain import addresses
from dotterelpath.domain import admission
from dotterelpath.domain import budget
from dotterelpath.domain import document
from dotterelpath.domain import exchange
from dotterelpath.domain import ledger
from dotterelpath.domain import pool
from dotterelpath.domain import routing
from dotterelpath.domain import vms

T = typing.TypeVar("T")


class ServiceState(typing.Generic[T]):
    """Instances, admission queue and retry budget of one service."""

    __slots__ = ("admission", "pool", "retry_budget")

    def __init__(self, service: document.Service) -> None:
        """Creates the state of a new service.

        Args:
            service: The service as the document declares it.
        """
        self.pool = pool.Pool(service)
        self.admission: admission.AdmissionQueue[T] = admission.AdmissionQueue(
            service.slots
        )
        self.retry_budget = budget.RetryBudget()

    @property
    def max_in_flight(self) -> int:
        """The most requests in flight that the instances' limits allow."""
        return max(
            1, self.pool.max_in_flight_per_instance * len(self.pool.rotation)
        )


class ServiceTable(typing.Generic[T]):
    """The document in force, with the state of its services."""

    __slots__ = (
        "_daemon_count",
        "_document",
        "_ledgers",
        "_routes",
        "_services",
        "_table",
        "workspaces",
    )

    def __init__(self) -> None:
        """Creates a table without a document."""
        self._document: document.Document | None = None
        self._routes = routing.RouteTable(())
        self._services: dict[str, ServiceState[T]] = {}
        self._table = vms.EMPTY_TABLE
        self._ledgers: dict[str, ledger.Ledger] = {}
        self._daemon_count = 1
        self.workspaces = admission.WorkspaceLimits()

    @property
    def document(self) -> document.Document | None:
        """The document in force."""
        return self._document

    @property
    def services(self) -> dict[str, ServiceState[T]]:
        """The services by name."""
        return self._services

    def set_document(self, new: document.Document, now_s: float) -> bool:
        """Puts a document into force if it is newer than the current one.

        Args:
            new: The document.
            now_s: The current time on the monotonic clock, in seconds.

        Returns:
            Whether the document was newer than the current one.
        """
        if self._document and new.version <= self._document.version:
            return False
        self._document = new
        self._routes = routing.RouteTable(
            route for section in new.sections for route in section.routes
        )
        for name in [n for n in self._services if n not in new.services]:
            del self._services[name]
        for name, service in new.services.items():
            state = self._services.get(name)
            if state is None:
                self._services[name] = self._new_state(service, now_s)
            else:
                state.pool.set_service(service)
        return True

    def set_vms(self, table: vms.VmTable, now_s: float) -> None:
        """Updates the services' instances by the platform's list.

        Args:
            table: The list.
            now_s: The current time on the monotonic clock, in seconds.
        """
        self._table = table
        changed_services = table.changed_services
        for name in (
            self._services if changed_services is None else changed_services
        ):
            state = self._services.get(name)
            if state is not None:
                state.pool.set_vms(table.by_service.get(name, ()), now_s)

    def set_ledger(self, new: ledger.Ledger) -> bool:
        """Applies a service's ledger if it is newer than the known one.

        Args:
            new: The ledger.

        Returns:
            Whether the ledger was newer than the known one.
        """
        known = self._ledgers.get(new.service)
        if known is not None and new.revision <= known.revision:
            return False
        self._ledgers[new.service] = new
        state = self._services.get(new.service)
        if state is not None:
            state.pool.set_ledger(new.ejected, frozenset(new.trial))
        return True

    def set_daemons(self, daemons: list[addresses.DaemonLocation]) -> None:
        """Updates the number of daemons that share each service's instances.

        Args:
            daemons: The live daemons.
        """
        self._daemon_count = addresses.serving_daemon_count(daemons)
        for state in self._services.values():
            state.pool.set_daemon_count(self._daemon_count)

    def find_route(
        self, request: exchange.Request
    ) -> tuple[document.Route, ServiceState[T]]:
        """Finds the route and the service of a request.

        Args:
            request: The request.

        Returns:
            The route and the state of its service.

        Raises:
            DotterelpathError: No document is in force, or no route matches.
        """
        if self._document is None:
            raise errors.DotterelpathError(errors.ResultCode.NO_DOCUMENT)
        route = self._routes.find(request.method, request.path)
        return route, self._services[route.service]

    def workspace_concurrency(self, workspace: str) -> int:
        """Returns the concurrency limit of a workspace.

        Args:
            workspace: The workspace's name.

        Returns:
            The most requests in flight through this daemon.
        """
        if self._document is None:
            return document.DEFAULT_WORKSPACE_CONCURRENCY
        return self._document.workspace_concurrency(workspace)

    def _new_state(
        self, service: document.Service, now_s: float
    ) -> ServiceState[T]:
        state: ServiceState[T] = ServiceState(service)
        state.pool.set_vms(self._table.by_service.get(service.name, ()), now_s)
        state.pool.set_daemon_count(self._daemon_count)
        known = self._ledgers.get(service.name)
        if known is not None:
            state.pool.set_ledger(known.ejected, frozenset(known.trial))
        return state
