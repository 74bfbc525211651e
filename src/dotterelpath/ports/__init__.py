"""Interfaces between the domain and the network, the clock and the store."""
