"""Formats: header contract, peer codec, table rows, documents in TOML."""
