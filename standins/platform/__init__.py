"""Stand-ins of the platform's services, which speak its published protocol."""
