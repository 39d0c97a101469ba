"""Benchmarks with regression bounds as ratios within one run."""
