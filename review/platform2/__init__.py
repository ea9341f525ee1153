"""Stand-ins for the users' platform, and a harness for entries, of the second review."""
