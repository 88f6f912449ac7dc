"""Development tools: fleet launchers, stand-ins for external systems, benchmarks, test runner."""
