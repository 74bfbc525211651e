"""Requests, responses and outcomes, independent of their encoding."""

from __future__ import annotations

import typing

from dotterelpath import errors

Headers = list[tuple[bytes, bytes]]


class Identity:
    """Who a request runs for, in a configuration that has tenants."""

    __slots__ = ("tenant_name",)

    def __init__(self, tenant_name: str | None) -> None:
        """Creates an identity.

        Args:
            tenant_name: The name of the tenant that holds the caller's key;
                None for a request that needs no key and has no known one.
        """
        self.tenant_name = tenant_name


class Request:
    """A caller's request, read in full."""

    __slots__ = (
        "attempt",
        "body",
        "credential",
        "headers",
        "host",
        "identity",
        "key",
        "method",
        "received_s",
        "request_id",
        "target",
        "timeout_s",
        "workspace",
    )

    def __init__(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes = b"",
        *,
        workspace: str = "",
        key: str | None = None,
        attempt: int = 1,
        timeout_s: float | None = None,
        request_id: str = "",
        host: str = "",
        received_s: float | None = None,
        credential: str | None = None,
    ) -> None:
        """Creates a request.

        Args:
            method: The HTTP method.
            target: The path with the query.
            headers: The end-to-end headers, without the fleet's own headers.
            body: The complete body.
            workspace: The workspace on whose behalf the request runs.
            key: The idempotency key, if the caller sent one.
            attempt: The caller's attempt number, from 1.
            timeout_s: The timeout that the caller set, in seconds.
            request_id: The id of the request in logs.
            host: The requested host, in lower case and without a port.
            received_s: The time at which the head was complete, on the
                monotonic clock, in seconds.
            credential: The key with which the caller proves its tenant, if it
                sent one. It must not be logged or forwarded.
        """
        self.credential = credential
        # Set once the caller is known, if the configuration has tenants.
        self.identity: Identity | None = None
        self.host = host
        self.received_s = received_s
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.workspace = workspace
        self.key = key
        self.attempt = attempt
        self.timeout_s = timeout_s
        self.request_id = request_id

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


class Response:
    """A response of a backend server."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: Headers, body: bytes) -> None:
        """Creates a response.

        Args:
            status: The HTTP status.
            headers: The end-to-end headers.
            body: The complete body, or its first part if the rest is streamed.
        """
        self.status = status
        self.headers = headers
        self.body = body

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, or None.

        Args:
            name: The name in lower case.
        """
        for key, value in self.headers:
            if key == name:
                return value
        return None


class ResponseSource(typing.Protocol):
    """Tells when the bytes of a response arrived."""

    @property
    def last_received_s(self) -> float:
        """When bytes last arrived, on the monotonic clock, in seconds."""

    @property
    def response_began_s(self) -> float | None:
        """When the first bytes of the response arrived; None if none did.

        On the monotonic clock, in seconds.
        """


class Transfer:
    """The arrival of a response whose length is not known beforehand.

    The response is lost if it pauses for too long. Its whole duration is
    limited apart from that, so that one that trickles ends, and one that
    another call can replace by a shorter one is given up.
    """

    __slots__ = ("_source", "limit_s", "pause_s")

    def __init__(self, pause_s: float, limit_s: float) -> None:
        """Creates a transfer that has not begun.

        Args:
            pause_s: The longest time without any byte of the response, in
                seconds.
            limit_s: The longest time from its first byte to its end, in
                seconds.
        """
        self.pause_s = pause_s
        self.limit_s = limit_s
        self._source: ResponseSource | None = None

    def follow(self, source: ResponseSource) -> None:
        """Sets where the response arrives, once the call is sent."""
        self._source = source

    @property
    def began_s(self) -> float | None:
        """When the first bytes arrived; None before.

        On the monotonic clock, in seconds.
        """
        return None if self._source is None else self._source.response_began_s

    @property
    def lost_from_s(self) -> float | None:
        """From when the response is lost, unless more of it arrives.

        On the monotonic clock, in seconds; None if nothing has arrived.
        """
        began_s = self.began_s
        if began_s is None or self._source is None:
            return None
        return min(
            self._source.last_received_s + self.pause_s, began_s + self.limit_s
        )

    def wait_until_s(self, begin_by_s: float, now_s: float) -> float:
        """Returns until when to wait before this is asked again.

        Args:
            begin_by_s: When the response must begin, on the monotonic clock,
                in seconds.
            now_s: The current time on the same clock.

        Returns:
            The time on the same clock; the response is lost if it has passed.
        """
        lost_from_s = self.lost_from_s
        if lost_from_s is not None:
            return lost_from_s
        # The response may begin at once, and reach its limit before it had to
        # begin.
        return min(begin_by_s, now_s + self.limit_s)


class Outcome:
    """The result of a request, as reported to the caller."""

    __slots__ = (
        "code",
        "detail",
        "instance",
        "response",
        "retry_after_s",
        "stream_id",
    )

    def __init__(
        self,
        code: errors.ResultCode,
        detail: str = "",
        response: Response | None = None,
        instance: str | None = None,
        stream_id: int | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        """Creates an outcome.

        Args:
            code: The result code.
            detail: A description of the failure, for people.
            response: The backend server's response, if there is one.
            instance: The instance that responded or failed.
            stream_id: The id of the attempt whose remaining body is streamed.
            retry_after_s: The time after which the caller should retry, in
                seconds.
        """
        self.retry_after_s = retry_after_s
        self.code = code
        self.detail = detail
        self.response = response
        self.instance = instance
        self.stream_id = stream_id

    @property
    def is_not_run(self) -> bool:
        """Whether the request certainly did not run."""
        return self.code.outcome_class is errors.OutcomeClass.NOT_RUN

    @property
    def is_answered(self) -> bool:
        """Whether a backend server responded."""
        return self.code.outcome_class is errors.OutcomeClass.ANSWERED
