"""The replicated state machine that every control replica runs."""

from cicadawheel.control.state.machine import ControlState, make_control_state

__all__ = ["ControlState", "make_control_state"]
