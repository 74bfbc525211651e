"""Finds the route of a request by longest path prefix and method."""

from __future__ import annotations

import typing

from dotterelpath import errors
from dotterelpath.domain import document


class RouteTable:
    """Routes by prefix.

    A lookup takes one dictionary read for each segment of the path.
    """

    __slots__ = ("_by_prefix",)

    def __init__(self, routes: typing.Iterable[document.Route]) -> None:
        """Builds the table.

        Args:
            routes: The routes of all sections.
        """
        self._by_prefix: dict[str, list[document.Route]] = {}
        for route in routes:
            prefix = route.prefix.rstrip("/")
            self._by_prefix.setdefault(prefix, []).append(route)

    def find(self, method: str, path: str) -> document.Route:
        """Finds the route of a request.

        Args:
            method: The HTTP method.
            path: The path without the query.

        Returns:
            The route with the longest matching prefix.

        Raises:
            DotterelpathError: No prefix matches, or the longest one allows
                other methods.
        """
        prefix = path.rstrip("/")
        while True:
            routes = self._by_prefix.get(prefix)
            if routes is not None:
                return _find_allowed(routes, method, prefix)
            if not prefix:
                raise errors.DotterelpathError(
                    errors.ResultCode.NO_ROUTE, f"no route for {path}"
                )
            prefix = prefix.rpartition("/")[0]


def _find_allowed(
    routes: list[document.Route], method: str, prefix: str
) -> document.Route:
    for route in routes:
        if not route.methods or method in route.methods:
            return route
        if method == "HEAD" and "GET" in route.methods:
            return route
    raise errors.DotterelpathError(
        errors.ResultCode.METHOD_NOT_ALLOWED,
        f"{method} is not allowed under {prefix or '/'}",
    )
