"""Steps on the limits that instances name."""

from __future__ import annotations

import behave

from features.support import gateway_world

# The length of the load, in seconds.
LOAD_S = 30.0
# The window in which requests to a limited instance are counted, in seconds.
WINDOW_S = 4.0


@behave.given(
    "a daemon, {count:d} instances of {slots:d} slots, and {rate:g} requests a "
    "second"
)
def step_daemon(context, count, slots, rate):
    context.world = gateway_world.GatewayWorld(
        [gateway_world.route("/w/", priority=1)], count, slots
    )
    context.world.load("/w/", rate, 0.0, LOAD_S)


@behave.when(
    "{count:d} of them name a limit of {limit} requests a second after "
    "{start_s:g} seconds"
)
def step_name_limit(context, count, limit, start_s):
    context.limited = list(context.world.instances.values())[:count]
    for instance in context.limited:
        context.world.schedule(start_s, setattr, instance, "named_limit", limit)
    context.world.run(LOAD_S + WINDOW_S)


def most_in_window(times_s, start_s):
    """Counts the requests in the fullest window that begins after a time."""
    times_s = [t for t in times_s if t >= start_s]
    return max(
        (sum(t <= u < t + WINDOW_S for u in times_s) for t in times_s),
        default=0,
    )


@behave.then(
    "none of these gets more than {most:d} requests in any 4 seconds from "
    "second {start_s:g}"
)
def step_most(context, most, start_s):
    counts = [
        most_in_window([at_s for at_s, _ in i.arrivals], start_s)
        for i in context.limited
    ]
    assert max(counts) <= most, counts


@behave.then("at least {share:g} of the requests are served")
def step_served(context, share):
    served = context.world.served_share()
    assert served >= share, served
