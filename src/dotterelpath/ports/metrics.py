"""The port for measurements."""

from __future__ import annotations

import typing

from dotterelpath import errors


class Metrics(typing.Protocol):
    """Takes in what is measured."""

    def record_request(
        self,
        service: str,
        traffic_class: str,
        workspace: str,
        code: errors.ResultCode,
        duration_s: float,
        overhead_s: float,
    ) -> None:
        """Counts a request.

        Args:
            service: The service, or empty where none was found.
            traffic_class: The route's class, or empty.
            workspace: The caller's workspace.
            code: How it ended.
            duration_s: From its arrival to its answer, in seconds.
            overhead_s: The part that no backend server worked on it.
        """

    def record_retry(self, service: str, is_hedge: bool) -> None:
        """Counts a further try.

        Args:
            service: The service.
            is_hedge: Whether the first try was still open.
        """

    def set_avoided_count(self, service: str, count: int) -> None:
        """Notes how many instances this daemon avoids.

        Args:
            service: The service.
            count: The instances.
        """

    def set_ejected_count(self, service: str, count: int) -> None:
        """Notes how many instances the ledger ejects.

        Args:
            service: The service.
            count: The instances.
        """

    def record_store_call(self, call: str, ok: bool) -> None:
        """Counts a call to the store.

        Args:
            call: The kind of call.
            ok: Whether it was answered.
        """
