"""The share of its limit that an upstream gets during a cold start.

The share grows with time, but only as long as healthy answers arrive.
"""

import msgspec

from cicadawheel.settings import GateSettings

STEPS = 10
HOLD_FACTOR = 3.0


class WarmUpReport(msgspec.Struct, frozen=True):
    """The state of a warm-up, for operators."""

    share: float
    cause: str
    held: bool
    restarts: int


class WarmUp:
    """The warm-up of one upstream.

    Parameters
    ----------
    settings : GateSettings
        The initial share and the length of the warm-up.
    """

    def __init__(self, settings: GateSettings):
        self.settings = settings
        self.cause = ""
        self.restarts = 0
        self._progress = 1.0
        self._allowed = 1.0
        self._at_ms = 0.0
        self._held_since_ms = 0.0
        self._step_at_ms = 0.0

    @property
    def share(self) -> float:
        """The share of its limit that the upstream gets."""
        cold = self.settings.cold_share
        return cold + (1.0 - cold) * self._progress

    @property
    def warm(self) -> bool:
        """Whether the upstream gets its full limit."""
        return self._progress >= 1.0

    def restart(self, cause: str, now_ms: float) -> None:
        """Return to the initial share, which is kept until a healthy answer."""
        if self._progress > 0.0:
            self.restarts += 1
            self._held_since_ms = now_ms
        self.cause = cause
        self._progress = 0.0
        self._allowed = 0.0
        self._at_ms = now_ms
        self._step_at_ms = now_ms

    def answered(self, now_ms: float) -> None:
        """Permit one more step after a healthy answer."""
        self.advance(now_ms)
        self._step_at_ms = now_ms
        self._allowed = min(1.0, max(self._allowed, self._progress + 1.0 / STEPS))

    def saturated(self, now_ms: float) -> None:
        """Permit a step if none was permitted for the length of a warm-up.

        Called while the share is in full use. Otherwise a few very long requests would
        keep the share low for as long as they run.
        """
        if now_ms - self._step_at_ms >= self.settings.warm_up_ms:
            self.answered(now_ms)

    def advance(self, now_ms: float) -> None:
        """Increase the share with time, up to the permitted step."""
        if self.warm:
            return
        step = max(0.0, now_ms - self._at_ms) / self.settings.warm_up_ms
        self._at_ms = now_ms
        self._progress = min(self._allowed, self._progress + step)

    def held_too_long(self, now_ms: float) -> bool:
        """Return whether the share has been at its initial value for too long."""
        if self._progress > 0.0:
            return False
        held_ms = now_ms - self._held_since_ms
        return held_ms > HOLD_FACTOR * self.settings.warm_up_ms

    def report(self) -> WarmUpReport:
        """Return the state for operators."""
        held = not self.warm and self._progress >= self._allowed
        return WarmUpReport(self.share, self.cause, held, self.restarts)
