"""Settings of all tests: hypothesis gives the same verdict every time."""

import hypothesis

hypothesis.settings.register_profile(
    "ci",
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=100,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
hypothesis.settings.load_profile("ci")
