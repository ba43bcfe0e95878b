"""Benchmarks of cicadawheel: simulated upstreams, load generator and experiments."""
