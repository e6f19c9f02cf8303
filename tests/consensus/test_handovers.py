"""A leader that is cut off in one direction gives way to another."""

import pytest

from oriolejunction.bench import raft_group

# The replicas of a deployment count a leader as lost after this time.
SILENCE_MS = 500.0


class HalfCutGroup(raft_group.Group):
    """A group of which one node receives nothing, or sends nothing."""

    deaf = None
    mute = None

    def deliver(self, position, repeat=False):
        if self.messages:
            message = self.messages[position % len(self.messages)]
            sender = message.sender.split(".")[0]
            receiver = message.to.split(".")[0]
            if receiver == self.deaf or sender == self.mute:
                self.drop_message(position)
                return
        super().deliver(position, repeat)


@pytest.mark.parametrize("direction", ["deaf", "mute"])
@pytest.mark.parametrize("seed", range(3))
def test_leader_cut_off_in_one_direction_is_replaced(direction, seed):
    """Fault: its heartbeats kept the others from electing another one.

    Two leaders at once never both count as connected to a majority.
    """
    group = HalfCutGroup(seed)
    group.run(2_000.0)
    (former,) = group.leaders()
    setattr(group, direction, former.name)
    for _ in range(60):
        group.run(50.0)
        connected = [
            node
            for node in group.running()
            if node.core.state.is_leader()
            and node.core.state.has_recent_quorum(SILENCE_MS)
        ]
        terms = {node.core.state.term for node in connected}
        assert len(terms) == len(connected)
    assert len(connected) == 1
    assert connected[0] is not former
    assert not former.core.state.is_leader()
    setattr(group, direction, None)
    group.run(2_000.0)
    assert len(group.leaders()) == 1
