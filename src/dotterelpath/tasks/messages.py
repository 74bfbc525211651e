"""Messages on requests, from their arrival to their outcome."""

from __future__ import annotations

import typing

from dotterelpath.domain import attempts
from dotterelpath.domain import exchange
from dotterelpath.domain import keys
from dotterelpath.domain import vms
from dotterelpath.ports import backend
from dotterelpath.tasks import mailbox


class RequestArrived:
    """A request came from a caller, or from a peer for a key kept here."""

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
            reply_to: Where RequestEnded goes.
            token: Names the request to that receiver.
            is_forwarded: Whether a peer sent it here as its key's home.
            claimed_home: The home that the store names, where the caller
                made the key itself and a peer sent the request here.
        """
        self.claimed_home = claimed_home
        self.request = request
        self.reply_to = reply_to
        self.token = token
        self.is_forwarded = is_forwarded


class RequestEnded:
    """A request has its outcome."""

    __slots__ = ("outcome", "token")

    def __init__(self, token: int, outcome: exchange.Outcome) -> None:
        """Creates the message.

        Args:
            token: The request's name at the receiver.
            outcome: How it ended.
        """
        self.token = token
        self.outcome = outcome


class CallerDisconnected:
    """A caller closed its connection with a request on it."""

    __slots__ = ("reply_to", "token")

    def __init__(
        self, reply_to: mailbox.Mailbox[typing.Any], token: int
    ) -> None:
        """Creates the message.

        Args:
            reply_to: The receiver that RequestArrived named.
            token: The token that RequestArrived named.
        """
        self.reply_to = reply_to
        self.token = token


class SendAttempt:
    """A request is to be written to an instance."""

    __slots__ = (
        "attempt_id",
        "buffer_limit",
        "deadline_s",
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
        buffer_limit: int,
    ) -> None:
        """Creates the message.

        Args:
            attempt_id: Names the try.
            vm: The instance.
            request: The request.
            deadline_s: When the instance is to give up, on the monotonic
                clock, in seconds.
            needs_recent_use: Whether the connection must be lately proven.
            buffer_limit: The longest answer, in bytes, that is given whole.
        """
        self.attempt_id = attempt_id
        self.vm = vm
        self.request = request
        self.deadline_s = deadline_s
        self.needs_recent_use = needs_recent_use
        self.buffer_limit = buffer_limit


class CancelAttempt:
    """Nobody waits for a try any more, or it took too long."""

    __slots__ = ("attempt_id", "timed_out")

    def __init__(self, attempt_id: int, timed_out: bool) -> None:
        """Creates the message.

        Args:
            attempt_id: The try.
            timed_out: Whether the instance's silence is the reason.
        """
        self.attempt_id = attempt_id
        self.timed_out = timed_out


class AttemptEnded:
    """A try has ended."""

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
            attempt_id: The try.
            result: How it ended.
            detail: What was seen.
            response: The answer, where there is one.
            is_complete: Whether no parts of the answer follow.
        """
        self.attempt_id = attempt_id
        self.result = result
        self.detail = detail
        self.response = response
        self.is_complete = is_complete


class ResponseChunk:
    """A further part of a long answer."""

    __slots__ = ("attempt_id", "data")

    def __init__(self, attempt_id: int, data: bytes) -> None:
        """Creates the message.

        Args:
            attempt_id: The try that the answer belongs to.
            data: The part.
        """
        self.attempt_id = attempt_id
        self.data = data


class ResponseEnded:
    """A long answer is complete, or broke off."""

    __slots__ = ("attempt_id", "is_complete")

    def __init__(self, attempt_id: int, is_complete: bool) -> None:
        """Creates the message.

        Args:
            attempt_id: The try that the answer belongs to.
            is_complete: Whether all of it came in.
        """
        self.attempt_id = attempt_id
        self.is_complete = is_complete


class FlowControlChanged:
    """The reader of a long answer is slow, or has caught up."""

    __slots__ = ("attempt_id", "is_paused")

    def __init__(self, attempt_id: int, is_paused: bool) -> None:
        """Creates the message.

        Args:
            attempt_id: The try that the answer belongs to.
            is_paused: Whether to stop reading.
        """
        self.attempt_id = attempt_id
        self.is_paused = is_paused


class ConnectFinished:
    """A connection to an instance is open, or could not be opened."""

    __slots__ = ("connection", "detail", "vm_id")

    def __init__(
        self,
        vm_id: str,
        connection: backend.Connection | None,
        detail: str = "",
    ) -> None:
        """Creates the message.

        Args:
            vm_id: The instance.
            connection: The connection; None where it failed.
            detail: Why it failed.
        """
        self.vm_id = vm_id
        self.connection = connection
        self.detail = detail


class ForwardRequest:
    """A request is to go to its key's home."""

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
            dispatch_id: Names the forward.
            candidates: The daemons to ask, in order, until one answers for
                the home.
            request: The request.
            timeout_s: How long to wait, in seconds.
            claimed_home: The home that the store names, for a key that the
                caller made itself.
        """
        self.claimed_home = claimed_home
        self.dispatch_id = dispatch_id
        self.candidates = candidates
        self.request = request
        self.timeout_s = timeout_s


class ForwardEnded:
    """A home has answered, or cannot be reached."""

    __slots__ = ("dispatch_id", "outcome")

    def __init__(self, dispatch_id: int, outcome: exchange.Outcome) -> None:
        """Creates the message.

        Args:
            dispatch_id: The forward.
            outcome: How the request ended.
        """
        self.dispatch_id = dispatch_id
        self.outcome = outcome


class ClaimKey:
    """A caller's own key is to be claimed in the store."""

    __slots__ = ("dispatch_id", "scoped_key")

    def __init__(self, dispatch_id: int, scoped_key: str) -> None:
        """Creates the message.

        Args:
            dispatch_id: Names the claim.
            scoped_key: The key with its workspace.
        """
        self.dispatch_id = dispatch_id
        self.scoped_key = scoped_key


class ClaimEnded:
    """The store has named the home of a key, or gave no answer."""

    __slots__ = ("dispatch_id", "home", "is_new")

    def __init__(
        self, dispatch_id: int, home: keys.Home | None, is_new: bool
    ) -> None:
        """Creates the message.

        Args:
            dispatch_id: The claim.
            home: The key's home; None where the store gave no answer.
            is_new: Whether this claim created it.
        """
        self.dispatch_id = dispatch_id
        self.home = home
        self.is_new = is_new


class Tick:
    """The earliest deadline may have passed."""

    __slots__ = ()
