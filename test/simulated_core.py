"""Machines with a replica of control each, in simulated time, and their faults."""

import configparser
import contextlib
import contextvars
import random
import secrets
from pathlib import Path
from unittest import mock

from crashing_files import CrashingFiles, KilledError
from replicas import Machine as Texts
from simulated_loop import PROCESS
from simulated_tcp import SimulatedNetwork

from cicadawheel.control import replica_naming
from cicadawheel.control.replica.leaderless import describe_leaderless
from cicadawheel.control.replication import ReplicatedLog
from cicadawheel.errors import ReplicaRemovedError, StorageError
from cicadawheel.settings import load_settings_text
from cicadawheel.timer import MS_PER_S, TimerService

HOSTS = ("c1", "c2", "c3", "c4", "c5")
SEEDS = HOSTS[:3]
WRITE_S = (0.0005, 0.004)
SLOW_WRITE_S = (0.1, 1.0)
STEPS_IN_HAND = 6
SNAPSHOT_ENTRIES = 60

INI = """
[process]
name = {host}
data_centre = north
key = a key of sixteen characters
[control]
stream_address = {host}:8101
replica_address = {host}:8102
operator_address = {host}:8103
seeds = {seeds}
may_form = {may_form}
replica_losses = 2
data_folder = {host}
snapshot_entries = {snapshot_entries}
"""


class SimulatedClock:
    """The clock of all machines."""

    def __init__(self, loop):
        self.loop = loop

    def now_ms(self):
        return self.loop.time() * MS_PER_S

    def unix_ms(self):
        return int(self.now_ms())


class SimulatedDisk:
    """A disk whose operations take time, hang, and are torn by a crash."""

    def __init__(self, loop, seed):
        self.loop = loop
        self.seed = seed
        self.random = random.Random(seed)
        self.is_slow = False
        self.is_hung = False
        self.losses = 0
        self.files = CrashingFiles(seed=seed)
        self._pending = {}

    def run(self, action):
        """Run an action after the time that it takes, and return its future."""
        future = self.loop.create_future()
        if PROCESS.get().is_ended:
            future.set_result(None)
            return future
        self._pending[future] = action
        self._schedule(future)
        return future

    def release(self):
        """Go on with the operations that hung."""
        self.is_hung = False
        for future in self._pending:
            self._schedule(future)

    def crash(self, loses_power):
        """End all operations at some step; a loss of power loses unsynced bytes."""
        for future, action in self._pending.items():
            self.files.fail_at = self.files.steps + self.random.randrange(STEPS_IN_HAND)
            with contextlib.suppress(KilledError, StorageError):
                action()
            self.files.fail_at = None
            if not future.done():
                future.set_result(None)
        self._pending = {}
        if loses_power:
            self.files.reboot()

    def wipe(self):
        """Lose all files."""
        self.losses += 1
        self.files = CrashingFiles(seed=f"{self.seed} {self.losses}")

    def _schedule(self, future):
        duration_s = self.random.uniform(*(SLOW_WRITE_S if self.is_slow else WRITE_S))
        self.loop.call_later(duration_s, self._finish, future)

    def _finish(self, future):
        if self.is_hung or future not in self._pending:
            return
        action = self._pending.pop(future)
        if future.cancelled():
            return
        try:
            future.set_result(action())
        except Exception as error:  # noqa: BLE001
            future.set_exception(error)


class Process:
    """One run of a replica's process."""

    def __init__(self, machine, settings):
        self.machine = machine
        self.settings = settings
        self.is_frozen = False
        self.is_ended = False
        self.waiting = []
        self.log = None
        self.texts = Texts()
        self.failure = ""
        self.tasks = {}
        self.context = contextvars.Context()
        self.context.run(PROCESS.set, self)
        self.start(self._run())

    def start(self, work):
        """Return a task that runs in this process."""
        loop = self.machine.network.loop
        task = loop.create_task(work, context=self.context)
        self.tasks[task] = None
        task.add_done_callback(lambda task: self.tasks.pop(task, None))
        return task

    async def _run(self):
        loop = self.machine.network.loop
        named = replica_naming.name_replica(self.settings)
        self.machine.names.append(named.replica)
        seeded = random.Random(f"{self.machine.disk.seed} {loop.time()}")
        timers = TimerService(SimulatedClock(loop))
        self.log = ReplicatedLog(
            named, self.texts, timers, seeded, lambda _: self.machine.disk.files
        )
        try:
            await self.log.run()
        except ReplicaRemovedError:
            if not self.is_ended:
                replica_naming.clear_folder(self.settings)
                loop.call_outside(0.0, self.machine.begin_anew)
        except Exception as error:  # noqa: BLE001
            self.failure = repr(error)

    def describe(self):
        """Return what the replica knows of its state."""
        if self.log is None:
            return "no log"
        now_ms = self.machine.network.loop.time() * MS_PER_S
        state = describe_leaderless(self.log._runner, {}, now_ms)
        status = self.log.status()
        return (
            f"names={self.machine.names} failure={self.failure!r} "
            f"leader={self.log.leader} "
            f"leaderless_ms={status.leaderless_ms:.0f} {state}"
        )


class SimulatedMachine:
    """A machine with one disk and, while it runs, one process."""

    def __init__(self, name, network, seed):
        self.name = name
        self.network = network
        self.disk = SimulatedDisk(network.loop, f"{seed} {name}")
        self.endpoints = {}
        self.listeners = {}
        self.is_powered = False
        self.process = None
        self.names = []
        network.machines[name] = self

    def start(self, may_form=False):
        self.is_powered = True
        if self.process is None:
            self.process = Process(self, self._settings(may_form))

    def begin_anew(self):
        """Start again after the replica was removed."""
        self.kill()
        self.start()

    def kill(self):
        """Kill the process; the kernel closes its connections."""
        if self.process is not None:
            for endpoint in list(self.endpoints.values()):
                endpoint.close()
            self.disk.crash(loses_power=False)
            self._end_process()

    def lose_power(self):
        """Stop at once, without a word to the peers."""
        if self.is_powered:
            self.is_powered = False
            for endpoint in list(self.endpoints.values()):
                endpoint.forget()
                endpoint.close()
            self.disk.crash(loses_power=True)
            if self.process is not None:
                self._end_process()

    def _end_process(self):
        process, self.process = self.process, None
        process.is_ended = True
        self.listeners.clear()
        self.network.loop.resume(process)
        for task in list(process.tasks):
            task.cancel()

    def _settings(self, may_form):
        parser = configparser.ConfigParser()
        parser.read_string(
            INI.format(
                host=self.name,
                seeds=",".join(f"{seed}:9" for seed in SEEDS),
                may_form=may_form,
                snapshot_entries=SNAPSHOT_ENTRIES,
            )
        )
        return load_settings_text(Path(self.name), parser)


@contextlib.contextmanager
def simulated_machines(loop, seed):
    """Yield machines whose folders and random ids are simulated."""
    network = SimulatedNetwork(loop, seed)
    machines = {name: SimulatedMachine(name, network, seed) for name in HOSTS}
    seeded = random.Random(f"{seed} ids")
    with (
        mock.patch.object(
            replica_naming, "DiskFiles", lambda folder: machines[folder].disk.files
        ),
        mock.patch.object(secrets, "token_hex", lambda n: seeded.randbytes(n).hex()),
        mock.patch.object(secrets, "token_bytes", seeded.randbytes),
    ):
        yield network, machines
