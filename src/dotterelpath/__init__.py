"""A proxy fleet for backend servers with gray failures."""
