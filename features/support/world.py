"""Simulates a fleet and its backend servers, without sockets."""

from __future__ import annotations

import collections
import heapq
import random

from dotterelpath import errors
from dotterelpath.adapters import logs
from dotterelpath.domain import attempts
from dotterelpath.domain import document
from dotterelpath.domain import exchange
from dotterelpath.domain import keys
from dotterelpath.domain import records
from dotterelpath.domain import vms
from dotterelpath.tasks import dispatcher
from dotterelpath.tasks import events
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import messages

REFUSAL = "x-not-run"
SERVICE = "bookings"


class FakeClock:
    """A clock that the test advances."""

    __slots__ = ("time_s",)

    def __init__(self):
        self.time_s = 1000.0

    def now_s(self):
        return self.time_s

    def wall_s(self):
        return self.time_s


class FakeTimers:
    """Timers without an event loop."""

    __slots__ = ("heap", "order")

    def __init__(self):
        self.heap = []
        self.order = 0

    def add(self, due_s, item):
        self.order += 1
        heapq.heappush(self.heap, (due_s, self.order, item))

    def pop_due(self, now_s):
        due = []
        while self.heap and self.heap[0][0] <= now_s:
            due.append(heapq.heappop(self.heap)[2])
        return due


class NoMetrics:
    """Discards all measurements."""

    __slots__ = ()

    def record_request(self, *args):
        pass

    def record_retry(self, *args):
        pass

    def record_refusal(self, *args):
        pass

    def record_rejection(self, *args):
        pass

    def record_wait(self, *args):
        pass

    def set_avoided_count(self, *args):
        pass

    def set_ejected_count(self, *args):
        pass

    def record_unknown_item(self, *args):
        pass

    def record_quota_refusal(self, *args):
        pass


class Node:
    """The dispatcher of one daemon, with its mailboxes."""

    __slots__ = ("boxes", "dispatcher", "drain", "home", "is_frozen")

    def __init__(self, world, home):
        self.home = home
        self.is_frozen = False
        self.drain = None
        names = ("inbox", "back_ends", "peers", "claims", "steward")
        self.boxes = {name: mailbox.Mailbox(name) for name in names}
        self.dispatcher = dispatcher.Dispatcher(
            home,
            world.clock,
            random.Random(1),
            FakeTimers(),
            NoMetrics(),
            *self.boxes.values(),
        )

    def take_messages(self, name):
        """Removes and returns all messages of a mailbox."""
        box = self.boxes[name]._messages
        taken = list(box)
        box.clear()
        return taken


