"""Daemons' decisions without sockets, before backend servers that log runs."""

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
    """A clock that moves only when it is told to."""

    __slots__ = ("time_s",)

    def __init__(self):
        self.time_s = 1000.0

    def now_s(self):
        return self.time_s

    def wall_s(self):
        return self.time_s


class FakeTimers:
    """Due times without an event loop."""

    __slots__ = ("heap", "order")

    def __init__(self):
        self.heap = []
        self.order = 0

    def add(self, due_s, item):
        self.order += 1
        heapq.heappush(self.heap, (due_s, self.order, item))

    def pop_due(self, now_s):
        found = []
        while self.heap and self.heap[0][0] <= now_s:
            found.append(heapq.heappop(self.heap)[2])
        return found


class NoMetrics:
    """Takes in measurements and forgets them."""

    __slots__ = ()

    def record_request(self, *args):
        pass

    def record_retry(self, *args):
        pass

    def set_avoided_count(self, *args):
        pass

    def set_ejected_count(self, *args):
        pass


class Node:
    """One daemon's dispatcher with its mailboxes."""

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

    def take(self, name):
        """Takes all messages out of a mailbox."""
        box = self.boxes[name]._messages
        taken = list(box)
        box.clear()
        return taken


class World:
    """A fleet whose network, store and backend servers the test drives."""

    __slots__ = (
        "claims",
        "clock",
        "incarnations",
        "late",
        "nodes",
        "open_attempts",
        "replies",
        "responses",
        "runs",
        "store_down",
        "tokens",
        "told",
    )

    def __init__(self, daemons=3, instances=3):
        logs.configure("error")
        self.clock = FakeClock()
        self.incarnations = 0
        self.nodes = {}
        self.store_down = False
        self.claims = {}
        self.runs = collections.defaultdict(list)
        self.told = []
        self.responses = {}
        self.tokens = {}
        self.open_attempts = []
        self.late = []
        self.replies = mailbox.Mailbox("callers", 10**9)
        self.vm_table(daemons, instances)
        for number in range(daemons):
            self.start(f"d{number}")

    def vm_table(self, daemons, instances):
        self.responses["vms"] = {
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
        """Starts a new life of a daemon."""
        self.incarnations += 1
        home = keys.Home(daemon_id, f"{self.incarnations:x}")
        node = self.nodes[daemon_id] = Node(self, home)
        handle = node.dispatcher.handle
        handle(
            events.VmsChanged(
                vms.VmTable.from_vms(self.responses["vms"].values())
            )
        )
        service = document.Service(SERVICE, 1, refusal_header=REFUSAL, slots=50)
        route = document.Route(SERVICE, "/", frozenset(), timeout_s=5.0)
        section = document.Section("s", ("0" * 64,), (service,), (route,), ())
        handle(events.DocumentChanged(document.Document(1, (section,))))
        self.tell_members()
        return node

    def tell_members(self):
        live = sorted(self.nodes)
        adopters = {
            home: node.home.daemon_id
            for node in self.nodes.values()
            for home in node.dispatcher.record_tables.adopted
        }
        places = {
            daemon_id: "abc"[int(daemon_id[1:]) % 3] for daemon_id in live
        }
        for node in self.nodes.values():
            node.dispatcher.handle(
                events.MembersChanged(live, places, adopters)
            )

    def prefix(self, daemon_id):
        node = self.nodes[daemon_id]
        started_s = node.dispatcher.record_tables.own.started_at_s
        return keys.issue_prefix(node.home, self.clock.now_s() - started_s)

    def send(self, daemon_id, key, attempt=1, body=b"b", method="POST"):
        """A caller's request arrives at a daemon."""
        token = len(self.tokens) + 1
        self.tokens[token] = (key, attempt, body)
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

    def settle(self):
        """Delivers messages until nothing moves but open tries."""
        moved = True
        while moved:
            moved = False
            for node in list(self.nodes.values()):
                if not node.is_frozen:
                    moved |= self._step(node)
        for message in self._take_replies():
            key, attempt, body = self.tokens[message.token]
            self.told.append((message.token, key, attempt, message.outcome))

    def outcome(self, token):
        """Finds what a caller was told."""
        for told_token, _, _, outcome in self.told:
            if told_token == token:
                return outcome
        return None

    def run_attempt(self, index, how="answered"):
        """Lets a backend server handle an open try in some way."""
        node, send = self.open_attempts.pop(index % len(self.open_attempts))
        request = send.request
        end = attempts.AttemptResult.ANSWERED
        response = exchange.Response(200, [], request.body)
        if how in ("answered", "lost", "late"):
            self.runs[request.key].append(request.attempt)
        if how == "refused":
            response = exchange.Response(503, [(REFUSAL.encode(), b"1")], b"")
        elif how in ("lost", "broken"):
            end, response = attempts.AttemptResult.BROKEN, None
        elif how == "unreachable":
            end, response = attempts.AttemptResult.UNREACHABLE, None
        ended = messages.AttemptEnded(send.attempt_id, end, how, response)
        if how == "late":
            self.late.append((node, ended))
        else:
            node.boxes["inbox"].force(ended)

    def deliver_late(self):
        """Delivers answers that were held back."""
        for node, message in self.late:
            node.boxes["inbox"].force(message)
        self.late.clear()

    def kill(self, daemon_id):
        """A daemon dies; what its backend servers got may still run."""
        self.nodes.pop(daemon_id)

    def advance(self, seconds):
        """Time passes."""
        self.clock.time_s += seconds
        for node in self.nodes.values():
            node.boxes["inbox"].force(messages.Tick())

    def begin_drain(self, daemon_id):
        """A daemon holds back new keys until its records are final."""
        node = self.nodes[daemon_id]
        if node.drain is None:
            node.drain = _RecordTables()
            node.boxes["inbox"].force(events.FreezeBegan(node.drain))
            self.settle()

    def finish_drain(self, daemon_id, successor_id):
        """The daemon hands its records to a successor and stops."""
        node = self.nodes[daemon_id]
        successor = None
        if node.drain.done():
            for record_table in node.drain.record_tables:
                self._hand_off(record_table, self.nodes[successor_id])
            successor = self.responses["vms"][successor_id]
        node.boxes["inbox"].force(events.HandOffEnded(successor))
        self.settle()
        del self.nodes[daemon_id]
        self.tell_members()

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
        moved = False
        for message in node.take("inbox"):
            node.dispatcher.handle(message)
            moved = True
        for message in node.take("back_ends"):
            if isinstance(message, messages.SendAttempt):
                self.open_attempts.append((node, message))
            moved = True
        for message in node.take("peers"):
            self._forward(node, message)
            moved = True
        for message in node.take("claims"):
            self._claim(node, message)
            moved = True
        node.take("steward")
        return moved

    def _forward(self, node, message):
        for vm in message.candidates:
            target = self.nodes.get(vm.id)
            if target is None:
                continue
            if target.is_frozen:
                # The peer may have it and is silent until the deadline.
                self._hold(target, message)
                return
            relay = _Relay(node, message, self)
            target.boxes["inbox"].force(
                messages.RequestArrived(
                    message.request, relay, 0, True, message.claimed_home
                )
            )
            return
        self._forward_failed(node, message)

    def _hold(self, target, message):
        relay = _Relay(None, message, self)
        target.boxes["inbox"].force(
            messages.RequestArrived(
                message.request, relay, 0, True, message.claimed_home
            )
        )

    def _forward_failed(self, node, message):
        outcome = exchange.Outcome(errors.ResultCode.HOME_UNREACHABLE)
        node.boxes["inbox"].force(
            messages.ForwardEnded(message.dispatch_id, outcome)
        )

    def _claim(self, node, message):
        if self.store_down:
            claimed = messages.ClaimEnded(message.dispatch_id, None, False)
        else:
            is_new = message.scoped_key not in self.claims
            home = self.claims.setdefault(message.scoped_key, node.home)
            claimed = messages.ClaimEnded(message.dispatch_id, home, is_new)
        node.boxes["inbox"].force(claimed)

    def _take_replies(self):
        taken = [
            m
            for m in self.replies._messages
            if isinstance(m, messages.RequestEnded)
        ]
        self.replies._messages.clear()
        return taken


class _RecordTables:
    """Waits for the record tables of a stopping daemon, with no event loop."""

    __slots__ = ("record_tables",)

    def __init__(self):
        self.record_tables = None

    def done(self):
        return self.record_tables is not None

    def set_result(self, record_tables):
        self.record_tables = record_tables


class _Relay:
    """The mailbox of a peer's API: passes an outcome back to the asker."""

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
            rest = self.message.candidates[1:]
            if rest:
                self.message.candidates = rest
                self.world._forward(self.node, self.message)
                return
        self.node.boxes["inbox"].force(
            messages.ForwardEnded(self.message.dispatch_id, outcome)
        )
