"""Stand-ins for the platform, endpoints and callers, for tests and the demo."""
