"""Checks the dispatchers of a fleet against a simple oracle."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from features.support import world as world_module

MAX_KEYS = 3
DAEMONS = ("d0", "d1", "d2")
ATTEMPT_ENDS = ("answered", "lost", "late", "refused", "unreachable", "broken")
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

    Invariants: a key runs at most once, an attempt that was reported as not
    run has not run and never runs, and each response belongs to the body that
    was sent with the key.
    """

    def __init__(self):
        super().__init__()
        self.world = world_module.World()
        self.keys = []
        self.attempt_numbers = {}

    @stateful.initialize(instances=strategies.sampled_from((1, 2)))
    def set_up(self, instances):
        self.world = world_module.World(instances=instances)

    @stateful.precondition(lambda self: len(self.keys) < MAX_KEYS)
    @stateful.rule(at=_picks, issuer=_picks, is_issued=strategies.booleans())
    def send(self, at, issuer, is_issued):
        prefix = (
            self.world.issue_prefix(self._pick_daemon(issuer))
            if is_issued
            else "own-"
        )
        key = f"{prefix}unique{len(self.keys):04d}"
        self.keys.append(key)
        self.attempt_numbers[key] = 1
        self._send(at, key, 1)

    @stateful.precondition(lambda self: self.keys)
    @stateful.rule(at=_picks, pick=_picks)
    def retry(self, at, pick):
        key = self._pick_key(pick)
        self._send(at, key, self.attempt_numbers[key])

    @stateful.precondition(lambda self: self.keys)
    @stateful.rule(at=_picks, pick=_picks)
    def next_attempt(self, at, pick):
        key = self._pick_key(pick)
        self.attempt_numbers[key] += 1
        self._send(at, key, self.attempt_numbers[key])

    @stateful.precondition(lambda self: self.keys)
    @stateful.rule(at=_picks, pick=_picks)
    def late_first_attempt(self, at, pick):
        self._send(at, self._pick_key(pick), 1)

    @stateful.precondition(lambda self: self.world.open_attempts)
    @stateful.rule(pick=_picks, how=strategies.sampled_from(ATTEMPT_ENDS))
    def handle_try(self, pick, how):
        self.world.run_attempt(pick, how)
        self.world.run_until_idle()

    @stateful.precondition(lambda self: self.world.open_attempts)
    @stateful.rule(how=strategies.sampled_from(("answered", "refused")))
    def handle_all_tries(self, how):
        while self.world.open_attempts:
            self.world.run_attempt(0, how)
            self.world.run_until_idle()

    @stateful.rule(
        fault=strategies.sampled_from(FAULTS), at=_picks, other=_picks
    )
    def fail(self, fault, at, other):
        daemon_id = DAEMONS[at % len(DAEMONS)]
        getattr(self, f"_{fault}")(daemon_id, DAEMONS[other % len(DAEMONS)])
        self.world.run_until_idle()

    @stateful.rule(seconds=strategies.sampled_from((0.5, 6.0)))
    def advance(self, seconds):
        self.world.advance(seconds)
        self.world.run_until_idle()

    def _late(self, daemon_id, other_id):
        self.world.deliver_late()

    def _kill(self, daemon_id, other_id):
        if daemon_id in self.world.nodes and len(self.world.nodes) > 1:
            self.world.kill(daemon_id)
            self.world.publish_members()

    def _replace(self, daemon_id, other_id):
        if daemon_id in self.world.nodes:
            self.world.kill(daemon_id)
        self.world.start(daemon_id)

    def _freeze(self, daemon_id, other_id):
        if daemon_id in self.world.nodes:
            self.world.nodes[daemon_id].is_frozen = True

    def _resume(self, daemon_id, other_id):
        for node in self.world.nodes.values():
            node.is_frozen = False

    def _begin_drain(self, daemon_id, other_id):
        nodes = self.world.nodes
        if (
            daemon_id in nodes
            and not nodes[daemon_id].is_frozen
            and len(nodes) > 1
        ):
            self.world.begin_drain(daemon_id)

    def _finish_drain(self, daemon_id, other_id):
        nodes = self.world.nodes
        if (
            daemon_id == other_id
            or daemon_id not in nodes
            or other_id not in nodes
        ):
            return
        if nodes[daemon_id].is_frozen or nodes[other_id].is_frozen:
            return
        if nodes[daemon_id].drain is not None and nodes[other_id].drain is None:
            self.world.finish_drain(daemon_id, other_id)

    def _drain(self, daemon_id, other_id):
        self._begin_drain(daemon_id, other_id)
        self._finish_drain(daemon_id, other_id)

    def _expire(self, daemon_id, other_id):
        self.world.advance(700.0)

    def _store(self, daemon_id, other_id):
        self.world.is_store_down = not self.world.is_store_down

    @stateful.invariant()
    def runs_at_most_once(self):
        for key, runs in self.world.runs.items():
            assert len(runs) <= 1, f"{key} ran {len(runs)} times"

    @stateful.invariant()
    def not_run_means_not_run(self):
        for _, key, attempt, outcome in self.world.outcomes:
            if outcome.is_not_run:
                ran = [a for a in self.world.runs[key] if a <= attempt]
                assert not ran, f"{key} was reported as not run and ran: {ran}"

    @stateful.invariant()
    def responses_match_the_request_bodies(self):
        for token, _, _, outcome in self.world.outcomes:
            if outcome.is_answered:
                body = self.world.requests[token][2]
                assert outcome.response.body == body, (
                    f"expected the response to {body}: {outcome.response.body}"
                )

    def _pick_daemon(self, pick):
        daemon_ids = sorted(self.world.nodes)
        return daemon_ids[pick % len(daemon_ids)]

    def _pick_key(self, pick):
        return self.keys[pick % len(self.keys)]

    def _send(self, at, key, attempt):
        self.world.send(self._pick_daemon(at), key, attempt, body=key.encode())
        self.world.run_until_idle()


def check(examples, steps, seed=None):
    """Runs the machine; without a seed the examples are deterministic."""
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
