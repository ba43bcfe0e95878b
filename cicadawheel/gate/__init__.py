"""The gate: admission control and request forwarding for one upstream."""
