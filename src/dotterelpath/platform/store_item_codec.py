"""Decodes the items of the platform's store; encodes daemons' entries."""

from __future__ import annotations

import json
import re
import reprlib
import secrets
import typing

import orjson

from dotterelpath.domain import configuration
from dotterelpath.domain import registry
from dotterelpath.domain import steering
from dotterelpath.domain import tenants
from dotterelpath.platform import fields
from dotterelpath.platform import tenant_codec
from dotterelpath.ports import store
from dotterelpath.ports import store_items

CONFIGURATION_KEY = "op/config"
INSTANCE_PREFIX = "servers/"
DAEMON_PREFIX = "dotterelpath/daemons/"

# The size of the secret of the keys' digests, in bytes.
SECRET_BYTES = 32
MAX_INTEGER_DIGITS = 18

_VERSION_PATTERN = re.compile(r"r(\d{1,18})\Z")
_INSTANCE_ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,190}\Z")
_IS_DRAINING_BY_STATE = {"ready": False, "draining": True}
_KIND_BY_ROUTE_TYPE = {
    "idempotent": configuration.RequestKind.IDEMPOTENT,
    "non_idempotent": configuration.RequestKind.NON_IDEMPOTENT,
    "upload": configuration.RequestKind.UPLOAD,
    "download": configuration.RequestKind.DOWNLOAD,
}


class StoreItemCodec:
    """Speaks the platform's formats; see store_items.StoreItemCodec.

    Keeps the last table of tenants, whose digests the next one reuses.
    """

    __slots__ = ("_secret", "_tenants")

    def __init__(self) -> None:
        """Creates a codec with a new secret for the digests of keys."""
        self._secret = secrets.token_bytes(SECRET_BYTES)
        self._tenants: tenants.TenantTable | None = None

    @property
    def prefix(self) -> str:
        """The empty prefix: one watch covers all keys."""
        return ""

    def decode(self, item: store.VersionedValue) -> store_items.Item | None:
        """Decodes an item; see store_items.StoreItemCodec."""
        try:
            if item.key == CONFIGURATION_KEY:
                return self._decode_configuration(item)
            if item.key.startswith(INSTANCE_PREFIX):
                return _decode_instance(item)
            if item.key.startswith(DAEMON_PREFIX):
                return _decode_daemon(item)
        except ValueError as error:
            return store_items.InvalidItem(
                item.key, str(error), _instance_id(item)
            )
        return None

    def daemon_key(self, daemon_id: str) -> str:
        """Returns a daemon's key; see store_items.StoreItemCodec."""
        return DAEMON_PREFIX + daemon_id

    def encode_daemon(self, daemon: steering.Daemon) -> str:
        """Encodes a daemon's entry; see store_items.StoreItemCodec."""
        return orjson.dumps(
            {
                "data_centre": daemon.data_centre,
                "region": daemon.region,
                "front": f"{daemon.caller_host}:{daemon.caller_port}",
                "peer": f"{daemon.peer_host}:{daemon.peer_port}",
                "cores": daemon.resources.cores,
                "link_mbps": daemon.resources.link_mbps,
            }
        ).decode()

    def _decode_configuration(
        self, item: store.VersionedValue
    ) -> store_items.Item:
        if item.value is None:
            raise fields.FieldError("the configuration was deleted")
        data = fields.check_object(
            _load_configuration(item.value), "the configuration"
        )
        services = _decode_services(data)
        routes, unknown_request_kinds = _decode_routes(data, services)
        version = _decode_version(data)
        limits = fields.check_object(data.get("limits"), "limits")
        table, faults = self._decode_tenants(data)
        return store_items.ConfigurationItem(
            configuration.Configuration(
                version, services, routes, _decode_limits(limits), table
            ),
            unknown_request_kinds,
            faults,
        )

    def _decode_tenants(
        self, data: dict[str, typing.Any]
    ) -> tuple[tenants.TenantTable | None, list[str]]:
        """Decodes the tenants; none are listed if requests need no key."""
        rows = data.get("tenants")
        if rows is None or rows == []:
            return None, []
        decoded = tenant_codec.decode(rows, self._tenants)
        table = tenants.TenantTable(
            decoded.changed.values(),
            self._secret,
            self._tenants,
            decoded.unchanged,
        )
        self._tenants = table
        faults = decoded.faults + [
            f"tenants {reprlib.repr(names)} list the same key"
            for names in table.shared_by
        ]
        return table, faults


