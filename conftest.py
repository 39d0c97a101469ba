"""Property tests give the same verdict on every run: seeds are fixed."""

from hypothesis import HealthCheck, settings

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=100,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("ci")
