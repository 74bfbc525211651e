"""The platform's headers, in lower case."""

# Names one attempt of a caller; each attempt has its own.
REQUEST_ID = b"request-id"
# What remains of the caller's time, in milliseconds; despite the name no
# moment.
TIMEOUT_MS = b"deadline-ms"
# The id of the instance that is to run the request.
TARGET_INSTANCE = b"target-instance"
# An instance's promise that it did not run the request.
NOT_EXECUTED = b"not-executed"
# An instance's signature of its own answer.
SIGNATURE = b"response-signature"
# Running requests, waiting requests and slots, separated by commas.
SERVER_LOAD = b"server-load"
KEEP_ALIVE = b"keep-alive"