def _instance_id(item: store.VersionedValue) -> str | None:
    if item.key.startswith(INSTANCE_PREFIX):
        return item.key[len(INSTANCE_PREFIX) :]
    return None


def _decode_instance(item: store.VersionedValue) -> store_items.Item:
    instance_id = item.key[len(INSTANCE_PREFIX) :]
    if item.value is None:
        return store_items.InstanceItem(instance_id, None)
    if not _INSTANCE_ID_PATTERN.match(instance_id):
        # The id is sent in a header, so other characters are refused.
        raise fields.FieldError(
            "the id is not 1 to 190 characters out of A-Z a-z 0-9 . _ : -"
        )
    data = fields.check_object(orjson.loads(item.value), "the entry")
    state = fields.get_string(data, "state")
    if state not in _IS_DRAINING_BY_STATE:
        raise fields.FieldError(
            f"the state is {reprlib.repr(state)}, not ready or draining"
        )
    host, port = fields.parse_endpoint(
        fields.get_string(data, "address"), "address"
    )
    # Required by the format, but not used.
    fields.get_string(data, "version")
    slots = fields.get_integer(data, "capacity")
    if slots < 1:
        raise fields.FieldError("capacity is less than 1")
    return store_items.InstanceItem(
        instance_id,
        registry.Entry(
            instance_id,
            fields.get_string(data, "service"),
            host,
            port,
            fields.get_string(data, "zone"),
            slots,
            _IS_DRAINING_BY_STATE[state],
            fields.get_number(data, "warmup_left_s"),
            fields.get_integer(data, "sequence"),
            # The instance's start, in milliseconds since 1970; 0 if unknown.
            fields.get_integer(data, "born") if "born" in data else 0,
        ),
    )


def _decode_daemon(item: store.VersionedValue) -> store_items.Item:
    daemon_id = item.key[len(DAEMON_PREFIX) :]
    if item.value is None:
        return store_items.DaemonItem(daemon_id, None)
    data = fields.check_object(orjson.loads(item.value), "the entry")
    front = fields.parse_endpoint(fields.get_string(data, "front"), "front")
    peer = fields.parse_endpoint(fields.get_string(data, "peer"), "peer")
    daemon = steering.Daemon(
        daemon_id,
        fields.get_string(data, "data_centre"),
        fields.get_string(data, "region"),
        *front,
        *peer,
        steering.Resources(
            fields.get_number(data, "cores"),
            fields.get_number(data, "link_mbps"),
        ),
    )
    return store_items.DaemonItem(daemon_id, daemon)


def _load_configuration(text: str) -> typing.Any:
    """Parses JSON, in which numbers may be infinite or no numbers.

    JSON has no such numbers, but common encoders write them. Only the part that
    has one must be refused, as it would be for a number out of range.
    """
    try:
        return orjson.loads(text)
    except orjson.JSONDecodeError as original_error:
        try:
            data = json.loads(text, parse_int=_parse_integer)
            # Refuses strings that cannot be encoded.
            orjson.dumps(data)
        except json.JSONDecodeError:
            raise original_error from None
        except (RecursionError, orjson.JSONEncodeError) as error:
            raise fields.FieldError(f"the JSON is unusable: {error}") from None
        return data


def _parse_integer(text: str) -> int:
    # The faster parser refuses longer integers, too.
    if len(text) > MAX_INTEGER_DIGITS:
        raise fields.FieldError("an integer is too long")
    return int(text)


