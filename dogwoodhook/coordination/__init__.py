"""Coordination of daemons through the platform and messages between peers."""
