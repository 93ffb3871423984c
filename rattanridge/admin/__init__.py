"""Administration API: presets, rollouts and status over HTTP, by token and role."""
