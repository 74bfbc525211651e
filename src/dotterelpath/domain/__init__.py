"""Decisions, free of sockets, clocks and encodings."""
