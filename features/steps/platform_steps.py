"""Steps on reading the platform's data and on where its names appear."""

from __future__ import annotations

import contextlib
import copy
import json
import pathlib
import re

import behave
import hypothesis
from hypothesis import strategies

from dotterelpath.platform import fields
from dotterelpath.platform import settings
from dotterelpath.platform import store_item_codec
from dotterelpath.ports import store
from dotterelpath.ports import store_items

SOURCES = pathlib.Path(__file__).parents[2] / "src" / "dotterelpath"
PLATFORM_NAMES = re.compile(
    r"kv-(key|range|watch|txn|lease|keep)|\"op/|\"servers/|path_rules"
    r"|route_type|traffic_split|[Nn]ot-[Ee]xecuted|[Tt]arget-[Ii]nstance"
    r"|[Rr]esponse-[Ss]ignature|ttl_s_time|DOTTERELPATH_CONFIG"
    r"|[Tt]enant-[Ii]d|api_keys|\"auth_exempt\"|strict_revoke"
)


ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "capacity": 4,
    "state": "ready",
    "warmup_left_s": 0,
    "sequence": 1,
    "born": 1,
}
CONFIGURATION = {
    "version": "r1",
    "services": [{"name": "s", "max_connections": 9}],
    "limits": {
        "max_header_bytes": 1,
        "max_body_bytes": 1,
        "header_timeout_s": 1,
        "idle_timeout_s": 1,
    },
    "hosts": [
        {
            "host": "h",
            "path_rules": [
                {
                    "name": "r",
                    "prefix": "/x/",
                    "route_type": "idempotent",
                    "timeout_s": 1,
                    "target_latency_s": 1,
                    "priority": 0,
                    "max_attempts": 1,
                    "service": "s",
                    "traffic_split": [{"service": "s", "weight": 1}],
                    "auth_exempt": False,
                }
            ],
        }
    ],
    "tenants": [
        {
            "name": "t",
            "api_keys": ["k"],
            "priority": 0,
            "rate_per_s": 1,
            "burst": 1,
        }
    ],
}
SETTINGS = {
    "node_name": "g1",
    "ip": "127.0.0.1",
    "zone": "a",
    "region": "r",
    "zones": {"a": "r"},
    "listen": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"},
    "port_range": [3, 4],
    "limits": {
        "cpu_share": 0.9,
        "cores": 1,
        "memory_mb": 300,
        "link_mbps": 100,
    },
    "bounds": ["true_or_false=true", "drain_s=2", "strict_revoke=false"],
    "platform": {
        "address": "127.0.0.1:5",
        "reads_per_s": 100,
        "writes_per_s": 10,
    },
}
ODD_VALUES = strategies.sampled_from(
    [None, True, -1, 1.5, 10**400, "", "\ud800", "x" * 300, [], [None], {}]
)


def places(data, path=()):
    """Lists the paths to all parts of a JSON value."""
    found = [path]
    items = []
    if isinstance(data, dict):
        items = data.items()
    elif isinstance(data, list):
        items = enumerate(data)
    for key, value in items:
        found += places(value, (*path, key))
    return found


def replaced(data, path, value):
    """Copies a JSON value with one of its parts replaced."""
    if not path:
        return value
    copied = copy.copy(data)
    copied[path[0]] = replaced(data[path[0]], path[1:], value)
    return copied


def decode(key, data):
    """Decodes an item of the store."""
    return decode_text(key, json.dumps(data))


def decode_text(key, text):
    """Decodes an item of the store, given as text."""
    return store_item_codec.StoreItemCodec().decode(
        store.VersionedValue(key, text, 1)
    )


@behave.when(
    "each part of a configuration, an entry and the settings is odd in turn"
)
def step_odd_parts(context):
    context.odd_count = 0
    for path in places(CONFIGURATION):
        check_odd(context, decode_configuration, CONFIGURATION, path)
    for path in places(ENTRY):
        check_odd(context, decode_entry, ENTRY, path)
    for path in places(SETTINGS):
        check_odd(context, parse_settings, SETTINGS, path)


