"""Plays of a simulated core: drawn faults, then calm, and bounds on its recovery.

``python test/core_faults.py SEED COUNT`` plays that many seeds; with ``--trace`` it
also prints the replicas' log lines.
"""

import asyncio
import contextlib
import itertools
import logging
import random
import sys

from replicas import command
from simulated_core import HOSTS, simulated_machines
from simulated_loop import PROCESS, SimulatedLoop

from cicadawheel.errors import CicadawheelError

CONTACT_WINDOW_S = 3.0
CATCH_UP_S = 4.0
RECOVERY_S = 15.0
LOSSES = 2
ROUNDS = 4
COMMAND_INTERVAL_S = 0.1
POLL_S = 0.02
FAULT_START_S = 4.0
FAULT_S = (0.2, 6.0)
RESTART_S = (0.1, 2.0)


class CorePlay:
    """One play of five machines, drawn from a seed."""

    def __init__(self, loop, network, machines, seed):
        self.loop = loop
        self.network = network
        self.machines = machines
        self.random = random.Random(seed)
        self.seed = seed
        self.schedule = []
        self.acknowledged = set()
        self.failures = []
        self.slowest_s = 0.0
        self._lost = set()
        self._held = set()
        self._down = dict.fromkeys(HOSTS, 0)

    async def run(self):
        """Start the core, play the rounds and a final fault."""
        for machine in self.machines.values():
            machine.start(may_form=True)
        await self._check("start", HOSTS, RECOVERY_S)
        await self._check_all("start", RECOVERY_S)
        commands = asyncio.ensure_future(self._send_commands())
        for number in range(1, ROUNDS + 1):
            await self._play_round(f"round {number}")
        await self._play_final()
        commands.cancel()
        await asyncio.gather(commands, return_exceptions=True)

    def note(self, text):
        """Add a line to the schedule."""
        self.schedule.append(f"{self.loop.time():8.3f} {text}")

    def note_error(self, loop, context):
        """Count an exception that nothing handles as a failure."""
        error = context.get("exception")
        self.failures.append(f"{loop.time():.3f} {context['message']}: {error!r}")

    async def _play_round(self, title):
        self._lost.clear()
        self._held.clear()
        self.note(title)
        faults = [
            self.random.choice(
                (
                    self._cut,
                    self._darken,
                    self._silence,
                    self._freeze,
                    self._kill,
                    self._hang,
                    self._slow,
                    self._lose_disk,
                    self._lose_disk,
                    self._lose_all_power,
                )
            )
            for _ in range(self.random.randint(1, 5))
        ]
        names = sorted(self.machines)
        went_dark = set()
        await asyncio.gather(
            *(
                self._run_fault(fault, self.random.sample(names, 5), went_dark)
                for fault in faults
            )
        )
        release = self._hold_some()
        bound_s = CONTACT_WINDOW_S * (2 if len(went_dark) > LOSSES else 1)
        await self._settle(title, bound_s)
        if release:
            for undo in release:
                undo()
            self._held.clear()
            await self._settle(f"{title}, all calm", CONTACT_WINDOW_S)

    async def _settle(self, title, bound_s):
        """Assert the bound, and leave new replicas the time to catch up."""
        calm_since_s = self.loop.time()
        names = [name for name in HOSTS if name not in self._lost | self._held]
        await self._check(title, names, bound_s)
        left_s = max(bound_s, CATCH_UP_S) - (self.loop.time() - calm_since_s)
        await asyncio.sleep(max(0.0, left_s))

    async def _play_final(self):
        self._lost.clear()
        lost = self.random.sample(HOSTS, LOSSES)
        self.note(f"final: disks of {lost} lost, all lose power")
        self._lost.update(lost)
        for machine in self.machines.values():
            machine.lose_power()
        for name in lost:
            self.machines[name].disk.wipe()
        returning = [*HOSTS] if self.random.random() < 0.5 else sorted(self._kept())
        await asyncio.gather(*map(self._restart, returning))
        await self._check("final", self._kept(), 2 * CONTACT_WINDOW_S)
        for name in HOSTS:
            self.machines[name].start()
        await self._check_all("final", RECOVERY_S)

    def _kept(self):
        return set(HOSTS) - self._lost

    async def _run_fault(self, fault, names, went_dark):
        await asyncio.sleep(self.random.uniform(0.0, FAULT_START_S))
        await fault(names, went_dark)

    async def _last(self):
        await asyncio.sleep(self.random.uniform(*FAULT_S))

    async def _restart(self, name):
        self._down[name] += 1
        await asyncio.sleep(self.random.uniform(*RESTART_S))
        self._down[name] -= 1
        if not self._down[name]:
            self.note(f"start {name}")
            self.machines[name].start()

    async def _cut(self, names, went_dark):
        links = self._draw_links(names)
        self.note(f"cut {sorted(links)}")
        self.network.cuts.append(links)
        await self._last()
        self.note(f"join {sorted(links)}")
        self.network.cuts.remove(links)

    def _draw_links(self, names):
        size = self.random.choice((1, 1, 2))
        one_side, other_side = names[:size], names[size:]
        if self.random.random() < 0.3:
            other_side = other_side[: self.random.randint(1, 2)]
        there = {(a, b) for a in one_side for b in other_side}
        back = {(b, a) for a, b in there}
        return self.random.choice((there, back, there | back))

    async def _darken(self, names, went_dark):
        await self._lose_power(names[: self.random.randint(1, 3)], went_dark)

    async def _lose_all_power(self, names, went_dark):
        await self._lose_power(names, went_dark)

    async def _lose_power(self, names, went_dark):
        self.note(f"dark {names}")
        went_dark.update(names)
        for name in names:
            self.machines[name].lose_power()
        await asyncio.gather(*map(self._restart, names))

    async def _lose_disk(self, names, went_dark):
        name = names[0]
        if name in self._lost or len(self._lost) == LOSSES:
            return
        self.note(f"lose disk {name}")
        self._lost.add(name)
        went_dark.add(name)
        self.machines[name].lose_power()
        self.machines[name].disk.wipe()
        await self._restart(name)

    async def _silence(self, names, went_dark):
        connections = self.network.open_connections()
        choice = self.random.choice(("one of each pair", "of one machine", "all"))
        if choice == "one of each pair":
            pairs = set(itertools.combinations(names, 2))
            connections = [one for one in connections if one[1:] in pairs]
        elif choice == "of one machine":
            connections = [one for one in connections if names[0] in one[1:]]
        ways = self.random.choice(("client", "server", "both"))
        self.note(f"silence {choice}, {ways}: {connections}")
        for number, client, server in connections:
            if ways != "server":
                self.network.silenced.add((number, client))
            if ways != "client":
                self.network.silenced.add((number, server))

    async def _freeze(self, names, went_dark):
        frozen = self._freeze_some(names[: self.random.randint(1, 3)])
        await self._last()
        self._thaw(frozen)

    def _freeze_some(self, names):
        running = [self.machines[name].process for name in names]
        frozen = [one for one in running if one is not None and not one.is_frozen]
        self.note(f"freeze {[one.machine.name for one in frozen]}")
        for process in frozen:
            process.is_frozen = True
        return frozen

    def _thaw(self, frozen):
        self.note(f"thaw {[one.machine.name for one in frozen]}")
        for process in frozen:
            self.loop.resume(process)

    async def _kill(self, names, went_dark):
        killed = names[: self.random.randint(1, 2)]
        self.note(f"kill {killed}")
        for name in killed:
            self.machines[name].kill()
        await asyncio.gather(*map(self._restart, killed))

    async def _hang(self, names, went_dark):
        disks = [self.machines[name].disk for name in names[: self._draw_disks()]]
        self.note(f"hang {names[: len(disks)]}")
        for disk in disks:
            disk.is_hung = True
        await self._last()
        self.note(f"release {names[: len(disks)]}")
        for disk in disks:
            disk.release()

    async def _slow(self, names, went_dark):
        disks = [self.machines[name].disk for name in names[: self._draw_disks()]]
        self.note(f"slow {names[: len(disks)]}")
        for disk in disks:
            disk.is_slow = True
        await self._last()
        self.note(f"fast {names[: len(disks)]}")
        for disk in disks:
            disk.is_slow = False

    def _draw_disks(self):
        return self.random.randint(1, 4)

    def _hold_some(self):
        """Disturb machines for longer than the check; return what ends that."""
        count = self.random.choice((0, 0, 1, 2))
        names = sorted(self._kept())
        held = self.random.sample(names, min(count, LOSSES - len(self._lost)))
        self._held.update(held)
        undo = []
        for name in held:
            machine = self.machines[name]
            kind = self.random.choice(("dark", "cut", "frozen", "hung"))
            self.note(f"hold {name} {kind}")
            if kind == "dark":
                machine.lose_power()
                undo.append(machine.start)
            elif kind == "cut":
                links = {(name, other) for other in HOSTS if other != name}
                links |= {(other, name) for _, other in links}
                self.network.cuts.append(links)
                undo.append(lambda links=links: self.network.cuts.remove(links))
            elif kind == "frozen":
                frozen = self._freeze_some([name])
                undo.append(lambda frozen=frozen: self._thaw(frozen))
            else:
                machine.disk.is_hung = True
                undo.append(machine.disk.release)
        return undo

    async def _send_commands(self):
        for number in itertools.count():
            process = self.machines[self.random.choice(HOSTS)].process
            if process is not None and process.log is not None:
                process.start(self._send_command(process.log, f"{number}"))
            await asyncio.sleep(COMMAND_INTERVAL_S)

    async def _send_command(self, log, text):
        with contextlib.suppress(CicadawheelError):
            await log.propose(command(text))
            self.acknowledged.add(text)

    async def _check(self, title, names, bound_s):
        """Assert that each of these replicas confirms a read within the bound."""
        since_s = self.loop.time()
        reads = [self.machines[name].process.start(self._read(name)) for name in names]
        await asyncio.wait(reads, timeout=bound_s)
        for name, read in zip(names, reads, strict=True):
            if not read.done():
                read.cancel()
                self._fail(f"{title}: {name} confirms no read within {bound_s} s")
            elif not read.cancelled() and read.result():
                self._fail(f"{title}: {name} lacks {sorted(read.result())[:5]}")
        took_s = self.loop.time() - since_s
        self.note(f"{title}: {took_s:.2f} s until all of {sorted(names)} read")
        self.slowest_s = max(self.slowest_s, took_s)

    async def _check_all(self, title, bound_s):
        """Assert that all machines become voters and confirm a read."""
        since_s = self.loop.time()
        while not self._all_vote():
            if self.loop.time() - since_s > bound_s:
                self._fail(f"{title}: not all vote within {bound_s} s")
                break
            await asyncio.sleep(POLL_S)
        await self._check(title, HOSTS, CONTACT_WINDOW_S)

    def _all_vote(self):
        processes = [machine.process for machine in self.machines.values()]
        if None in processes or None in (logs := [one.log for one in processes]):
            return False
        names = {log.replica for log in logs}
        return any(
            log.leads and names == set(log.status().voters) == names for log in logs
        )

    async def _read(self, name):
        """Confirm a read, and return the acknowledged commands that it lacks."""
        machine = self.machines[name]
        while True:
            process = machine.process
            before = set(self.acknowledged)
            with contextlib.suppress(CicadawheelError):
                if process is not None and process.log is not None:
                    await process.log.confirm_read()
                    if process.log.leader is not None:
                        return before - set(process.texts.texts)
            await asyncio.sleep(POLL_S)

    def _fail(self, text):
        self.note(f"FAILED {text}")
        states = "\n".join(
            f"  {name}: {machine.process.describe() if machine.process else 'down'}"
            for name, machine in self.machines.items()
        )
        self.failures.append(f"{text}\n{states}")


