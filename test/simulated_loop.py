"""An event loop with simulated time, with simulated connections and threads."""

import asyncio
import contextvars
import heapq
import itertools

from simulated_tcp import Endpoint, Listener

TIME_LIMIT_S = 600.0
TURNS_LIMIT = 100_000

PROCESS = contextvars.ContextVar("process", default=None)


class Handle(asyncio.Handle):
    """A callback, which waits while its process is frozen."""

    def _run(self):
        process = self._context.get(PROCESS)
        if process is not None and process.is_frozen:
            process.waiting.append(self)
        else:
            super()._run()


class TimerHandle(asyncio.TimerHandle, Handle):
    """A timed callback, which is dropped once its process has ended.

    Callbacks that are due at the same time run in the order of their creation.
    """

    _numbers = itertools.count()

    def __init__(self, *args):
        super().__init__(*args)
        self._number = next(self._numbers)

    def __lt__(self, other):
        return (self._when, self._number) < (other._when, other._number)

    __hash__ = asyncio.TimerHandle.__hash__

    def _run(self):
        process = self._context.get(PROCESS)
        if process is None or not process.is_ended:
            super()._run()


class SimulatedLoop(asyncio.BaseEventLoop):
    """Moves its time to the next timer whenever no callback is ready."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self._idle_turns = 0
        self._selector = self

    def time(self):
        return self.now_s

    def select(self, timeout_s):
        if timeout_s is None:
            raise RuntimeError("nothing is left to wait for")
        self.now_s += timeout_s
        self._idle_turns = 0 if timeout_s else self._idle_turns + 1
        if self.now_s > TIME_LIMIT_S or self._idle_turns > TURNS_LIMIT:
            raise RuntimeError(f"no end after {self.now_s:.3f} s")
        return ()

    def _process_events(self, events):
        pass

    def call_soon(self, callback, *args, context=None):
        handle = Handle(callback, args, self, context)
        self._ready.append(handle)
        return handle

    def call_at(self, when, callback, *args, context=None):
        timer = TimerHandle(when, callback, args, self, context)
        heapq.heappush(self._scheduled, timer)
        timer._scheduled = True
        return timer

    def call_outside(self, delay_s, callback, *args):
        """Call back after a delay, also when the calling process is frozen."""
        return self.call_later(delay_s, callback, *args, context=contextvars.Context())

    def resume(self, process):
        """Run the callbacks that a frozen process has missed."""
        process.is_frozen = False
        self._ready.extend(process.waiting)
        process.waiting.clear()

    def run_in_executor(self, executor, action, *args):
        return PROCESS.get().machine.disk.run(lambda: action(*args))

    async def create_connection(self, protocol_factory, host, port):
        process = PROCESS.get()
        if process.is_ended:
            raise ConnectionRefusedError("the process has ended")
        number = process.machine.network.new_connection()
        endpoint = Endpoint(process, host, number, protocol_factory)
        await endpoint.connect(port)
        return endpoint, endpoint.protocol

    async def create_server(self, protocol_factory, host, port):
        return Listener(PROCESS.get(), port, protocol_factory)
