"""Stand-ins for the platform, the backend servers, callers and the network."""
