"""A condition variable: waiters recheck their condition after each change."""

import asyncio
from collections.abc import Callable


class ChangeNotifier:
    """Wakes the tasks that wait for a condition."""

    def __init__(self):
        self._waiting: list[asyncio.Future[None]] = []

    def notify(self) -> None:
        """Wake all waiters to recheck their conditions."""
        waiting, self._waiting = self._waiting, []
        for future in waiting:
            if not future.done():
                future.set_result(None)

    async def next(self) -> None:
        """Wait for the next change."""
        future = asyncio.get_running_loop().create_future()
        self._waiting.append(future)
        await future

    async def wait_for(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        while not condition():
            await self.next()
