"""What the operating system allows a process, where settings do not say."""

from __future__ import annotations

import os
import resource


def max_descriptors() -> float:
    """Returns how many descriptors this process may open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return float("inf") if soft == resource.RLIM_INFINITY else float(soft)


def memory_bytes() -> float:
    """Returns the memory of the machine, in bytes."""
    return float(os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES"))