def check_odd(context, decode_data, data, path):
    """Decodes data with values of other types and sizes at one place."""

    @hypothesis.settings(max_examples=12, derandomize=True, database=None)
    @hypothesis.given(ODD_VALUES)
    def decodes(value):
        decode_data(replaced(data, path, value))
        context.odd_count += 1

    decodes()


def decode_configuration(data):
    item = decode(store_item_codec.CONFIGURATION_KEY, data)
    assert isinstance(
        item, store_items.ConfigurationItem | store_items.InvalidItem
    ), item


def decode_entry(data):
    item = decode(store_item_codec.INSTANCE_PREFIX + "i-1", data)
    assert isinstance(
        item, store_items.InstanceItem | store_items.InvalidItem
    ), item


def parse_settings(data):
    with contextlib.suppress(fields.FieldError):
        settings.parse(json.dumps(data).encode())


@behave.then("each of them is used or refused with a reason")
def step_odd_parts_decoded(context):
    assert context.odd_count > 300, context.odd_count


@behave.then("it is in force, and the requests of its route run at most once")
def step_unknown_kind(context):
    item = context.item
    assert isinstance(item, store_items.ConfigurationItem), item
    assert item.unknown_request_kinds == {"r": "'maybe'"}
    (route,) = item.configuration.routes
    assert not route.is_idempotent


@behave.when("an entry has {fault}")
def step_entry_fault(context, fault):
    changed = {
        "no service": {"service": None},
        "no capacity": {"capacity": None},
        "a text for capacity": {"capacity": "4"},
        "an unknown state": {"state": "asleep"},
        "no port": {"address": "10.0.0.1"},
        "a fraction for born": {"born": 1.5},
    }.get(fault)
    text = "\ufffd{" if changed is None else json.dumps({**ENTRY, **changed})
    key = store_item_codec.INSTANCE_PREFIX + "i-1"
    context.item = store_item_codec.StoreItemCodec().decode(
        store.VersionedValue(key, text, 1)
    )


@behave.then("it is invalid and has the instance's id")
def step_entry_invalid(context):
    assert isinstance(context.item, store_items.InvalidItem), context.item
    assert context.item.instance_id == "i-1"


@behave.when("a configuration has {fault}")
def step_configuration_fault(context, fault):
    data = copy.deepcopy(CONFIGURATION)
    rule = data["hosts"][0]["path_rules"][0]
    del rule["traffic_split"]
    config_key = store_item_codec.CONFIGURATION_KEY
    valid = store_item_codec.StoreItemCodec().decode(
        store.VersionedValue(config_key, json.dumps(data), 1)
    )
    assert isinstance(valid, store_items.ConfigurationItem), valid
    rule.update(
        {
            "an unknown service": {"service": "t"},
            "a bare prefix": {"prefix": "/x"},
            "no weight": {"traffic_split": [{"service": "s", "weight": 0}]},
            "an unknown kind": {"route_type": "maybe"},
        }.get(fault, {})
    )
    if fault == "no version":
        del data["version"]
    text = json.dumps(data)
    if fault == "been truncated":
        text = text[: len(text) // 2]
    context.item = store_item_codec.StoreItemCodec().decode(
        store.VersionedValue(config_key, text, 1)
    )


@behave.then("it is refused with a reason")
def step_configuration_refused(context):
    assert isinstance(context.item, store_items.InvalidItem), context.item
    assert context.item.reason


@behave.then("no source outside platform/ contains its fields, headers or keys")
def step_platform_names(context):
    found = [
        f"{path.name}: {match[0]}"
        for path in SOURCES.rglob("*.py")
        if "platform" not in path.parts
        for match in PLATFORM_NAMES.finditer(path.read_text())
    ]
    assert not found, found


@behave.when("the settings have {bound}")
def step_settings(context, bound):
    data = copy.deepcopy(SETTINGS)
    settings.parse(json.dumps(data).encode())
    data["bounds"].append(bound)
    try:
        settings.parse(json.dumps(data).encode())
    except fields.FieldError as error:
        context.reason = str(error)


@behave.then("they are refused with an error that names {name}")
def step_settings_refused(context, name):
    assert name in context.reason, context.reason
