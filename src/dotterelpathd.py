"""Starts the daemon on the users' platform, without an installed package."""

from __future__ import annotations

import signal
import sys


def main() -> int:
    """Runs the daemon; returns its exit code."""
    # SIGHUP says that the settings have changed, which are not read yet. Its
    # default action would end the process while it imports its modules.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from dotterelpath import gateway_daemon

    return gateway_daemon.main(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
