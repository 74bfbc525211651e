"""Runs a case and turns its result into an exit code."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
import traceback
import typing

from support import caller
from support import fleet as fleet_module
from support import instance as instance_module
from support import record as record_file

BROKEN = 1
HELD = 0
NOT_RUN = 2
TIMEOUT_S = 110.0

Play = typing.Callable[
    [fleet_module.Fleet, bool], typing.Awaitable[typing.Sequence[str]]
]


def run(folder: pathlib.Path, play: Play) -> typing.NoReturn:
    """Plays a case and exits.

    The first argument of the process is 0 to play it without the disruption.

    Args:
        folder: The folder of the case.
        play: Plays the case in a fleet, with or without the disruption, and
            returns how the rule was broken.
    """
    sys.exit(asyncio.run(_run(folder, play)))


async def _run(folder: pathlib.Path, play: Play) -> int:
    record = record_file.Record(folder)
    has_trouble = sys.argv[1:] != ["0"]
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        async with (
            asyncio.timeout(TIMEOUT_S),
            fleet_module.Fleet(record) as fleet,
        ):
            found = await play(fleet, has_trouble)
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        record.write("the case could not run")
        return NOT_RUN
    for text in found:
        record.write(f"BROKEN: {text}")
        print(text)
    record.write("the rule was broken" if found else "the rule held")
    return BROKEN if found else HELD


def lost_at_stop(
    fleet: fleet_module.Fleet,
    requests: typing.Iterable[caller.Sent],
    stopped_s: float,
) -> list[str]:
    """Finds requests that break the rule LOST around a SIGTERM.

    Counts a request whose connection ended without a complete answer, either
    once it was passed on to an instance, or later than `loss_slack_s` after it
    was sent; but not if its time budget was over, if its instance was still at
    work in the last sixth of `grace_s` and it was sent at most 3 s after the
    SIGTERM, or if it was sent later than the SIGTERM's planned work lasts.

    Args:
        fleet: The fleet.
        requests: The requests to the daemon that got the SIGTERM, each the only
            one outstanding on its connection or known to be passed on.
        stopped_s: When the SIGTERM was sent.

    Returns:
        A text for each request that was lost.
    """
    found = []
    grace_s = fleet.bounds["grace_s"]
    for sent in requests:
        if sent.response is not None or sent.ended_s is None:
            continue
        ran_at = instances_of(fleet, sent)
        waited_s = sent.ended_s - sent.sent_s
        is_late_work = sent.sent_s - stopped_s <= 3.0 and any(
            instance.work[sent.id][1] >= stopped_s + grace_s * 5.0 / 6.0
            for instance in ran_at
        )
        is_excused = (
            is_late_work
            or sent.ended_s >= sent.deadline_s
            or sent.ended_s > stopped_s + grace_s + 1.0
            or (not ran_at and waited_s <= fleet.bounds["loss_slack_s"])
        )
        place = (
            f"while {ran_at[0].id} was at work"
            if ran_at
            else "without being passed on"
        )
        text = (
            f"{sent.id}, sent {sent.sent_s - stopped_s:+.2f} s from the"
            f" SIGTERM, was cut {sent.ended_s - stopped_s:.2f} s after it,"
            f" {place}"
        )
        if is_excused:
            fleet.record.write(f"not counted: {text}")
        else:
            found.append(text)
    return found


def instances_of(
    fleet: fleet_module.Fleet, sent: caller.Sent
) -> list[instance_module.Instance]:
    """Returns the instances that worked on a request.

    Args:
        fleet: The fleet.
        sent: The request.
    """
    return [i for i in fleet.instances.values() if sent.id in i.work]
