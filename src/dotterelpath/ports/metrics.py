"""The port for metrics."""

from __future__ import annotations

import typing

from dotterelpath import errors


class Metrics(typing.Protocol):
    """Records metrics."""

    def record_request(
        self,
        service: str,
        traffic_class: str,
        workspace: str,
        code: errors.ResultCode,
        duration_s: float,
        overhead_s: float,
    ) -> None:
        """Records the end of a request.

        Args:
            service: The service; empty if no route matched.
            traffic_class: The route's class; empty if no route matched.
            workspace: The caller's workspace.
            code: The result of the request.
            duration_s: The time from arrival to response, in seconds.
            overhead_s: The part of duration_s in which no backend server
                worked on the request, in seconds.
        """

    def record_retry(self, service: str, is_hedge: bool) -> None:
        """Records a retry or a hedge.

        Args:
            service: The service.
            is_hedge: Whether the first attempt was still in flight.
        """

    def record_wait(self, service: str, reason: str) -> None:
        """Records that a request waits before an attempt.

        Args:
            service: The service.
            reason: What the request waits for.
        """

    def record_refusal(self, service: str, reason: str) -> None:
        """Records that a request was refused that was not run.

        Args:
            service: The service.
            reason: Why it was not sent, or not sent again.
        """

    def record_rejection(self, service: str, is_full: bool) -> None:
        """Records that an instance rejected a request as not run.

        Args:
            service: The service.
            is_full: Whether all slots of the instance were in use.
        """

    def set_avoided_count(self, service: str, count: int) -> None:
        """Sets how many instances of a service this daemon avoids.

        Args:
            service: The service.
            count: The number of instances.
        """

    def set_ejected_count(self, service: str, count: int) -> None:
        """Sets how many instances of a service its ledger lists as ejected.

        Args:
            service: The service.
            count: The number of instances.
        """

    def record_unknown_item(self, kind: str) -> None:
        """Records a part of the store that cannot be used as it is.

        Args:
            kind: The kind of part: a configuration or an instance that is
                invalid, or a request kind that is unknown.
        """

    def record_copy_read(self, ok: bool) -> None:
        """Records a read of another daemon's copy of the store.

        Args:
            ok: Whether the daemon responded with changes.
        """

    def record_quota_refusal(self, tenant: str) -> None:
        """Records a request that is beyond its tenant's quota.

        Args:
            tenant: The tenant's name.
        """

    def record_closed_connection(self, reason: str) -> None:
        """Records a caller's connection that a limit has closed.

        Args:
            reason: The limit.
        """

    def record_loop_delay(self, delay_s: float) -> None:
        """Records how late the event loop ran a timer.

        Args:
            delay_s: The delay, in seconds.
        """

    def record_input(self, size: int, events: int, duration_s: float) -> None:
        """Records the processing of bytes from connections.

        Args:
            size: The bytes received.
            events: The parts of messages that were parsed.
            duration_s: The processing time, in seconds.
        """

    def record_store_call(self, call: str, ok: bool) -> None:
        """Records a call to the store.

        Args:
            call: The kind of call.
            ok: Whether the store gave a conclusive response.
        """
