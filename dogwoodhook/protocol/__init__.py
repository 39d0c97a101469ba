"""Formats of data that leaves or enters the process.

These are HTTP headers, messages between daemons, rows and snapshots of the platform,
and documents in TOML.
"""
