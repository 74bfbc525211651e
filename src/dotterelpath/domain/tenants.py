"""The tenants of a configuration, and the keys of their callers."""

from __future__ import annotations

import hashlib
import typing

from dotterelpath import errors

# The size of a key's digest, in bytes. Two of 100,000 keys have the same digest
# with a probability of 1 in 10^28.
DIGEST_BYTES = 16


class Tenant:
    """A customer of the deployment, whose callers share a quota."""

    __slots__ = ("burst", "name", "priority", "rate_per_s")

    def __init__(
        self,
        name: str,
        priority: int | None = None,
        rate_per_s: float = 0.0,
        burst: float = 0.0,
    ) -> None:
        """Creates a tenant.

        Args:
            name: The tenant's name.
            priority: The priority of its requests, which goes before that of
                their route; 0 is the highest. None if it has none.
            rate_per_s: The requests a second that all daemons together accept
                from it; 0 for no limit.
            burst: The requests that are accepted beyond the rate after a
                pause.
        """
        self.name = name
        self.priority = priority
        self.rate_per_s = rate_per_s
        self.burst = burst


class TenantKeys:
    """A tenant with its keys in plain text, as a configuration lists them.

    Exists only while a configuration is decoded.
    """

    __slots__ = ("fingerprint", "keys", "tenant")

    def __init__(
        self,
        tenant: Tenant,
        keys: tuple[str, ...],
        fingerprint: int | None = None,
    ) -> None:
        """Creates a tenant with keys.

        Args:
            tenant: The tenant.
            keys: Its keys.
            fingerprint: A hash of all that the configuration says of it; None
                if it must be decoded each time.
        """
        self.tenant = tenant
        self.keys = keys
        self.fingerprint = fingerprint


class _KnownKeys:
    """The digests of a tenant's keys."""

    __slots__ = ("digests", "fingerprint")

    def __init__(
        self, fingerprint: int | None, digests: frozenset[bytes]
    ) -> None:
        self.fingerprint = fingerprint
        self.digests = digests


class TenantTable:
    """Finds the tenant that holds a key.

    Keeps no key in plain text, only its digest under a secret of this process,
    so that neither a memory dump nor the duration of a lookup reveals one.

    A table that is built from the previous one costs, besides copies, only work
    for the tenants that have changed. Which have is seen by 64-bit hashes under
    a secret of the process: they cost a tenth of the digests, and take a
    changed tenant for an unchanged one with a probability of 1 in 10^19.
    """

    __slots__ = ("_by_digest", "_known", "_secret", "_shared", "_tenants")

    def __init__(
        self,
        changed: typing.Iterable[TenantKeys],
        secret: bytes,
        previous: TenantTable | None = None,
        unchanged: typing.Collection[str] = (),
    ) -> None:
        """Creates a table.

        Args:
            changed: The tenants with their keys, without those that are
                unchanged; names are unique.
            secret: The secret of the digests, at most 64 bytes.
            previous: A table with the same secret.
            unchanged: The names of the tenants that are as in that table.
        """
        self._secret = secret
        self._tenants: dict[str, Tenant] = {}
        self._known: dict[str, _KnownKeys] = {}
        # The name of the tenant that holds a key.
        self._by_digest: dict[bytes, str] = {}
        # The names of all tenants that list a key, if they are several.
        self._shared: dict[bytes, frozenset[str]] = {}
        if previous is not None:
            self._tenants = previous._tenants.copy()
            self._known = previous._known.copy()
            self._by_digest = previous._by_digest.copy()
            self._shared = previous._shared.copy()
            for name in previous._tenants.keys() - set(unchanged):
                self._remove(name)
        for entry in changed:
            self._add(entry)

    def __len__(self) -> int:
        """Returns the number of tenants."""
        return len(self._tenants)

    @property
    def tenants(self) -> dict[str, Tenant]:
        """The tenants by name."""
        return self._tenants

    @property
    def shared_by(self) -> list[list[str]]:
        """The groups of tenants that list the same key, by name."""
        return sorted(sorted(names) for names in set(self._shared.values()))

    def is_unchanged(self, name: str, fingerprint: int) -> bool:
        """Tells whether a tenant has the same fingerprint in this table.

        Args:
            name: The tenant's name.
            fingerprint: A hash of all that a configuration says of it.
        """
        known = self._known.get(name)
        return known is not None and known.fingerprint == fingerprint

    def find(self, key: str) -> Tenant | None:
        """Finds the tenant that holds a key.

        Args:
            key: The key.

        Returns:
            The tenant; None if no tenant or several list the key.
        """
        name = self._by_digest.get(self._digest(key))
        return None if name is None else self._tenants[name]

    def authenticate(
        self, credential: str | None, is_exempt: bool
    ) -> Tenant | None:
        """Decides whether a request may run, and for which tenant.

        Args:
            credential: The key that the caller sent, if it sent a usable one.
            is_exempt: Whether the request needs no key.

        Returns:
            The tenant; None for an exempt request without a known key.

        Raises:
            DotterelpathError: The request needs a key and has no known one.
        """
        tenant = None if credential is None else self.find(credential)
        if tenant is None and not is_exempt:
            raise errors.DotterelpathError(
                errors.ResultCode.UNAUTHENTICATED,
                "the request has no usable key"
                if credential is None
                else "no tenant holds the key of the request",
            )
        return tenant

    def _digest(self, key: str) -> bytes:
        return hashlib.blake2b(
            key.encode("utf-8", "surrogateescape"),
            digest_size=DIGEST_BYTES,
            key=self._secret,
        ).digest()

    def _add(self, entry: TenantKeys) -> None:
        name = entry.tenant.name
        digests = frozenset(map(self._digest, entry.keys))
        self._tenants[name] = entry.tenant
        self._known[name] = _KnownKeys(entry.fingerprint, digests)
        for digest in digests:
            self._set_holders(digest, self._holders(digest) | {name})

    def _remove(self, name: str) -> None:
        del self._tenants[name]
        for digest in self._known.pop(name).digests:
            self._set_holders(digest, self._holders(digest) - {name})

    def _holders(self, digest: bytes) -> frozenset[str]:
        holder = self._by_digest.get(digest)
        if holder is not None:
            return frozenset((holder,))
        return self._shared.get(digest, frozenset())

    def _set_holders(self, digest: bytes, names: frozenset[str]) -> None:
        self._by_digest.pop(digest, None)
        self._shared.pop(digest, None)
        if len(names) == 1:
            self._by_digest[digest] = next(iter(names))
        elif names:
            self._shared[digest] = names
