"""The adapter to the users' platform: headers, formats and calls."""
