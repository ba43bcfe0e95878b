"""Stand-ins of the second review: the platform, backends, an operator and clients."""
