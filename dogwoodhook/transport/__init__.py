"""Network I/O: listeners, target connections, peer links, the platform client."""
