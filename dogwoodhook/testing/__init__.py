"""Stand-ins for the platform and targets, and the demo."""
