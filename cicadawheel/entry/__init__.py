"""The entry: accepts calls from callers, selects upstreams and returns answers."""
