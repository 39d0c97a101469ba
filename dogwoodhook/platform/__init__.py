"""Adapter to the platform that the users run.

It translates the platform's settings, rows and header names into the project's own
types and makes no decisions itself. Nothing outside this package imports it.
"""
