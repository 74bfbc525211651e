"""Implementations of the ports over sockets, files and system clocks."""
