"""Numbered result codes and the exceptions that carry them."""

from __future__ import annotations

import enum


class OutcomeClass(enum.Enum):
    """What a response tells the caller about its request.

    OPERATOR marks the results of operators' calls and of the processes
    themselves, which say nothing about a caller's request.
    """

    ANSWERED = "answered"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    OPERATOR = "operator"


class ResultCode(enum.IntEnum):
    """The numbered results that the daemons and the tool report."""

    ANSWERED = 1000

    MALFORMED_REQUEST = 2001
    HEAD_TOO_LARGE = 2002
    BODY_TOO_LARGE = 2003
    NO_ROUTE = 2004
    METHOD_NOT_ALLOWED = 2005
    OVERLOADED = 2006
    DEADLINE_TOO_SHORT = 2007
    NO_BACKEND = 2008
    BACKEND_REFUSED = 2009
    BACKEND_UNREACHABLE = 2010
    DAEMON_STALE = 2011
    KEY_REUSED = 2012
    KEY_MALFORMED = 2013
    WORKSPACE_LIMIT = 2014
    BAD_HEADER = 2015
    NO_DOCUMENT = 2016
    CALLER_GONE = 2017
    REQUEST_TIMEOUT = 2018
    UNAUTHENTICATED = 2019
    QUOTA_EXCEEDED = 2020

    BACKEND_BROKEN = 3001
    BACKEND_TIMEOUT = 3002
    HOME_UNREACHABLE = 3003
    HOME_REPLACED = 3004
    KEY_EXPIRED = 3005
    ANSWER_NOT_KEPT = 3006
    RECORDS_FULL = 3007
    KEY_STORE_UNAVAILABLE = 3008
    BACKEND_PROTOCOL = 3009
    INTERNAL = 3010

    SECTION_SYNTAX = 4001
    SECTION_SCHEMA = 4002
    SECTION_RULE = 4003
    EDIT_CONFLICT = 4004
    EDIT_FORBIDDEN = 4005
    NO_SECTION = 4006
    EDIT_UNKNOWN = 4007
    STORE_UNAVAILABLE = 4008
    NOT_FOUND = 4009
    BAD_REQUEST = 4010
    SECTION_TOO_LARGE = 4011

    BAD_SETTING = 5001
    ADDRESS_IN_USE = 5002
    TASK_DIED = 5003
    DAEMON_UNREACHABLE = 5004
    STORE_ERA = 5005

    @property
    def outcome_class(self) -> OutcomeClass:
        """What the code guarantees about the request."""
        return _CLASS_BY_THOUSANDS.get(int(self) // 1000, OutcomeClass.OPERATOR)

    @property
    def http_status(self) -> int:
        """The HTTP status of a response with this code."""
        return _STATUS_AND_TEXT[self][0]

    @property
    def text(self) -> str:
        """The meaning of the code, as one sentence."""
        return _STATUS_AND_TEXT[self][1]


_CLASS_BY_THOUSANDS = {
    1: OutcomeClass.ANSWERED,
    2: OutcomeClass.NOT_RUN,
    3: OutcomeClass.UNKNOWN,
}

_STATUS_AND_TEXT: dict[ResultCode, tuple[int, str]] = {
    ResultCode.ANSWERED: (200, "The backend server answered."),
    ResultCode.MALFORMED_REQUEST: (400, "The request is not valid HTTP."),
    ResultCode.HEAD_TOO_LARGE: (431, "The request head is too large."),
    ResultCode.BODY_TOO_LARGE: (413, "The request body is too large."),
    ResultCode.NO_ROUTE: (404, "No route matches the path."),
    ResultCode.METHOD_NOT_ALLOWED: (405, "The route allows other methods."),
    ResultCode.OVERLOADED: (503, "The service is at its limit."),
    ResultCode.DEADLINE_TOO_SHORT: (504, "The deadline cannot be met."),
    ResultCode.NO_BACKEND: (503, "The service has no backend server in use."),
    ResultCode.BACKEND_REFUSED: (503, "The backend server refused the work."),
    ResultCode.BACKEND_UNREACHABLE: (
        502,
        "No backend server could be reached.",
    ),
    ResultCode.DAEMON_STALE: (
        503,
        "The daemon cannot tell whether its document is current.",
    ),
    ResultCode.KEY_REUSED: (409, "The key belongs to another request."),
    ResultCode.KEY_MALFORMED: (400, "The idempotency key is malformed."),
    ResultCode.WORKSPACE_LIMIT: (429, "The workspace is at its limit."),
    ResultCode.BAD_HEADER: (400, "A Dotterelpath header is invalid."),
    ResultCode.NO_DOCUMENT: (503, "The daemon has no document yet."),
    ResultCode.CALLER_GONE: (499, "The caller closed before the request ran."),
    ResultCode.REQUEST_TIMEOUT: (408, "The request came in too slowly."),
    ResultCode.UNAUTHENTICATED: (401, "The request has no known key."),
    ResultCode.QUOTA_EXCEEDED: (429, "The tenant has used up its quota."),
    ResultCode.BACKEND_BROKEN: (502, "The backend server's connection broke."),
    ResultCode.BACKEND_TIMEOUT: (504, "The backend server did not answer."),
    ResultCode.HOME_UNREACHABLE: (503, "The key's home cannot be reached."),
    ResultCode.HOME_REPLACED: (503, "The key's home has been replaced."),
    ResultCode.KEY_EXPIRED: (503, "The key is older than the kept window."),
    ResultCode.ANSWER_NOT_KEPT: (503, "The request ran; its answer is gone."),
    ResultCode.RECORDS_FULL: (503, "The home cannot keep more records."),
    ResultCode.KEY_STORE_UNAVAILABLE: (503, "The key cannot be claimed now."),
    ResultCode.BACKEND_PROTOCOL: (
        502,
        "The backend server's answer is invalid.",
    ),
    ResultCode.INTERNAL: (500, "The daemon failed inside."),
    ResultCode.SECTION_SYNTAX: (400, "The section is not valid TOML."),
    ResultCode.SECTION_SCHEMA: (400, "The section does not fit the schema."),
    ResultCode.SECTION_RULE: (400, "The section breaks a rule."),
    ResultCode.EDIT_CONFLICT: (
        409,
        "The section has changed since it was read.",
    ),
    ResultCode.EDIT_FORBIDDEN: (403, "The token may not edit the section."),
    ResultCode.NO_SECTION: (404, "The document has no such section."),
    ResultCode.EDIT_UNKNOWN: (
        503,
        "It is unknown whether the edit took effect.",
    ),
    ResultCode.STORE_UNAVAILABLE: (
        503,
        "The configuration store is unavailable.",
    ),
    ResultCode.NOT_FOUND: (404, "There is no such resource."),
    ResultCode.BAD_REQUEST: (400, "The call is invalid."),
    ResultCode.SECTION_TOO_LARGE: (413, "The section is too large."),
    ResultCode.BAD_SETTING: (500, "A setting is invalid."),
    ResultCode.ADDRESS_IN_USE: (500, "An address is already in use."),
    ResultCode.TASK_DIED: (500, "A task of the daemon died."),
    ResultCode.DAEMON_UNREACHABLE: (503, "No daemon could be reached."),
    ResultCode.STORE_ERA: (
        500,
        "The store's answer is of an earlier era, or its era is invalid.",
    ),
}


class DotterelpathError(Exception):
    """An error with a numbered result code.

    Attributes:
        code: The numbered result.
        detail: A description of this failure; the code's text by default.
    """

    def __init__(self, code: ResultCode, detail: str = "") -> None:
        """Creates an error.

        Args:
            code: The numbered result.
            detail: A description of this failure; if empty, the code's text.
        """
        self.code = code
        self.detail = detail or code.text
        super().__init__(f"{int(code)}: {self.detail}")


class StoreError(Exception):
    """A read failed, or a write failed and certainly had no effect."""


class UnknownOutcomeError(Exception):
    """No response to a store write arrived; it may have taken effect."""


class IncompleteResponseError(StoreError):
    """The store's response to a read did not end in time, or is too long."""


class HistoryLostError(StoreError):
    """The store no longer has the changes that a watch requested."""


class StoreEraError(StoreError):
    """An answer of the store states no valid era, or an earlier one."""

    code = ResultCode.STORE_ERA
