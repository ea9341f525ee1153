"""Stand-ins for the platform's services, which implement its published protocol."""
