"""Formatting of numbers for operators."""


def number_text(value: float) -> str:
    """Return the exact number, without a fraction if it is whole."""
    return str(int(value)) if float(value).is_integer() else repr(value)


def percent_text(share: float) -> str:
    """Return a share from 0 to 1 as a percentage."""
    return f"{share:.4%}".rstrip("0%").rstrip(".") + " %"
