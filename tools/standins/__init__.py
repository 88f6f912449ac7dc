"""Stand-ins of model engines, plain services, the platform and the network."""
