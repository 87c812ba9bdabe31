"""Base class of the state machines that run real daemons on a paused clock."""

import async_solipsism
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import RuleBasedStateMachine

from bench.fakes.engines import EngineModel
from bench.harness import Harness, add_services

MACHINE_SETTINGS = settings(
    max_examples=60,
    stateful_step_count=20,
    deadline=None,
    derandomize=True,
    database=None,
    phases=(Phase.explicit, Phase.generate),
    suppress_health_check=list(HealthCheck),
)


class DaemonMachine(RuleBasedStateMachine):
    """Runs ``daemons`` daemons; rules are synchronous methods that run the loop."""

    daemons = 3

    def __init__(self):
        super().__init__()
        self.loop = async_solipsism.EventLoop()
        self.harness = Harness(seed=1)
        self.tasks = []
        self.run(self._start())

    async def _start(self) -> None:
        self.harness.list_vms(self.daemons)
        for number in range(1, self.daemons + 1):
            await self.harness.start(number)
        document = self.harness.add_engines(1, 1, EngineModel())
        add_services(document)
        await self.harness.configure(document)

    def run(self, coroutine):
        """Run a coroutine to completion."""
        return self.loop.run_until_complete(coroutine)

    def start(self, coroutine) -> None:
        """Run a coroutine in the background."""
        self.tasks.append(self.loop.create_task(coroutine))

    def node(self, number: int):
        """Return the daemon that runs on a VM, or None."""
        return self.harness.nodes.get(f"vm-{number}")

    def kill(self, number: int) -> None:
        """Kill a daemon, unless it is the last one."""
        if self.node(number) is not None and len(self.harness.nodes) > 1:
            self.run(self.harness.kill(number))

    def restart(self, number: int) -> None:
        """Start a daemon with empty memory, if the VM has none."""
        if self.node(number) is None:
            self.run(self.harness.start(number))

    def teardown(self):
        """Cancel background tasks and close the harness and the loop."""
        for task in self.tasks:
            task.cancel()
        self.run(self.harness.close())
        self.loop.close()
