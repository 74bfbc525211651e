"""Soak test: injects random faults into real daemons, checks invariants."""