class World:
    """A fleet whose network, store and backend servers the test controls."""

    __slots__ = (
        "claims",
        "clock",
        "delayed",
        "incarnations",
        "is_store_down",
        "nodes",
        "open_attempts",
        "outcomes",
        "replies",
        "requests",
        "runs",
        "vms",
    )

    def __init__(self, daemons=3, instances=3):
        logs.configure("error")
        self.clock = FakeClock()
        self.incarnations = 0
        self.nodes = {}
        self.is_store_down = False
        self.claims = {}
        self.runs = collections.defaultdict(list)
        self.outcomes = []
        self.vms = {}
        self.requests = {}
        self.open_attempts = []
        self.delayed = []
        self.replies = mailbox.Mailbox("callers", 10**9)
        self.create_vms(daemons, instances)
        for number in range(daemons):
            self.start(f"d{number}")

    def create_vms(self, daemons, instances):
        self.vms = {
            **{
                f"d{n}": vms.Vm(f"d{n}", vms.VmRole.ENTRY, "h", 1, "abc"[n % 3])
                for n in range(daemons)
            },
            **{
                f"i{n}": vms.Vm(
                    f"i{n}",
                    vms.VmRole.BACKEND,
                    "h",
                    2,
                    "abc"[n % 3],
                    service=SERVICE,
                )
                for n in range(instances)
            },
        }

    def start(self, daemon_id):
        """Starts a new incarnation of a daemon."""
        self.incarnations += 1
        home = keys.Home(daemon_id, f"{self.incarnations:x}")
        node = self.nodes[daemon_id] = Node(self, home)
        handle = node.dispatcher.handle
        handle(events.VmsChanged(vms.VmTable.from_vms(self.vms.values())))
        service = document.Service(SERVICE, 1, refusal_header=REFUSAL, slots=50)
        route = document.Route(SERVICE, "/", frozenset(), timeout_s=5.0)
        section = document.Section("s", ("0" * 64,), (service,), (route,), ())
        handle(events.DocumentChanged(document.Document(1, (section,))))
        self.publish_members()
        return node

    def publish_members(self):
        live = sorted(self.nodes)
        adopters = {
            home: node.home.daemon_id
            for node in self.nodes.values()
            for home in node.dispatcher.record_tables.adopted
        }
        data_centres = {
            daemon_id: "abc"[int(daemon_id[1:]) % 3] for daemon_id in live
        }
        for node in self.nodes.values():
            node.dispatcher.handle(
                events.MembersChanged(live, data_centres, adopters)
            )

    def issue_prefix(self, daemon_id):
        node = self.nodes[daemon_id]
        started_s = node.dispatcher.record_tables.own.started_at_s
        return keys.issue_prefix(node.home, self.clock.now_s() - started_s)

    def send(self, daemon_id, key, attempt=1, body=b"b", method="POST"):
        """Delivers a request of a caller to a daemon; returns its token."""
        token = len(self.requests) + 1
        self.requests[token] = (key, attempt, body)
        request = exchange.Request(
            method,
            "/bookings",
            [],
            body,
            workspace="w",
            key=key,
            attempt=attempt,
            request_id=f"r{token}",
        )
        node = self.nodes[daemon_id]
        node.boxes["inbox"].force(
            messages.RequestArrived(request, self.replies, token)
        )
        return token

    def run_until_idle(self):
        """Delivers messages until only open attempts are left."""
        has_progress = True
        while has_progress:
            has_progress = False
            for node in list(self.nodes.values()):
                if not node.is_frozen:
                    has_progress |= self._step(node)
        for message in self._take_replies():
            key, attempt, body = self.requests[message.token]
            self.outcomes.append((message.token, key, attempt, message.outcome))

    def outcome(self, token):
        """Returns the outcome of a request, None while it is open."""
        for ended_token, _, _, outcome in self.outcomes:
            if ended_token == token:
                return outcome
        return None

    def run_attempt(self, index, how="answered"):
        """Ends an open attempt.

        Args:
            index: Which open attempt; taken modulo their number.
            how: "answered", "late" (the response is delayed until
                deliver_late), "lost" (the request runs, but the connection
                breaks), "refused", "broken" (before the request runs) or
                "unreachable".
        """
        node, send = self.open_attempts.pop(index % len(self.open_attempts))
        request = send.request
        result = attempts.AttemptResult.ANSWERED
        response = exchange.Response(200, [], request.body)
        if how in ("answered", "lost", "late"):
            self.runs[request.key].append(request.attempt)
        if how == "refused":
            response = exchange.Response(503, [(REFUSAL.encode(), b"1")], b"")
        elif how in ("lost", "broken"):
            result, response = attempts.AttemptResult.BROKEN, None
        elif how == "unreachable":
            result, response = attempts.AttemptResult.UNREACHABLE, None
        ended = messages.AttemptEnded(send.attempt_id, result, how, response)
        if how == "late":
            self.delayed.append((node, ended))
        else:
            node.boxes["inbox"].force(ended)

    def deliver_late(self):
        """Delivers the delayed responses."""
        for node, message in self.delayed:
            node.boxes["inbox"].force(message)
        self.delayed.clear()

    def kill(self, daemon_id):
        """Kills a daemon; its open attempts may still run."""
        self.nodes.pop(daemon_id)

    def advance(self, seconds):
        """Advances the clock."""
        self.clock.time_s += seconds
        for node in self.nodes.values():
            node.boxes["inbox"].force(messages.Tick())

    def begin_drain(self, daemon_id):
        """Starts a drain: new keys are queued until all records are final."""
        node = self.nodes[daemon_id]
        if node.drain is None:
            node.drain = _DrainFuture()
            node.boxes["inbox"].force(events.FreezeBegan(node.drain))
            self.run_until_idle()

    def finish_drain(self, daemon_id, successor_id):
        """Hands off the records of a daemon to a successor and stops it."""
        node = self.nodes[daemon_id]
        successor = None
        if node.drain.done():
            for record_table in node.drain.record_tables:
                self._hand_off(record_table, self.nodes[successor_id])
            successor = self.vms[successor_id]
        node.boxes["inbox"].force(events.HandOffEnded(successor))
        self.run_until_idle()
        del self.nodes[daemon_id]
        self.publish_members()

    def _hand_off(self, record_table, node):
        copy = records.RecordTable(record_table.home, record_table.started_at_s)
        copy.adopted_at_s = self.clock.now_s()
        copy.raise_min_epoch(record_table.min_epoch)
        for scoped_key, record in record_table.records.items():
            copy.import_record(scoped_key, record)
        if record_table.is_closed:
            copy.close()
        node.boxes["inbox"].force(events.RecordTableAdopted(copy))

    def _step(self, node):
        has_progress = False
        for message in node.take_messages("inbox"):
            node.dispatcher.handle(message)
            has_progress = True
        for message in node.take_messages("back_ends"):
            if isinstance(message, messages.SendAttempt):
                self.open_attempts.append((node, message))
            has_progress = True
        for message in node.take_messages("peers"):
            self._forward(node, message)
            has_progress = True
        for message in node.take_messages("claims"):
            self._claim(node, message)
            has_progress = True
        node.take_messages("steward")
        return has_progress

    def _forward(self, node, message):
        for vm in message.candidates:
            target = self.nodes.get(vm.id)
            if target is None:
                continue
            if target.is_frozen:
                # A frozen peer gets the request, but does not respond.
                self._forward_to_frozen(target, message)
                return
            reply = _ForwardReply(node, message, self)
            target.boxes["inbox"].force(
                messages.RequestArrived(
                    message.request, reply, 0, True, message.claimed_home
                )
            )
            return
        self._forward_failed(node, message)

    def _forward_to_frozen(self, target, message):
        reply = _ForwardReply(None, message, self)
        target.boxes["inbox"].force(
            messages.RequestArrived(
                message.request, reply, 0, True, message.claimed_home
            )
        )

    def _forward_failed(self, node, message):
        outcome = exchange.Outcome(errors.ResultCode.HOME_UNREACHABLE)
        node.boxes["inbox"].force(
            messages.ForwardEnded(message.dispatch_id, outcome)
        )

    def _claim(self, node, message):
        if self.is_store_down:
            claimed = messages.ClaimEnded(message.dispatch_id, None, False)
        else:
            is_new = message.scoped_key not in self.claims
            home = self.claims.setdefault(message.scoped_key, node.home)
            claimed = messages.ClaimEnded(message.dispatch_id, home, is_new)
        node.boxes["inbox"].force(claimed)

    def _take_replies(self):
        ended = [
            m
            for m in self.replies._messages
            if isinstance(m, messages.RequestEnded)
        ]
        self.replies._messages.clear()
        return ended


class _DrainFuture:
    """Future of the record tables of a draining daemon."""

    __slots__ = ("record_tables",)

    def __init__(self):
        self.record_tables = None

    def done(self):
        return self.record_tables is not None

    def set_result(self, record_tables):
        self.record_tables = record_tables


class _ForwardReply:
    """Mailbox that returns the outcome at a peer to the forwarding daemon."""

    __slots__ = ("message", "node", "world")

    def __init__(self, node, message, world):
        self.node = node
        self.message = message
        self.world = world

    def force(self, ended):
        if self.node is None or not isinstance(ended, messages.RequestEnded):
            return
        outcome = ended.outcome
        if outcome.code is errors.ResultCode.HOME_REPLACED:
            remaining = self.message.candidates[1:]
            if remaining:
                self.message.candidates = remaining
                self.world._forward(self.node, self.message)
                return
        self.node.boxes["inbox"].force(
            messages.ForwardEnded(self.message.dispatch_id, outcome)
        )
