"""A fleet of gateways and peer monitors, without sockets, with its callers."""

from __future__ import annotations

import math
import random

import orjson

from dotterelpath.adapters import datagrams as datagram_codec
from dotterelpath.domain import configuration
from dotterelpath.domain import fleet_view
from dotterelpath.domain import steering
from dotterelpath.tasks import fleet_events
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import peer_monitor
from features.support import deployments
from features.support import gateway_world

STEP_S = 0.02
# How long callers keep a response to an address query, in seconds.
CALLER_TTL_S = 1.0
# Within this time a limit that nobody holds is held again, in seconds.
TAKE_OVER_S = 4.0
LINK_MBPS = 5.0
REGION = "r"


class Member:
    """A daemon: its gateway with simulated instances, and its monitor."""

    def __init__(self, fleet, number, data_centre, instances):
        self.id = f"d{number}"
        self.number = number
        self.data_centre = data_centre
        self.sent_bytes = 0
        self.requested_s = -math.inf
        self.is_dead = False
        self.world = gateway_world.GatewayWorld(
            [gateway_world.route("/w/")],
            len(instances),
            work_s=0.1,
            seed=number,
            data_centre=data_centre,
        )
        for instance_id, place in instances.items():
            copy = self.world.instances[instance_id]
            copy.data_centre = place
            copy.arrivals = Arrivals(fleet, self, instance_id)
        self.world.list_all()
        self.gateway_inbox = mailbox.Mailbox("gateway", 10**6)
        self.monitor = peer_monitor.PeerMonitor(
            deployments.make(
                self.id,
                data_centre,
                number,
                steering.Resources(1.0, LINK_MBPS),
            ),
            self.world.clock,
            lambda: 0.0,
            lambda: self.sent_bytes,
            mailbox.Mailbox("monitor"),
            self.gateway_inbox,
            mailbox.Mailbox("store", 10**6),
        )
        self.monitor.connect(Network(fleet, number))

    def move_messages(self):
        """Passes messages between the gateway and the monitor."""
        while (message := self.world.neighbours.poll()) is not None:
            self.monitor.handle(message)
        while (message := self.gateway_inbox.poll()) is not None:
            self.world.gateway.handle(message)


class Arrivals:
    """Collects the requests of all daemons to one instance."""

    def __init__(self, fleet, member, instance_id):
        self._fleet = fleet
        self._member = member
        self._instance_id = instance_id

    def append(self, arrival):
        at_s, _ = arrival
        self._fleet.arrivals.setdefault(self._instance_id, []).append(
            (at_s, self._member)
        )


class Network:
    """Delivers the datagrams of one daemon in the next step."""

    def __init__(self, fleet, sender_port):
        self._fleet = fleet
        self._sender_port = sender_port

    def send(self, host, port, datagram):
        data = orjson.dumps(datagram_codec.encode(datagram))
        self._fleet.in_transit.append((port, self._sender_port, data))


class SteeredFleet:
    """Daemons in data centres, callers of some of them, and instances.

    Must run inside an event loop, whose timers are never reached: the fleet
    ticks the monitors itself.
    """

    def __init__(self, data_centres, instances, seed=1):
        """Creates a fleet.

        Args:
            data_centres: The data centre of each daemon.
            instances: The data centre of each instance, by id.
            seed: The seed of the callers.
        """
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.arrivals = {}
        self.in_transit = []
        self.members = [
            Member(self, number, place, instances)
            for number, place in enumerate(data_centres)
        ]
        daemons = {
            m.id: steering.Daemon(
                m.id,
                m.data_centre,
                REGION,
                "h",
                m.number,
                "h",
                m.number,
                steering.Resources(1.0, LINK_MBPS),
            )
            for m in self.members
        }
        in_force = configuration.Configuration(1, {}, [], gateway_world.LIMITS)
        for member in self.members:
            member.monitor.handle(fleet_events.RegistryChanged({}))
            member.monitor.handle(fleet_events.ConfigurationChanged(in_force))
            member.monitor.handle(fleet_events.DaemonsChanged(daemons))
        self.addresses = {}
        self.loads = {}

    def load(self, data_centre, rate_per_s, response_bytes):
        """Lets callers of a data centre send requests from now on."""
        self.loads[data_centre] = (rate_per_s, response_bytes)

    def name_limit(self, instance_id, text):
        """Lets an instance name a limit, or none."""
        for member in self.members:
            member.world.instances[instance_id].named_limit = text

    def run(self, end_s):
        """Runs up to a time in seconds from the start."""
        while self.now_s < end_s:
            self.now_s += STEP_S
            alive = [m for m in self.members if not m.is_dead]
            for member in alive:
                member.world.run(self.now_s)
                member.world.clock.time_s = 1000.0 + self.now_s
            self._deliver()
            if self.now_s % fleet_view.PING_S < STEP_S:
                for member in alive:
                    member.monitor.on_tick()
            for data_centre, (rate_per_s, size) in self.loads.items():
                if self.random.random() < rate_per_s * STEP_S:
                    self._send_request(data_centre, size)
            for member in alive:
                member.move_messages()

    def holders(self, instance_id):
        """Returns the daemons with callers that hold an instance's limit.

        None if no daemon with callers knows the limit.
        """
        now_s = 1000.0 + self.now_s
        known = []
        for member in self.members:
            state = member.world.gateway.services[gateway_world.SERVICE]
            limit = state.balancer.instances[instance_id].request_limit
            has_callers = member.requested_s >= self.now_s - CALLER_TTL_S
            if has_callers and not member.is_dead and limit is not None:
                known.append((member, limit))
        if not known:
            return None
        return [member for member, limit in known if limit.is_held(now_s)]

    def _deliver(self):
        arrived, self.in_transit = self.in_transit, []
        for port, sender_port, data in arrived:
            member = self.members[port]
            if not member.is_dead:
                datagram = datagram_codec.decode(orjson.loads(data))
                member.monitor.on_datagram("h", sender_port, datagram)

    def _send_request(self, data_centre, response_bytes):
        alive = [m for m in self.members if not m.is_dead]
        near = [m for m in alive if m.data_centre == data_centre] or alive
        found, until_s = self.addresses.get(data_centre, ((), -1.0))
        if self.now_s >= until_s:
            asked = self.random.choice(near).monitor
            found = asked.resolve("h", data_centre, REGION).endpoints
            self.addresses[data_centre] = found, self.now_s + CALLER_TTL_S
        found = [e for e in found if not self.members[e.port].is_dead]
        if not found:
            return
        member = self.members[self.random.choice(found).port]
        member.requested_s = self.now_s
        member.sent_bytes += response_bytes
        member.world.send_request("/w/1", 4.0)

    def told_arrivals(self, instance_id):
        """Returns when an instance got requests from daemons that know more.

        Requests of a daemon count from half a second after its first one.
        """
        told_s = {}
        found = []
        for at_s, member in self.arrivals.get(instance_id, []):
            is_told = at_s - told_s.setdefault(member, at_s) >= 0.5
            if is_told:
                found.append(at_s)
        return found

    def forget_arrivals(self):
        """Counts arrivals from now on."""
        self.arrivals = {}
