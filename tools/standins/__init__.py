"""Stand-ins: simulated model engines, services, platform and network for tests and trials."""
