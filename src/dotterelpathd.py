"""Starts the daemon on the users' platform, without an installed package."""

from __future__ import annotations

import sys

from dotterelpath import gateway_daemon

if __name__ == "__main__":
    sys.exit(gateway_daemon.main(sys.argv[1:]))
