"""The command-line tool for operators and callers."""

from __future__ import annotations

import pathlib
import sys
import typing
import uuid

import click
import orjson

from dotterelpath import errors
from dotterelpath.adapters import document_codec as codec_adapter
from dotterelpath.adapters import settings as settings_adapter
from dotterelpath.cli import client
from dotterelpath.domain import deployment
from dotterelpath.domain import edits

EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_FORBIDDEN = 4
EXIT_UNKNOWN = 5
EXIT_UNAVAILABLE = 6

_EXIT_CODES = {
    errors.ResultCode.EDIT_CONFLICT: EXIT_CONFLICT,
    errors.ResultCode.EDIT_FORBIDDEN: EXIT_FORBIDDEN,
    errors.ResultCode.EDIT_UNKNOWN: EXIT_UNKNOWN,
    errors.ResultCode.STORE_UNAVAILABLE: EXIT_UNAVAILABLE,
    errors.ResultCode.DAEMON_UNREACHABLE: EXIT_UNAVAILABLE,
}
_address_type = settings_adapter.AddressType()


class CommandContext:
    """Global options of the tool, and the output of results."""

    __slots__ = ("as_json", "control")

    def __init__(self, control: deployment.Endpoint, as_json: bool) -> None:
        """Creates the context of a command.

        Args:
            control: The operators' address of any daemon.
            as_json: Whether to print JSON.
        """
        self.control = control
        self.as_json = as_json

    def print_result(
        self, data: typing.Any, lines: typing.Iterable[str]
    ) -> None:
        """Prints a result.

        Args:
            data: The result as a value to print as JSON.
            lines: The result as lines of text.
        """
        if self.as_json:
            click.echo(orjson.dumps(data, option=orjson.OPT_INDENT_2))
            return
        for line in lines:
            click.echo(line)


class _ErrorReportingGroup(click.Group):
    """Prints a DotterelpathError and exits with the code for it."""

    __slots__ = ()

    def invoke(self, ctx: click.Context) -> typing.Any:
        """Runs a command; see click.Group."""
        try:
            return super().invoke(ctx)
        except errors.DotterelpathError as error:
            click.echo(f"error {int(error.code)}: {error.detail}", err=True)
            ctx.exit(_EXIT_CODES.get(error.code, EXIT_INVALID))


