"""Names of the platform's headers, in lower case."""

# The id of a request; a caller that retries sends another id.
REQUEST_ID = b"request-id"
# The caller's key, after the scheme; only if the configuration has tenants.
AUTHORIZATION = b"authorization"
# The scheme of a key; schemes are compared without case.
KEY_SCHEME = b"token"
# Names the scheme to a caller without a known key.
WWW_AUTHENTICATE = b"www-authenticate"
# The name of the tenant that a request runs for.
TENANT_ID = b"tenant-id"
# The time left until the caller's deadline, in milliseconds; despite its name,
# not a point in time.
TIMEOUT_MS = b"deadline-ms"
# The id of the instance that should run the request.
TARGET_INSTANCE = b"target-instance"
# Present if the instance guarantees that it did not run the request.
NOT_EXECUTED = b"not-executed"
# An instance's signature of its response.
SIGNATURE = b"response-signature"
# An instance's running requests, waiting requests and slots, separated by
# commas.
SERVER_LOAD = b"server-load"
# The requests a second that an instance in need takes from all daemons.
SERVER_LIMIT = b"server-limit"
# Present with the value 1 if the instance leaves.
SERVER_LEAVING = b"server-leaving"
# The number of times that the store came back from an older copy; in its
# responses.
STORE_ERA = b"store-era"
KEEP_ALIVE = b"keep-alive"
