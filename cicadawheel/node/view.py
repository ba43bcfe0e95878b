"""The node's copy of the replicated state, whose index only increases."""

from cicadawheel.configuration import Configuration, Member
from cicadawheel.configuration_delta import apply_delta
from cicadawheel.control.messages import View, ViewDelta
from cicadawheel.ids import Fingerprint, LogIndex, NodeId


class NodeView:
    """The newest view received from control or another node."""

    def __init__(self):
        self.index = LogIndex(0)
        self.configuration = Configuration()
        self.members: dict[NodeId, Member] = {}
        self.quarantined: frozenset[Fingerprint] = frozenset()

    def update(self, message: View | ViewDelta) -> bool:
        """Apply a view or a delta, and return whether it was newer."""
        if message.index <= self.index:
            return False
        if isinstance(message, View):
            self.members = {member.node: member for member in message.members}
            self._set_configuration(message.configuration)
            self.quarantined = frozenset(message.quarantined)
        else:
            self._apply_delta(message)
        self.index = message.index
        return True

    def message(self) -> View:
        """Return the full view as a message to another node."""
        return View(
            self.index,
            self.configuration,
            tuple(self.members.values()),
            tuple(self.quarantined),
        )

    def _apply_delta(self, delta: ViewDelta) -> None:
        for node in delta.left:
            self.members.pop(node, None)
        for member in delta.joined:
            self.members[member.node] = member
        if delta.configuration is not None:
            changed = apply_delta(self.configuration, delta.configuration)
            self._set_configuration(changed)
        if delta.quarantined is not None:
            self.quarantined = frozenset(delta.quarantined)

    def _set_configuration(self, configuration: Configuration) -> None:
        if configuration.revision >= self.configuration.revision:
            self.configuration = configuration
