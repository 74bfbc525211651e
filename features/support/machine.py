"""A stateful machine that holds the decisions against a simple oracle."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from features.support import world as world_module

MAX_KEYS = 3
DAEMONS = ("d0", "d1", "d2")
HOWS = ("answered", "lost", "late", "refused", "unreachable", "broken")
FAULTS = (
    "late",
    "kill",
    "replace",
    "freeze",
    "resume",
    "resume",
    "begin_drain",
    "finish_drain",
    "drain",
    "store",
    "expire",
)
_picks = strategies.integers(0, 5)


class FleetMachine(stateful.RuleBasedStateMachine):
    """Callers, daemons, a store and backend servers under failures.

    The oracle: a key runs at most once, an attempt that was told to be not
    run has not run and never runs, and an answer is the answer to the body
    that was sent with the key.
    """

    def __init__(self):
        super().__init__()
        self.world = world_module.World()
        self.keys = []
        self.attempts = {}

    @stateful.initialize(instances=strategies.sampled_from((1, 2)))
    def set_up(self, instances):
        self.world = world_module.World(instances=instances)

    @stateful.precondition(lambda self: len(self.keys) < MAX_KEYS)
    @stateful.rule(at=_picks, issuer=_picks, is_issued=strategies.booleans())
    def send(self, at, issuer, is_issued):
        prefix = self.world.prefix(self._live(issuer)) if is_issued else "own-"
        key = f"{prefix}unique{len(self.keys):04d}"
        self.keys.append(key)
        self.attempts[key] = 1
        self._send(at, key, 1)

    @stateful.precondition(lambda self: self.keys)
    @stateful.rule(at=_picks, pick=_picks)
    def retry(self, at, pick):
        key = self._key(pick)
        self._send(at, key, self.attempts[key])

    @stateful.precondition(lambda self: self.keys)
    @stateful.rule(at=_picks, pick=_picks)
    def next_attempt(self, at, pick):
        key = self._key(pick)
        self.attempts[key] += 1
        self._send(at, key, self.attempts[key])

    @stateful.precondition(lambda self: self.keys)
    @stateful.rule(at=_picks, pick=_picks)
    def late_first_attempt(self, at, pick):
        self._send(at, self._key(pick), 1)

    @stateful.precondition(lambda self: self.world.open_attempts)
    @stateful.rule(pick=_picks, how=strategies.sampled_from(HOWS))
    def handle_try(self, pick, how):
        self.world.run_attempt(pick, how)
        self.world.settle()

    @stateful.precondition(lambda self: self.world.open_attempts)
    @stateful.rule(how=strategies.sampled_from(("answered", "refused")))
    def handle_all_tries(self, how):
        while self.world.open_attempts:
            self.world.run_attempt(0, how)
            self.world.settle()

    @stateful.rule(
        fault=strategies.sampled_from(FAULTS), at=_picks, other=_picks
    )
    def fail(self, fault, at, other):
        daemon_id = DAEMONS[at % len(DAEMONS)]
        getattr(self, f"_{fault}")(daemon_id, DAEMONS[other % len(DAEMONS)])
        self.world.settle()

    @stateful.rule(seconds=strategies.sampled_from((0.5, 6.0)))
    def advance(self, seconds):
        self.world.advance(seconds)
        self.world.settle()

    def _late(self, at, other):
        self.world.deliver_late()

    def _kill(self, at, other):
        if at in self.world.nodes and len(self.world.nodes) > 1:
            self.world.kill(at)
            self.world.tell_members()

    def _replace(self, at, other):
        if at in self.world.nodes:
            self.world.kill(at)
        self.world.start(at)

    def _freeze(self, at, other):
        if at in self.world.nodes:
            self.world.nodes[at].is_frozen = True

    def _resume(self, at, other):
        for node in self.world.nodes.values():
            node.is_frozen = False

    def _begin_drain(self, at, other):
        nodes = self.world.nodes
        if at in nodes and not nodes[at].is_frozen and len(nodes) > 1:
            self.world.begin_drain(at)

    def _finish_drain(self, at, other):
        nodes = self.world.nodes
        if at == other or at not in nodes or other not in nodes:
            return
        if nodes[at].is_frozen or nodes[other].is_frozen:
            return
        if nodes[at].drain is not None and nodes[other].drain is None:
            self.world.finish_drain(at, other)

    def _drain(self, at, other):
        self._begin_drain(at, other)
        self._finish_drain(at, other)

    def _expire(self, at, other):
        self.world.advance(700.0)

    def _store(self, at, other):
        self.world.store_down = not self.world.store_down

    @stateful.invariant()
    def runs_at_most_once(self):
        for key, runs in self.world.runs.items():
            assert len(runs) <= 1, f"{key} ran {len(runs)} times"

    @stateful.invariant()
    def not_run_means_not_run(self):
        for _, key, attempt, outcome in self.world.told:
            if outcome.is_not_run:
                ran = [a for a in self.world.runs[key] if a <= attempt]
                assert not ran, f"{key} was told not run and ran"

    @stateful.invariant()
    def answers_are_the_callers_own(self):
        for token, _, _, outcome in self.world.told:
            if outcome.is_answered:
                body = self.world.tokens[token][2]
                assert outcome.response.body == body, "another one's answer"

    def _live(self, pick):
        live = sorted(self.world.nodes)
        return live[pick % len(live)]

    def _key(self, pick):
        return self.keys[pick % len(self.keys)]

    def _send(self, at, key, attempt):
        self.world.send(self._live(at), key, attempt, body=key.encode())
        self.world.settle()


def check(examples, steps, seed=None):
    """Runs the machine; without a seed it is the same each time."""
    settings = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=steps,
        derandomize=seed is None,
        database=None,
        deadline=None,
        print_blob=True,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    machine = FleetMachine
    if seed is not None:
        machine = hypothesis.seed(seed)(FleetMachine)
    stateful.run_state_machine_as_test(machine, settings=settings)