def _decode_version(data: dict[str, typing.Any]) -> int:
    text = fields.get_string(data, "version")
    version = _VERSION_PATTERN.match(text)
    if version is None:
        raise fields.FieldError(
            f"the version is {reprlib.repr(text)}, not r and 1 to 18 digits"
        )
    return int(version.group(1))


def _decode_services(
    data: dict[str, typing.Any],
) -> dict[str, configuration.Service]:
    services = {}
    for row in fields.get_list(data, "services"):
        service = fields.check_object(row, "a service")
        name = fields.get_string(service, "name")
        services[name] = configuration.Service(
            name, fields.get_integer(service, "max_connections")
        )
    return services


def _decode_routes(
    data: dict[str, typing.Any], services: dict[str, configuration.Service]
) -> tuple[list[configuration.Route], dict[str, str]]:
    """Decodes the routes, and the unknown types by the name of their route."""
    routes = []
    unknown_request_kinds = {}
    for row in fields.get_list(data, "hosts"):
        host_data = fields.check_object(row, "a host")
        for rule in fields.get_list(host_data, "path_rules"):
            route_data = fields.check_object(rule, "a route")
            route = _decode_route(
                fields.get_string(host_data, "host"), route_data, services
            )
            routes.append(route)
            route_type = fields.get_string(route_data, "route_type")
            if route_type not in _KIND_BY_ROUTE_TYPE:
                unknown_request_kinds[route.name] = reprlib.repr(route_type)
    return routes, unknown_request_kinds


def _decode_limits(data: dict[str, typing.Any]) -> configuration.CallerLimits:
    return configuration.CallerLimits(
        fields.get_integer(data, "max_header_bytes"),
        fields.get_integer(data, "max_body_bytes"),
        # The time for the complete head, not for each header.
        fields.get_number(data, "header_timeout_s"),
        fields.get_number(data, "idle_timeout_s"),
    )


def _decode_route(
    host: str,
    data: dict[str, typing.Any],
    services: dict[str, configuration.Service],
) -> configuration.Route:
    prefix = fields.get_string(data, "prefix")
    if not prefix.startswith("/") or not prefix.endswith("/"):
        raise fields.FieldError(
            f"the prefix {prefix!r} does not start and end with /"
        )
    max_attempts = fields.get_integer(data, "max_attempts")
    if max_attempts < 1:
        raise fields.FieldError("max_attempts is less than 1")
    return configuration.Route(
        fields.get_string(data, "name"),
        host.lower(),
        prefix,
        _decode_targets(data, services),
        # Requests of an unknown type run at most once, which is safe for all.
        _KIND_BY_ROUTE_TYPE.get(
            fields.get_string(data, "route_type"),
            configuration.RequestKind.NON_IDEMPOTENT,
        ),
        max_attempts,
        fields.get_number(data, "timeout_s"),
        fields.get_number(data, "target_latency_s"),
        fields.get_integer(data, "priority"),
        # Any other value than true needs a key, which is safe for all.
        data.get("auth_exempt") is True,
    )


def _decode_targets(
    data: dict[str, typing.Any], services: dict[str, configuration.Service]
) -> tuple[configuration.RouteTarget, ...]:
    if data.get("traffic_split"):
        entries = [
            fields.check_object(row, "an entry of traffic_split")
            for row in fields.get_list(data, "traffic_split")
        ]
        targets = [
            configuration.RouteTarget(
                fields.get_string(target, "service"),
                fields.get_number(target, "weight"),
            )
            for target in entries
        ]
    else:
        targets = [
            configuration.RouteTarget(fields.get_string(data, "service"), 1.0)
        ]
    for target in targets:
        if target.service not in services:
            raise fields.FieldError(
                f"the service {target.service!r} is not configured"
            )
    weighted = tuple(target for target in targets if target.weight > 0.0)
    if not weighted:
        raise fields.FieldError(
            "no entry of traffic_split has a weight above 0"
        )
    return weighted
