"""Stand-ins for the platform and the targets, test helpers, and the demo."""
