"""A proxy fleet for targets with gray failures."""
