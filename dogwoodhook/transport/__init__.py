"""Sockets: listeners, target connections, peer links, the platform client."""
