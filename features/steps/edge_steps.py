"""Steps on drawn inputs at a daemon's edges."""

from __future__ import annotations

import behave

from dotterelpath.adapters import datagrams
from dotterelpath.adapters import logs
from features.support import edges


@behave.when("{count:d} inputs of {edge} are played")
def step_play(context, count, edge):
    logs.configure("error")
    edges.CHECKS[edge](count)


@behave.then("each ended in a response, a coded error or a closed connection")
def step_ended(context):
    """Does nothing: the check raises at the first other end."""


def is_dropped(data):
    """Tells whether a datagram cannot be decoded."""
    try:
        datagrams.decode({"from": "d1", **data})
    except ValueError:
        return True
    return False


@behave.then("a ping with the number {number} is dropped")
def step_large(context, number):
    assert is_dropped({"ping": int(number)})
    assert not is_dropped({"ping": 7})


@behave.then("a limit of {limit} requests a second is dropped")
def step_nan(context, limit):
    assert is_dropped({"service": "s", "limits": [["i", 1, limit]]})
    assert not is_dropped({"service": "s", "limits": [["i", 1, 2.5]]})
