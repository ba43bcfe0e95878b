"""Long random runs of real processes under faults that come from outside."""
