"""Requests, responses and outcomes, independent of their encoding."""

from __future__ import annotations

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
