"""Steps that run stateful machines."""

from __future__ import annotations

import behave

from features.support import machine


@behave.when(
    "the fleet state machine runs {examples:d} examples of {steps:d} steps"
)
def step_machine(context, examples, steps):
    machine.check(examples, steps)


@behave.then("no invariant was violated")
def step_no_violation(context):
    """Does nothing: the machine raises at the first violation."""
