"""Stand-ins for the platform, its backends, clients and operator, on loopback."""
