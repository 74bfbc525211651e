"""Checks the ejections of one service under stale views and lost responses."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from dotterelpath.domain import ledger
from dotterelpath.domain import vms

_picks = strategies.integers(0, 7)


class LedgerMachine(stateful.RuleBasedStateMachine):
    """Two coordinators with possibly stale views change one ledger.

    Each saved ejection must leave at least the floor of instances in use,
    among those that the coordinator saw as available. Instances on trial are
    not in use.
    """

    def __init__(self):
        super().__init__()
        self.states = {f"i{n}": vms.VmState.LIVE for n in range(8)}
        self.floor = 5
        self.stored = ledger.Ledger("s")
        self.views = [ledger.Ledger("s"), ledger.Ledger("s")]
        self.wall_s = 0.0
        self.unhealthy = []
        self.saved = None

    @stateful.rule(pick=_picks, state=strategies.sampled_from(vms.VmState))
    def change_vm(self, pick, state):
        self.states[f"i{pick}"] = state

    @stateful.rule(floor=strategies.integers(1, 8))
    def change_floor(self, floor):
        self.floor = floor

    @stateful.rule(picks=strategies.lists(_picks, max_size=4, unique=True))
    def report(self, picks):
        self.unhealthy = [f"i{pick}" for pick in picks]

    @stateful.rule(seconds=strategies.sampled_from((1.0, 11.0, 1000.0)))
    def advance(self, seconds):
        self.wall_s += seconds

    @stateful.rule(view_index=strategies.integers(0, 1))
    def watch(self, view_index):
        self.views[view_index] = self.stored

    @stateful.rule(
        view_index=strategies.integers(0, 1),
        is_response_lost=strategies.booleans(),
    )
    def decide(self, view_index, is_response_lost):
        view = self.views[view_index]
        available = self._available()
        newer = ledger.next_ledger(
            view, available, self.floor, list(self.unhealthy), self.wall_s
        )
        if newer is None or self.stored.revision != view.revision:
            return
        newer.revision = view.revision + 1
        self.stored = newer
        if not is_response_lost:
            self.views[view_index] = newer
        self._check(view, newer, available)

    def _available(self):
        return {
            name
            for name, state in self.states.items()
            if state is vms.VmState.LIVE
        }

    def _check(self, old, new, available):
        added = set(new.ejected) - set(old.ejected)
        in_use = available - set(new.ejected) - set(new.trial)
        if added:
            assert len(in_use) >= self.floor, (
                f"floor {self.floor}, in use {in_use}, ejected {new.ejected}"
            )
        if len(available) >= self.floor:
            assert len(in_use) >= self.floor, (
                f"floor {self.floor} was not restored: in use {in_use}"
            )
        else:
            assert not new.ejected and not new.trial


def check(examples, steps):
    """Runs the machine with deterministic examples."""
    settings = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=steps,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    stateful.run_state_machine_as_test(LedgerMachine, settings=settings)
