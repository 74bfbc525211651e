"""Messages about a request, from its arrival to its outcome."""

from __future__ import annotations

import typing

from dotterelpath.domain import attempts
from dotterelpath.domain import exchange
from dotterelpath.domain import keys
from dotterelpath.domain import vms
from dotterelpath.ports import backend
from dotterelpath.tasks import mailbox


class RequestArrived:
    """A caller sent a request, or a peer forwarded one to its key's home."""

    __slots__ = (
        "claimed_home",
        "is_forwarded",
        "reply_to",
        "request",
        "token",
    )

    def __init__(
        self,
        request: exchange.Request,
        reply_to: mailbox.Mailbox[typing.Any],
        token: int,
        is_forwarded: bool = False,
        claimed_home: keys.Home | None = None,
    ) -> None:
        """Creates the message.

        Args:
            request: The request.
            reply_to: The mailbox that gets RequestEnded.
            token: Identifies the request to the receiver.
            is_forwarded: Whether a peer forwarded the request.
            claimed_home: The home that the store names for a key made by
                the caller, if a peer forwarded the request.
        """
        self.claimed_home = claimed_home
        self.request = request
        self.reply_to = reply_to
        self.token = token
        self.is_forwarded = is_forwarded


class RequestEnded:
    """A request has an outcome."""

    __slots__ = ("outcome", "token")

    def __init__(self, token: int, outcome: exchange.Outcome) -> None:
        """Creates the message.

        Args:
            token: The token of RequestArrived.
            outcome: The outcome.
        """
        self.token = token
        self.outcome = outcome


class CallerDisconnected:
    """A caller closed the connection before its request had ended."""

    __slots__ = ("reply_to", "token")

    def __init__(
        self, reply_to: mailbox.Mailbox[typing.Any], token: int
    ) -> None:
        """Creates the message.

        Args:
            reply_to: The mailbox of RequestArrived.
            token: The token of RequestArrived.
        """
        self.reply_to = reply_to
        self.token = token


class SendAttempt:
    """Asks for an attempt: a request is to be sent to an instance."""

    __slots__ = (
        "attempt_id",
        "deadline_s",
        "max_buffered_bytes",
        "needs_recent_use",
        "request",
        "vm",
    )

    def __init__(
        self,
        attempt_id: int,
        vm: vms.Vm,
        request: exchange.Request,
        deadline_s: float,
        needs_recent_use: bool,
        max_buffered_bytes: int,
    ) -> None:
        """Creates the message.

        Args:
            attempt_id: Identifies the attempt.
            vm: The instance.
            request: The request.
            deadline_s: The deadline that the instance is told, on the
                monotonic clock, in seconds.
            needs_recent_use: Whether an idle connection may only be reused
                if it has received bytes recently; see
                backend_pool.ConnectionLimits.
            max_buffered_bytes: The longest response that is delivered
                whole, in bytes; a longer one is streamed.
        """
        self.attempt_id = attempt_id
        self.vm = vm
        self.request = request
        self.deadline_s = deadline_s
        self.needs_recent_use = needs_recent_use
        self.max_buffered_bytes = max_buffered_bytes


class CancelAttempt:
    """Cancels an attempt."""

    __slots__ = ("attempt_id", "timed_out")

    def __init__(self, attempt_id: int, timed_out: bool) -> None:
        """Creates the message.

        Args:
            attempt_id: The attempt.
            timed_out: Whether the deadline passed without a response; False
                if the response is no longer needed.
        """
        self.attempt_id = attempt_id
        self.timed_out = timed_out


class AttemptEnded:
    """An attempt has ended, or its response has begun to stream."""

    __slots__ = ("attempt_id", "detail", "is_complete", "response", "result")

    def __init__(
        self,
        attempt_id: int,
        result: attempts.AttemptResult,
        detail: str = "",
        response: exchange.Response | None = None,
        is_complete: bool = True,
    ) -> None:
        """Creates the message.

        Args:
            attempt_id: The attempt.
            result: The result of the attempt.
            detail: A description of the failure.
            response: The response, if there is one.
            is_complete: Whether the response is complete; if not,
                ResponseChunk and ResponseEnded follow.
        """
        self.attempt_id = attempt_id
        self.result = result
        self.detail = detail
        self.response = response
        self.is_complete = is_complete


