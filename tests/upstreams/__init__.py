"""Contract tests of the clients of outside systems, against the stand-ins."""