class TraceHandler(logging.Handler):
    """Prints log lines with the simulated time and the machine."""

    def __init__(self, play):
        super().__init__()
        self.play = play

    def emit(self, record):
        process = PROCESS.get()
        name = process.machine.name if process else "-"
        known = vars(logging.makeLogRecord({}))
        fields = {k: v for k, v in vars(record).items() if k not in known}
        print(f"{self.play.loop.time():8.3f} {name} {fields or record.getMessage()}")


def play_seed(seed, trace=False):
    """Play one seed, and return the play."""
    loop = SimulatedLoop()
    with simulated_machines(loop, seed) as (network, machines):
        play = CorePlay(loop, network, machines, seed)
        loop.set_exception_handler(play.note_error)
        if trace:
            handler = TraceHandler(play)
            logging.getLogger("cicadawheel").addHandler(handler)
            logging.getLogger("cicadawheel").setLevel(logging.INFO)
        try:
            loop.run_until_complete(play.run())
        finally:
            for machine in machines.values():
                machine.kill()
            left = asyncio.all_tasks(loop)
            for task in left:
                task.cancel()
            loop.run_until_complete(asyncio.gather(*left, return_exceptions=True))
            loop.close()
    return play


def main(first, count, *options):
    logging.getLogger("cicadawheel").addHandler(logging.NullHandler())
    failed = []
    for seed in range(int(first), int(first) + int(count)):
        play = play_seed(seed, "--trace" in options)
        print(
            f"seed {seed}: {len(play.failures)} failed, {play.slowest_s:.2f} s, "
            f"{len(play.acknowledged)} commands",
            flush=True,
        )
        if play.failures:
            failed.append(seed)
            print("\n".join([*play.schedule, *play.failures]), flush=True)
    print(f"{len(failed)} of {count} seeds failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
