"""Requests, answers and outcomes, independent of their encoding."""

from __future__ import annotations

from dotterelpath import errors

Headers = list[tuple[bytes, bytes]]


class Request:
    """A caller's request, read in full."""

    __slots__ = (
        "attempt",
        "body",
        "headers",
        "key",
        "host",
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
    ) -> None:
        """Creates a request.

        Args:
            method: The HTTP method.
            target: The path with the query.
            headers: End-to-end headers, without those of this fleet.
            body: The whole body.
            workspace: The workspace on whose behalf the request runs.
            key: The idempotency key, if the caller sent one.
            attempt: The caller's attempt number, from 1.
            timeout_s: Time the caller gives the request, in seconds.
            request_id: Names the request in logs.
            host: The host that the caller asked for, in lower case and
                without a port.
            received_s: When its head was complete, on the monotonic clock,
                in seconds.
        """
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
    """A whole answer of a backend server."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: Headers, body: bytes) -> None:
        """Creates an answer.

        Args:
            status: The HTTP status.
            headers: End-to-end headers.
            body: The whole body, or its first part where more streams.
        """
        self.status = status
        self.headers = headers
        self.body = body

    def header(self, name: bytes) -> bytes | None:
        """Finds a header.

        Args:
            name: The name in lower case.

        Returns:
            The first value, or None.
        """
        for key, value in self.headers:
            if key == name:
                return value
        return None


class Outcome:
    """How a request ended, as the caller is told."""

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
            code: The numbered result.
            detail: What went wrong, for people.
            response: The backend server's answer, if there is one.
            instance: The instance that answered or failed.
            stream_id: The exchange whose remaining body follows in parts.
            retry_after_s: When a new attempt is likely to be served, in
                seconds from now.
        """
        self.retry_after_s = retry_after_s
        self.code = code
        self.detail = detail
        self.response = response
        self.instance = instance
        self.stream_id = stream_id

    @property
    def is_not_run(self) -> bool:
        """Whether the request certainly ran nowhere."""
        return self.code.outcome_class is errors.OutcomeClass.NOT_RUN

    @property
    def is_answered(self) -> bool:
        """Whether a backend server answered."""
        return self.code.outcome_class is errors.OutcomeClass.ANSWERED
