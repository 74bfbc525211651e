"""The users' platform: its names, formats and calls."""
