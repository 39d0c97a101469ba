"""What several daemons agree on, through the platform and peer messages."""
