"""Applies edits to the document's sections and checks the sections' rules."""

from __future__ import annotations

import hashlib
import hmac

from dotterelpath import errors
from dotterelpath.domain import document

# The number of recent edits whose ids the head keeps, to recognize a repeated
# edit.
MAX_RECENT_EDITS = 128
# The path prefix of the fleet's own endpoints.
RESERVED_PREFIX = "/-"


class Edit:
    """One operator's change of one section."""

    __slots__ = ("base_digest", "digest", "edit_id", "section")

    def __init__(
        self,
        section: str,
        base_digest: str | None,
        digest: str | None,
        edit_id: str,
    ) -> None:
        """Creates an edit.

        Args:
            section: The section's name.
            base_digest: Digest of the text on which the edit is based; None
                for a new section.
            digest: Digest of the new text; None to remove the section.
            edit_id: Id of the edit, by which its outcome can be looked up and
                a repeated edit is recognized.
        """
        self.section = section
        self.base_digest = base_digest
        self.digest = digest
        self.edit_id = edit_id


def digest(text: str) -> str:
    """Computes the digest of a section's text or of a token.

    Args:
        text: The text.

    Returns:
        The SHA-256 digest in hexadecimal.
    """
    return hashlib.sha256(text.encode()).hexdigest()


def apply(head: document.Head, edit: Edit) -> document.Head:
    """Builds the head that results from an edit.

    Args:
        head: The head in the store.
        edit: The edit.

    Returns:
        The next head, or the given one if it already contains the edit.

    Raises:
        DotterelpathError: The section has changed since the edit's base.
    """
    if edit.edit_id in head.recent_edits:
        return head
    current = head.digests.get(edit.section)
    if current != edit.base_digest:
        raise errors.DotterelpathError(
            errors.ResultCode.EDIT_CONFLICT,
            f"section {edit.section} has digest {current or 'none'}, but the"
            f" edit is based on {edit.base_digest or 'none'}",
        )
    digests = dict(head.digests)
    if edit.digest is None:
        digests.pop(edit.section, None)
    else:
        digests[edit.section] = edit.digest
    recent = (*head.recent_edits, edit.edit_id)[-MAX_RECENT_EDITS:]
    return document.Head(head.version + 1, digests, recent)


def check_owner(section: document.Section, token: str) -> None:
    """Checks that a token may edit a section.

    Args:
        section: The current section.
        token: The operator's token.

    Raises:
        DotterelpathError: The token belongs to no owner of the section.
    """
    given = digest(token)
    # All owners are compared, so that the duration does not reveal a match.
    allowed = [hmac.compare_digest(given, owner) for owner in section.owners]
    if not any(allowed):
        raise errors.DotterelpathError(
            errors.ResultCode.EDIT_FORBIDDEN,
            f"the token belongs to no owner of section {section.name}",
        )


def check_rules(sections: list[document.Section]) -> None:
    """Checks the rules within and across sections.

    Names of services and workspaces are unique in the document, a route leads
    to a service of its own section, and no two routes share prefix and method.

    Args:
        sections: All sections of a document.

    Raises:
        DotterelpathError: A rule is broken; the message names the sections.
    """
    services: dict[str, str] = {}
    workspaces: dict[str, str] = {}
    for section in sections:
        for service in section.services:
            _reserve_name(services, service.name, section.name, "service")
        for limit in section.workspaces:
            _reserve_name(workspaces, limit.name, section.name, "workspace")
    routes: dict[tuple[str, str], str] = {}
    for section in sections:
        for route in section.routes:
            _check_route(route, section, routes)


def _reserve_name(
    taken: dict[str, str], name: str, section: str, kind: str
) -> None:
    if name in taken:
        raise _rule_error(
            section,
            f"{kind} {name} is already declared in section {taken[name]}",
        )
    taken[name] = section


def _check_route(
    route: document.Route,
    section: document.Section,
    routes: dict[tuple[str, str], str],
) -> None:
    if route.service not in {service.name for service in section.services}:
        raise _rule_error(
            section.name,
            f"route {route.prefix} leads to service {route.service}, which the"
            " section does not declare",
        )
    prefix = route.prefix.rstrip("/")
    if prefix == RESERVED_PREFIX or prefix.startswith(RESERVED_PREFIX + "/"):
        raise _rule_error(
            section.name,
            f"prefix {route.prefix} is reserved for the fleet itself",
        )
    for method in route.methods or {"*"}:
        for taken in {(prefix, method), (prefix, "*")}:
            if taken in routes:
                raise _rule_error(
                    section.name,
                    f"route {method} {route.prefix} is already declared in"
                    f" section {routes[taken]}",
                )
        if method == "*" and any(p == prefix for p, _ in routes):
            raise _rule_error(
                section.name,
                f"route {route.prefix} allows all methods, but the prefix has"
                " other routes",
            )
        routes[(prefix, method)] = section.name


def _rule_error(section: str, rule: str) -> errors.DotterelpathError:
    return errors.DotterelpathError(
        errors.ResultCode.SECTION_RULE, f"section {section}: {rule}"
    )
