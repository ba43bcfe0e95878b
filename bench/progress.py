"""Prints progress events of the bench as lines of key=value pairs."""

from cicadawheel.logs import format_value


def report(event: str, **fields: object) -> None:
    """Print one event with its fields."""
    pairs = [f"event={event}"]
    pairs += [f"{key}={format_value(value)}" for key, value in fields.items()]
    print(" ".join(pairs), flush=True)
