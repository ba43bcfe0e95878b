"""The usual size of a route's answers, by which its calls are kept near or sent far."""

INITIAL_ANSWER_BYTES = 2_048.0
"""The assumed size of the answers of a route before its first one."""

SIZE_WEIGHT = 0.1
"""The weight of the latest answer in the moving average of a route's size."""

HEADER_SEPARATORS_BYTES = 4
"""The bytes of a header field beside its name and value."""


class AnswerSizes:
    """The moving average of the bytes relayed of an answer, by route."""

    def __init__(self):
        self._usual_bytes: dict[str, float] = {}

    def usual_bytes(self, route: str) -> float:
        """Return the usual size of a route's answers, head included."""
        return self._usual_bytes.get(route, INITIAL_ANSWER_BYTES)

    def add(self, route: str, size_bytes: int) -> None:
        """Record the size of a complete answer."""
        known_bytes = self._usual_bytes.get(route)
        if known_bytes is None:
            self._usual_bytes[route] = float(size_bytes)
        else:
            change_bytes = size_bytes - known_bytes
            self._usual_bytes[route] = known_bytes + SIZE_WEIGHT * change_bytes

    def report(self) -> dict[str, float]:
        """Return the usual size by route, for operators."""
        return {route: round(size) for route, size in self._usual_bytes.items()}
