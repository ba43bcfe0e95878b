"""Replicas in one event loop, with real connections and files."""

import asyncio
import contextlib
import random

import msgspec

from bench.faultproxy import Direction, Faults, start_proxy
from bench.ports import free_port
from cicadawheel.control.command import LeaveMember, Outcome, OutcomeState
from cicadawheel.control.replication import ReplicatedLog
from cicadawheel.control.storage import DiskFiles
from cicadawheel.errors import NoQuorumError, NotLeaderError
from cicadawheel.settings import Address, load_settings
from cicadawheel.timer import make_timer_service

INI = """
[process]
name = {name}
data_centre = north
key = a key of sixteen characters
[control]
replica_address = {address}
replicas = {replicas}
data_folder = {folder}
election_timeout_ms = {election_timeout_ms}
heartbeat_ms = {heartbeat_ms}
snapshot_entries = {snapshot_entries}
"""


LOST_LEADER = (NotLeaderError, NoQuorumError)


def free_address():
    return Address("127.0.0.1", free_port())


def command(text):
    """Return a command whose text `Machine` stores."""
    return LeaveMember(now_ms=1, node=text, epoch=1)


class Encoding:
    """Snapshot encoding that takes several steps."""

    def __init__(self, texts):
        self.texts = texts
        self.steps_left = 3

    def encode_next(self):
        self.steps_left -= 1
        return self.steps_left > 0

    def data(self):
        return msgspec.msgpack.encode(self.texts)


class Machine:
    """State machine that stores the texts of all commands."""

    def __init__(self):
        self.texts = []

    def apply(self, index, command):
        self.texts.append(command.node)
        return Outcome(OutcomeState.DONE, index, message=command.node)

    def begin_snapshot(self):
        return Encoding(list(self.texts))

    def restore(self, data):
        self.texts = msgspec.msgpack.decode(data)


class Replica:
    """One running replica with its state machine and task."""

    def __init__(self, settings, files=DiskFiles):
        self.machine = Machine()
        seeded = random.Random(settings.process.name)
        self.log = ReplicatedLog(
            settings, self.machine, make_timer_service(), seeded, files
        )
        self.task = asyncio.ensure_future(self.log.run())

    async def until(self, condition):
        await asyncio.wait_for(self.log.wait_until(condition), 20)

    async def stop(self):
        self.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.task


class Deployment:
    """A group of replicas with their settings, some of them running."""

    def __init__(self, folder, *names, snapshot_entries=1_000):
        self.folder = folder
        self.snapshot_entries = snapshot_entries
        self.addresses = {name: free_address() for name in names}
        self.initial = names
        self.running = {}
        self.proxies = {}

    async def start_proxies(self):
        """Start a fault proxy for each ordered pair of replicas."""
        for name in self.initial:
            for other in set(self.initial) - {name}:
                proxy = await start_proxy(self.addresses[other])
                self.proxies[name, other] = proxy

    def cut_off(self, *names):
        """Freeze all traffic from and to these replicas without closing connections."""
        for pair, proxy in self.proxies.items():
            frozen = Direction.BOTH if set(pair) & set(names) else Direction.NONE
            proxy.set_faults(Faults(frozen=frozen))

    def address_for(self, name, other):
        proxy = self.proxies.get((name, other))
        return proxy.address if proxy else self.addresses[other]

    def settings(self, name):
        replicas = ", ".join(f"{n}={self.address_for(name, n)}" for n in self.initial)
        path = self.folder / f"{name}.ini"
        text = INI.format(
            name=name,
            address=self.addresses[name],
            replicas=replicas,
            folder=self.folder / name,
            election_timeout_ms=200,
            heartbeat_ms=40,
            snapshot_entries=self.snapshot_entries,
        )
        path.write_text(text)
        return load_settings(path)

    def start(self, *names, files=DiskFiles):
        for name in names:
            self.addresses.setdefault(name, free_address())
            self.running[name] = Replica(self.settings(name), files)

    async def stop(self, *names):
        for name in names or list(self.running):
            await self.running.pop(name).stop()

    async def close(self):
        await self.stop()
        for proxy in self.proxies.values():
            await proxy.close()

    def leader(self, excluding=()):
        for name, replica in self.running.items():
            if replica.log.leads and name not in excluding:
                return replica
        return None

    async def elect(self, excluding=()):
        """Wait for a leader, and return its replica.

        Waits at all replicas, as one whose task has ended doesn't notice a leader.
        """
        async with asyncio.timeout(20):
            while (leader := self.leader(excluding)) is None:
                await self._wait_for_leader(excluding)
        return leader

    async def _wait_for_leader(self, excluding):
        def has_leader():
            return self.leader(excluding) is not None

        waits = [
            asyncio.ensure_future(replica.log.wait_until(has_leader))
            for replica in self.running.values()
        ]
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for wait in waits:
                wait.cancel()

    async def propose(self, *texts):
        leader = await self.elect()
        await asyncio.gather(*(leader.log.propose(command(text)) for text in texts))

    async def propose_until_applied(self, *texts):
        """Propose commands until each is applied, retrying when a leader steps down.

        A command that a leader doesn't hold after a confirmed read was lost and can't
        be applied later, so proposing it again doesn't apply it twice.
        """
        missing = texts
        while missing:
            leader = await self.elect()
            sent = [leader.log.propose(command(text)) for text in missing]
            for failure in await asyncio.gather(*sent, return_exceptions=True):
                if isinstance(failure, LOST_LEADER):
                    continue
                if isinstance(failure, BaseException):
                    raise failure
            leader = await self.elect()
            with contextlib.suppress(*LOST_LEADER):
                await leader.log.confirm_read()
                held = set(leader.machine.texts)
                missing = [text for text in missing if text not in held]

    async def wait_for_texts(self, texts):
        for replica in self.running.values():
            await replica.until(lambda r=replica: r.machine.texts == texts)

    async def wait_for_texts_in_any_order(self, texts):
        """Wait until all replicas hold these commands, each once, in the same order."""
        first, *others = self.running.values()
        await first.until(lambda: sorted(first.machine.texts) == sorted(texts))
        for replica in others:
            await replica.until(
                lambda r=replica: r.machine.texts == first.machine.texts
            )