@click.group(
    cls=_ErrorReportingGroup,
    context_settings={"auto_envvar_prefix": "DOTTERELPATH"},
)
@click.option(
    "--control",
    type=_address_type,
    default="127.0.0.1:7002",
    show_default=True,
    help="The operators' address of any daemon.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.version_option(package_name="dotterelpath")
@click.pass_context
def main(
    ctx: click.Context, control: deployment.Endpoint, as_json: bool
) -> None:
    """Edits the document and shows the state of the fleet."""
    ctx.obj = CommandContext(control, as_json)


@main.group()
def document() -> None:
    """Shows, checks and changes the operators' document."""


@document.command()
@click.argument("section", required=False)
@click.pass_obj
def show(context: CommandContext, section: str | None) -> None:
    """Shows the document in force, or the text of one SECTION."""
    if section is None:
        data = client.get_json(context.control, "/document")
        lines = [f"version {data['version']}"]
        lines += [f"{n}  {d[:12]}" for n, d in sorted(data["sections"].items())]
        context.print_result(data, lines)
        return
    text, digest = client.get_section(context.control, section)
    context.print_result(
        {"section": section, "digest": digest, "text": text}, [text]
    )


@document.command()
@click.argument(
    "files",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
@click.pass_obj
def check(context: CommandContext, files: tuple[pathlib.Path, ...]) -> None:
    """Checks section FILES, each named NAME.toml, alone and together."""
    codec = codec_adapter.DocumentCodec()
    sections = [codec.parse_section(f.stem, _read_text(f)) for f in files]
    edits.check_rules(sections)
    names = [section.name for section in sections]
    context.print_result({"valid": names}, [f"{name}: valid" for name in names])


@document.command()
@click.argument("section")
@click.argument(
    "file", type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path)
)
@click.option("--token", required=True, help="An owner's token.")
@click.option("--base", help="Digest of the edited text; default: current.")
@click.option(
    "--edit-id", help="Id of an edit to repeat, if its outcome is unknown."
)
@click.pass_obj
def put(
    context: CommandContext,
    section: str,
    file: pathlib.Path,
    token: str,
    base: str | None,
    edit_id: str | None,
) -> None:
    """Saves FILE as SECTION."""
    text = _read_text(file)
    codec_adapter.DocumentCodec().parse_section(section, text)
    if base is None:
        base = client.get_digest(context.control, section)
    _save(context, section, text, base, token, edit_id)


@document.command()
@click.argument("section")
@click.option("--token", required=True, help="An owner's token.")
@click.pass_obj
def edit(context: CommandContext, section: str, token: str) -> None:
    """Opens SECTION in the editor, checks it and saves it.

    A rejected text can be edited again. If it is abandoned, it is kept in
    SECTION.unsaved.toml.
    """
    text, base = client.get_section(context.control, section)
    codec = codec_adapter.DocumentCodec()
    edited = click.edit(text, extension=".toml")
    while edited is not None and edited != text:
        try:
            codec.parse_section(section, edited)
            _save(context, section, edited, base, token, None)
            return
        except errors.DotterelpathError as error:
            if error.code in (
                errors.ResultCode.EDIT_FORBIDDEN,
                errors.ResultCode.EDIT_UNKNOWN,
            ):
                _save_draft(section, edited)
                raise
            click.echo(f"error {int(error.code)}: {error.detail}", err=True)
            if not click.confirm("Edit again?", default=True):
                _save_draft(section, edited)
                raise
            if error.code is errors.ResultCode.EDIT_CONFLICT:
                current, base = client.get_section(context.control, section)
                edited = _add_conflict_comment(edited, current)
            edited = click.edit(edited, extension=".toml") or edited
    click.echo("nothing changed", err=True)


@main.command()
@click.option("--at", type=_address_type, required=True, help="Any daemon.")
@click.option("--service", required=True)
@click.option("--workspace", default="")
@click.pass_obj
def addresses(
    context: CommandContext,
    at: deployment.Endpoint,
    service: str,
    workspace: str,
) -> None:
    """Shows which daemons callers of a service should use."""
    data = client.get_addresses(at, service, workspace)
    lines = [
        f"{a['host']}:{a['port']}  {a['data_centre']}"
        for a in data["addresses"]
    ]
    context.print_result(data, lines)


@main.command()
@click.pass_obj
def status(context: CommandContext) -> None:
    """Shows a daemon's state and its view of the fleet."""
    data = client.get_json(context.control, "/status")
    lines = [
        f"daemon {data['daemon']}  {data['state']}"
        f"  document {data['document_version']}"
        f"  fresh {str(data['is_fresh']).lower()}"
        f"  in flight {data['in_flight']}"
    ]
    lines += [
        f"member {name}  {member['state']}  {member['data_centre']}"
        for name, member in sorted(data["members"].items())
    ]
    lines += _service_lines(data["services"])
    lines += _caller_lines(data.get("callers"))
    context.print_result(data, lines)


@main.command()
@click.argument("at", type=_address_type, metavar="STATUS_ADDRESS")
@click.pass_obj
def gateway(context: CommandContext, at: deployment.Endpoint) -> None:
    """Shows a gateway daemon's view of the services and instances."""
    data = client.get_json(at, "/status")
    version = data["version"]
    lines = [
        f"{data['state']}  configuration {version or 'none'}"
        f"  in flight {data['in_flight']}  daemons {len(data['daemons'])}"
    ]
    if data["refused_configuration"]:
        lines.append(
            f"newest configuration refused: {data['refused_configuration']}"
        )
    lines += _tenant_lines(data)
    lines += _quota_lines(data.get("quotas"))
    lines += _caller_lines(data.get("callers"))
    for name, service in sorted(data["services"].items()):
        lines.append(
            f"service {name}  waiting {service['waiting']}"
            f"  retries {service['retries']}"
        )
        lines += [
            f"  {instance_id}  load {instance['load']} of {instance['slots']}"
            f"  failing {instance['failing']}  slow {instance['slow']}"
            + ("  lapsed" if instance["lapsed"] else "")
            + _limit_text(instance["request_limit"])
            for instance_id, instance in sorted(service["instances"].items())
        ]
    context.print_result(data, lines)


@main.command()
@click.pass_obj
def outcomes(context: CommandContext) -> None:
    """Shows how requests ended, and each service's floor margin."""
    data = client.get_json(context.control, "/outcomes")
    lines = [
        f"{service:12} {code}  {count}"
        for service, by_code in sorted(data["outcomes"].items())
        for code, count in sorted(by_code.items())
    ]
    lines += _service_lines(data["services"])
    context.print_result(data, lines)


def _tenant_lines(data: dict[str, typing.Any]) -> list[str]:
    tenants = data["tenants"]
    if tenants is None:
        return []
    freshness = "outdated" if data["stale"] else "current"
    count, fault_count = tenants["count"], tenants["fault_count"]
    return [
        f"tenants {count}  {freshness}  faults {fault_count}",
        *(f"  {fault}" for fault in tenants["faults"]),
    ]


def _quota_lines(quotas: dict[str, typing.Any] | None) -> list[str]:
    if not quotas or not quotas["tenants"]:
        return []
    lines = [
        f"quotas  with {quotas['connected']} of {quotas['members']} daemons"
        + ("" if quotas["is_serving"] else "  callers are not sent here")
        + ("  most are not heard" if not quotas["has_quorum"] else "")
    ]
    lines += [
        f"  {name}  quota {tenant['rate_per_s']:g}/s burst {tenant['burst']:g}"
        f"  used {tenant['used_per_s']}/s  refused {tenant['refused_per_s']}/s"
        f"  share {tenant['share']}  tokens {tenant['tokens']}"
        f"  {tenant['mode']}  reports of {tenant['reports']}"
        for name, tenant in quotas["tenants"].items()
    ]
    return lines


def _caller_lines(callers: dict[str, typing.Any] | None) -> list[str]:
    if callers is None:
        # A daemon of an older build.
        return []
    limit = callers["max_bytes"]
    closed = sorted(callers["closed"].items())
    return [
        f"callers  connections {callers['connections']}"
        f"  held {callers['held_bytes'] // 1024} KiB"
        + (f" of {limit // 1024} KiB" if limit is not None else "")
        + "".join(f"  closed for {reason} {n}" for reason, n in closed)
    ] + [
        f"  {holder['address']}  held {holder['held_bytes'] // 1024} KiB"
        + ("  stalled" if holder["stalled"] else "")
        for holder in callers["largest"]
    ]


def _limit_text(limit: dict[str, typing.Any] | None) -> str:
    if limit is None:
        return ""
    holder = "here" if limit["held"] else "elsewhere"
    return f"  limit {limit['per_s']:g}/s held {holder}"


def _service_lines(services: dict[str, typing.Any]) -> list[str]:
    return [
        f"service {name}  in use {state['in_use']}/{state['instances']}"
        f"  floor {state['floor']} (margin {state['floor_margin']})"
        f"  ejected {len(state['ejected'])}  avoided {len(state['avoided'])}"
        f"  queued {state['queued']}"
        for name, state in sorted(services.items())
    ]


def _save(
    context: CommandContext,
    section: str,
    text: str,
    base: str | None,
    token: str,
    edit_id: str | None,
) -> None:
    edit_id = edit_id or uuid.uuid4().hex
    data = client.put_section(
        context.control, section, text, base, token, edit_id
    )
    context.print_result(
        data, [f"{section}: saved in version {data['version']}"]
    )


def _read_text(file: pathlib.Path) -> str:
    try:
        return file.read_text(encoding="utf-8")
    except UnicodeDecodeError as error:
        raise errors.DotterelpathError(
            errors.ResultCode.SECTION_SYNTAX, f"{file} is not UTF-8"
        ) from error


def _save_draft(section: str, text: str) -> None:
    draft = pathlib.Path(f"{section}.unsaved.toml")
    draft.write_text(text, encoding="utf-8")
    click.echo(f"your text is saved in {draft}", err=True)


def _add_conflict_comment(edited: str, current: str) -> str:
    commented = "".join(f"# {line}\n" for line in current.splitlines())
    return f"# The section now reads:\n{commented}# Your text:\n{edited}"


if __name__ == "__main__":
    sys.exit(main())
