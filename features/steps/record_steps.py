"""Steps on idempotency records, without processes."""

from __future__ import annotations

import behave

from dotterelpath import errors
from dotterelpath.domain import attempts
from dotterelpath.domain import budget
from dotterelpath.domain import exchange
from dotterelpath.domain import keys
from dotterelpath.domain import records
from features.support import world as world_module

HOME = keys.Home("d0", "1")


def admission_error(context, *args, **kwargs):
    try:
        context.record_table.admit(*args, **kwargs)
    except errors.DotterelpathError as error:
        return int(error.code)
    return None


def run_request(context, key, epoch, size=0):
    now_s = epoch * keys.EPOCH_S
    result = context.record_table.admit(key, epoch, "f", 1, now_s)
    assert result.decision is records.Decision.RUN
    response = exchange.Response(200, [], b"x" * size)
    outcome = exchange.Outcome(errors.ResultCode.ANSWERED, response=response)
    context.record_table.finish(key, outcome)


@behave.given("a record table with room for {count:d} records")
def step_record_table(context, count):
    context.now_s = 0.0
    context.record_table = records.RecordTable(HOME, 0.0, max_records=count)


@behave.given("a record table that keeps {size:d} bytes of responses")
def step_record_table_bytes(context, size):
    context.now_s = 0.0
    context.record_table = records.RecordTable(
        HOME, 0.0, max_response_bytes=size
    )


@behave.when("the keys {one} and {two} run in epoch {epoch:d} and end")
def step_run(context, one, two, epoch):
    run_request(context, one, epoch)
    run_request(context, two, epoch)


@behave.when(
    "the keys {one} and {two} run in epoch {epoch:d} with responses of"
    " {size:d} bytes"
)
def step_run_sized(context, one, two, epoch, size):
    run_request(context, one, epoch, size)
    run_request(context, two, epoch, size)


@behave.when("the key {key} starts in epoch {epoch:d}")
def step_start(context, key, epoch):
    context.now_s = epoch * keys.EPOCH_S
    result = context.record_table.admit(key, epoch, "f", 1, context.now_s)
    assert result.decision is records.Decision.RUN


@behave.when("{count:d} epochs pass")
def step_epochs_pass(context, count):
    context.now_s += count * keys.EPOCH_S
    context.record_table.expire(context.now_s)


@behave.then("the key {key} of epoch {epoch:d} is rejected with {code:d}")
def step_rejected(context, key, epoch, code):
    found = admission_error(context, key, epoch, "f", 1, context.now_s)
    assert found == code, f"expected {code}, got {found}"


@behave.then("the claimed key {key} without a record is rejected with {code:d}")
def step_claimed_rejected(context, key, code):
    epoch = records.OPAQUE_EPOCH
    found = admission_error(context, key, epoch, "f", 1, 0.0, may_start=False)
    assert found == code, f"expected {code}, got {found}"


@behave.when("attempt {attempt:d} of {key} joins and both end with not run")
def step_join_and_end(context, attempt, key):
    result = context.record_table.admit(key, 0, "f", attempt, 0.0)
    assert result.decision is records.Decision.JOIN
    code = errors.ResultCode.BACKEND_REFUSED
    context.record_table.finish(key, exchange.Outcome(code))


@behave.then("attempt {attempt:d} of {key} gets the outcome not run again")
def step_not_run_again(context, attempt, key):
    result = context.record_table.admit(key, 0, "f", attempt, 0.0)
    assert result.decision is records.Decision.REPLAY
    assert result.outcome.is_not_run


@behave.then("attempt {attempt:d} of {key} may run")
def step_may_run(context, attempt, key):
    result = context.record_table.admit(key, 0, "f", attempt, 0.0)
    assert result.decision is records.Decision.RUN


@behave.then("another attempt of {key} joins the running one")
def step_joins(context, key):
    result = context.record_table.admit(key, 0, "f", 1, context.now_s)
    assert result.decision is records.Decision.JOIN


@behave.then("another attempt of {key} ends with {code:d}")
def step_ends_with(context, key, code):
    result = context.record_table.admit(key, 0, "f", 1, context.now_s)
    assert result.decision is records.Decision.REPLAY
    assert result.outcome.code == code, result.outcome.code


@behave.given("attempts of an idempotent request")
def step_attempts(context):
    context.attempts = attempts.RequestAttempts(True)


@behave.when("the first attempt ends {first} and the second ends {second}")
def step_ends(context, first, second):
    retries = budget.RetryBudget()
    for number, name in enumerate((first, second)):
        context.attempts.start(f"i{number}")
        context.last_result = attempts.AttemptResult[name]
        context.attempts.may_retry(context.last_result, retries)


@behave.then("the outcome is {code:d}")
def step_outcome(context, code):
    outcome = context.attempts.failure(context.last_result)
    assert outcome.code == code, outcome.code


@behave.given("a simulated fleet with {count:d} daemons")
def step_simulated_fleet(context, count):
    context.world = world_module.World(daemons=count)


@behave.given("a booking with a key of {home} has ended")
def step_booking_ended(context, home):
    context.prefix = context.world.issue_prefix(home)
    context.first_key = context.prefix + "first0001"
    context.world.send(home, context.first_key)
    context.world.run_until_idle()
    context.world.run_attempt(0)
    context.world.run_until_idle()


@behave.when("{home} begins to hand off its records while another booking runs")
def step_begin_hand_off(context, home):
    context.world.send(home, context.prefix + "running01")
    context.world.run_until_idle()
    context.world.begin_drain(home)


@behave.when("a booking with another key of {home} arrives at {node}")
def step_booking_arrives(context, home, node):
    context.queued_key = context.prefix + "further01"
    context.world.send(node, context.queued_key)
    context.world.run_until_idle()


@behave.then("it is queued and does not start at {node}")
def step_queued(context, node):
    started = [send.request.key for _, send in context.world.open_attempts]
    assert context.queued_key not in started, started


@behave.when(
    "the running booking ends and {home} hands off its records to {node}"
)
def step_hand_off(context, home, node):
    context.world.run_attempt(0)
    context.world.run_until_idle()
    context.world.finish_drain(home, node)


@behave.then("the queued booking runs once, at {node}")
def step_queued_runs_at(context, node):
    assert len(context.world.open_attempts) == 1
    assert context.world.open_attempts[0][0].home.daemon_id == node
    context.world.run_attempt(0)
    context.world.run_until_idle()
    assert len(context.world.runs[context.queued_key]) == 1


@behave.then("{node} still returns the stored response of the first booking")
def step_returns_stored(context, node):
    token = context.world.send(node, context.first_key)
    context.world.run_until_idle()
    assert context.world.outcome(token).is_answered
    assert len(context.world.runs[context.first_key]) == 1