class ResponseChunk:
    """A further chunk of a streamed response."""

    __slots__ = ("attempt_id", "data")

    def __init__(self, attempt_id: int, data: bytes) -> None:
        """Creates the message.

        Args:
            attempt_id: The attempt that the response belongs to.
            data: The chunk.
        """
        self.attempt_id = attempt_id
        self.data = data


class ResponseEnded:
    """A streamed response is complete, or was cut off."""

    __slots__ = ("attempt_id", "is_complete")

    def __init__(self, attempt_id: int, is_complete: bool) -> None:
        """Creates the message.

        Args:
            attempt_id: The attempt that the response belongs to.
            is_complete: Whether the whole response was received.
        """
        self.attempt_id = attempt_id
        self.is_complete = is_complete


class ChunkWritten:
    """Bytes of a streamed response no longer wait in the daemon.

    Sent when the caller's connection forwards them: its write buffer is not
    full, and the responses before this one are complete.
    """

    __slots__ = ("attempt_id", "size")

    def __init__(self, attempt_id: int, size: int) -> None:
        """Creates the message.

        Args:
            attempt_id: The attempt that the response belongs to.
            size: The number of bytes.
        """
        self.attempt_id = attempt_id
        self.size = size


class ConnectFinished:
    """A connection to an instance was opened, or could not be opened."""

    __slots__ = ("connection", "detail", "vm")

    def __init__(
        self,
        vm: vms.Vm,
        connection: backend.Connection | None,
        detail: str = "",
    ) -> None:
        """Creates the message.

        Args:
            vm: The instance, at the address of the connection.
            connection: The connection; None if it could not be opened.
            detail: Why the connection could not be opened.
        """
        self.vm = vm
        self.connection = connection
        self.detail = detail


class ForwardRequest:
    """Asks for a request to be forwarded to its key's home."""

    __slots__ = (
        "candidates",
        "claimed_home",
        "dispatch_id",
        "request",
        "timeout_s",
    )

    def __init__(
        self,
        dispatch_id: int,
        candidates: list[vms.Vm],
        request: exchange.Request,
        timeout_s: float,
        claimed_home: keys.Home | None,
    ) -> None:
        """Creates the message.

        Args:
            dispatch_id: Identifies the request to the dispatcher.
            candidates: The daemons to ask, in order, until one has the
                records of the home.
            request: The request.
            timeout_s: The time to wait for each daemon, in seconds.
            claimed_home: The home that the store names, for a key made by
                the caller.
        """
        self.claimed_home = claimed_home
        self.dispatch_id = dispatch_id
        self.candidates = candidates
        self.request = request
        self.timeout_s = timeout_s


class ForwardEnded:
    """A forwarded request has an outcome, or its home is unreachable."""

    __slots__ = ("dispatch_id", "outcome")

    def __init__(self, dispatch_id: int, outcome: exchange.Outcome) -> None:
        """Creates the message.

        Args:
            dispatch_id: The id of ForwardRequest.
            outcome: The outcome of the request.
        """
        self.dispatch_id = dispatch_id
        self.outcome = outcome


class ClaimKey:
    """Asks for a key made by a caller to be claimed in the store."""

    __slots__ = ("dispatch_id", "scoped_key")

    def __init__(self, dispatch_id: int, scoped_key: str) -> None:
        """Creates the message.

        Args:
            dispatch_id: Identifies the request to the dispatcher.
            scoped_key: The key with its workspace.
        """
        self.dispatch_id = dispatch_id
        self.scoped_key = scoped_key


class ClaimEnded:
    """The claim of a key has ended."""

    __slots__ = ("dispatch_id", "home", "is_new")

    def __init__(
        self, dispatch_id: int, home: keys.Home | None, is_new: bool
    ) -> None:
        """Creates the message.

        Args:
            dispatch_id: The id of ClaimKey.
            home: The key's home; None if the store could not be asked.
            is_new: Whether this claim made this daemon the home.
        """
        self.dispatch_id = dispatch_id
        self.home = home
        self.is_new = is_new


class Tick:
    """The earliest due time may have been reached."""

    __slots__ = ()
