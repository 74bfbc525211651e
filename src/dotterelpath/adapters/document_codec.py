"""Parses sections from TOML; encodes heads and ledgers as JSON."""

from __future__ import annotations

import tomllib
import typing

import jsonschema
import orjson

from dotterelpath import errors
from dotterelpath.domain import document
from dotterelpath.domain import ledger

MAX_SECTION_BYTES = 900_000
MAX_TIMEOUT_MS = 600_000

_NAME = {"type": "string", "pattern": "^[A-Za-z0-9][A-Za-z0-9_-]{0,63}$"}
_SCHEMA: dict[str, typing.Any] = {
    "type": "object",
    "additionalProperties": False,
    "required": ["owners", "service"],
    "properties": {
        "owners": {
            "type": "array",
            "minItems": 1,
            "items": {"type": "string", "pattern": "^[0-9a-f]{64}$"},
        },
        "service": {
            "type": "array",
            "items": {
                "type": "object",
                "additionalProperties": False,
                "required": ["name", "floor"],
                "properties": {
                    "name": _NAME,
                    "floor": {"type": "integer", "minimum": 1},
                    "slots": {
                        "type": "integer",
                        "minimum": 1,
                        "maximum": 10000,
                    },
                    "weigh": {
                        "enum": [w.value for w in document.EjectionPolicy]
                    },
                    "refusal_header": {
                        "type": "string",
                        "pattern": "^[A-Za-z0-9-]{1,64}$",
                    },
                },
            },
        },
        "route": {
            "type": "array",
            "items": {
                "type": "object",
                "additionalProperties": False,
                "required": ["service", "prefix"],
                "properties": {
                    "service": _NAME,
                    "prefix": {
                        "type": "string",
                        "pattern": "^/[!-~]{0,255}$",
                    },
                    "methods": {
                        "type": "array",
                        "minItems": 1,
                        "items": {
                            "type": "string",
                            "pattern": "^[A-Z]{1,16}$",
                        },
                    },
                    "idempotent": {"type": "boolean"},
                    "class": {"enum": [c.value for c in document.TrafficClass]},
                    "timeout_ms": {
                        "type": "integer",
                        "minimum": 1,
                        "maximum": MAX_TIMEOUT_MS,
                    },
                },
            },
        },
        "workspaces": {
            "type": "object",
            "propertyNames": {"pattern": "^[!-~]{1,100}$"},
            "additionalProperties": {
                "type": "object",
                "additionalProperties": False,
                "required": ["concurrency"],
                "properties": {
                    "concurrency": {"type": "integer", "minimum": 0},
                },
            },
        },
    },
}
_validator = jsonschema.Draft202012Validator(_SCHEMA)


class DocumentCodec:
    """Uses TOML for sections and JSON for the rest.

    See the port document_codec.DocumentCodec.
    """

    __slots__ = ()

    def parse_section(self, name: str, text: str) -> document.Section:
        """Parses a section; see document_codec.DocumentCodec."""
        _check_name(name)
        if len(text.encode()) > MAX_SECTION_BYTES:
            raise errors.DotterelpathError(
                errors.ResultCode.SECTION_TOO_LARGE,
                f"section {name} is longer than {MAX_SECTION_BYTES} bytes",
            )
        try:
            data = tomllib.loads(text)
        except tomllib.TOMLDecodeError as error:
            raise errors.DotterelpathError(
                errors.ResultCode.SECTION_SYNTAX, f"section {name}: {error}"
            ) from error
        violation = jsonschema.exceptions.best_match(
            _validator.iter_errors(data)
        )
        if violation is not None:
            raise errors.DotterelpathError(
                errors.ResultCode.SECTION_SCHEMA,
                f"section {name}: {_format_path(violation)}:"
                f" {violation.message}",
            )
        return _section_from_toml(name, data)

    def encode_head(self, head: document.Head) -> str:
        """Encodes a head; see document_codec.DocumentCodec."""
        return orjson.dumps(
            {
                "version": head.version,
                "sections": head.digests,
                "recent_edits": head.recent_edits,
            }
        ).decode()

    def decode_head(self, text: str) -> document.Head:
        """Decodes a head; see document_codec.DocumentCodec."""
        data = orjson.loads(text)
        try:
            return document.Head(
                int(data["version"]),
                {str(k): str(v) for k, v in data["sections"].items()},
                tuple(str(edit) for edit in data["recent_edits"]),
            )
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"malformed head: {error!r}") from error

    def encode_ledger(self, value: ledger.Ledger) -> str:
        """Encodes a ledger; see document_codec.DocumentCodec."""
        return orjson.dumps(
            {
                instance: {
                    "standing": entry.state.value,
                    "changed_s": entry.changed_s,
                    "strikes": entry.ejection_count,
                }
                for instance, entry in value.entries.items()
            }
        ).decode()

    def decode_ledger(
        self, service: str, text: str, revision: int
    ) -> ledger.Ledger:
        """Decodes a ledger; see document_codec.DocumentCodec."""
        data = orjson.loads(text)
        try:
            entries = {
                str(instance): ledger.Ejection(
                    ledger.EjectionState(entry["standing"]),
                    float(entry["changed_s"]),
                    int(entry["strikes"]),
                )
                for instance, entry in data.items()
            }
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"malformed ledger: {error!r}") from error
        return ledger.Ledger(service, revision, entries)


def _check_name(name: str) -> None:
    try:
        jsonschema.validate(name, _NAME)
    except jsonschema.ValidationError as error:
        raise errors.DotterelpathError(
            errors.ResultCode.SECTION_SCHEMA,
            f"section name {name!r}: {error.message}",
        ) from error


def _format_path(violation: jsonschema.ValidationError) -> str:
    path = ""
    for part in violation.absolute_path:
        path += f"[{part}]" if isinstance(part, int) else f".{part}"
    return path.lstrip(".") or "top level"


def _section_from_toml(
    name: str, data: dict[str, typing.Any]
) -> document.Section:
    workspaces = data.get("workspaces", {})
    return document.Section(
        name,
        tuple(data["owners"]),
        tuple(_service_from_toml(item) for item in data["service"]),
        tuple(_route_from_toml(item) for item in data.get("route", ())),
        tuple(
            document.WorkspaceLimit(workspace, limit["concurrency"])
            for workspace, limit in workspaces.items()
        ),
    )


def _service_from_toml(item: dict[str, typing.Any]) -> document.Service:
    header = item.get("refusal_header")
    return document.Service(
        item["name"],
        item["floor"],
        document.EjectionPolicy(item.get("weigh", "false-ejections")),
        header.lower() if header else None,
        # The same default as that of document.Service.
        item.get("slots", 4),
    )


def _route_from_toml(item: dict[str, typing.Any]) -> document.Route:
    timeout_s = document.DEFAULT_ROUTE_TIMEOUT_S
    if "timeout_ms" in item:
        timeout_s = item["timeout_ms"] / 1000.0
    return document.Route(
        item["service"],
        item["prefix"],
        frozenset(item.get("methods", ())),
        item.get("idempotent"),
        document.TrafficClass(item.get("class", "normal")),
        timeout_s,
    )
