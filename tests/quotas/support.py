"""A fleet of daemons that share the quotas of workspaces, on the virtual clock."""

import asyncio
import random
from collections import deque
from dataclasses import dataclass

from marjoramstile.membership.view import View
from marjoramstile.quotas.client import QuotaClient
from marjoramstile.quotas.messages import QuotaAnswer
from marjoramstile.quotas.owner import QuotaOwner
from marjoramstile.quotas.ranking import OwnerRanking
from marjoramstile.quotas.windows import Allowance, QuotaBounds
from marjoramstile.reports.metrics import Metrics
from marjoramstile.utils import BackgroundTasks, loop_time, run_every
from marjoramstile.workspaces.table import (
    Quota,
    QuotaUnit,
    Workspace,
    WorkspaceKeys,
    WorkspaceTable,
)
from tests.network import VirtualNetwork

BOUNDS = QuotaBounds()
STEP_S = 0.25
NAME = "first"


def requests_quota(rate_per_s: float, burst: float) -> Quota:
    """Return a quota that counts requests."""
    return Quota(rate_per_s, burst, QuotaUnit.REQUESTS, 0)


@dataclass(frozen=True)
class Outcome:
    """What became of a request."""

    at: float
    vm: str
    units: float
    granted: bool
    wait_s: float
    took_s: float


class QuotaDaemon:
    """The owner and the client of one daemon."""

    def __init__(self, fleet: "QuotaFleet", number: int):
        self.fleet = fleet
        self.number = number
        self.vm = fleet.vms[number].name
        self.frozen: list | None = None
        self.tasks = BackgroundTasks()
        self.metrics = Metrics()
        self.start()

    def start(self, known: bool = True) -> None:
        """Start, or start again without any state; ``known``: with the list of VMs."""
        vms = self.fleet.vms
        self.view = View(vms[self.number], f"{self.vm}-{loop_time()}")
        if known:
            self.view.merge_list(vms, loop_time())
        rng = random.Random(self.number)
        ranking = OwnerRanking(self.view, self.fleet.bounds.window_s, loop_time())
        self.ranking = ranking
        self.owner = QuotaOwner(
            ranking,
            self.fleet.bounds,
            lambda: self.fleet.table,
            lambda: len(vms) if known else None,
        )
        self.client = QuotaClient(
            self.view,
            ranking,
            self.owner,
            self,
            self.fleet.bounds,
            lambda: len(vms) if known else None,
            self.metrics,
            self.tasks,
            rng,
        )

    async def step(self) -> None:
        """Do what a daemon does periodically."""
        if self.vm not in self.fleet.dead and self.frozen is None:
            self.client.step()
            self.owner.step()

    def send(self, peer, message) -> None:
        """Send a datagram."""
        self.fleet.transmit(self.vm, peer.vm.name, message)

    def receive(self, sender: str, message) -> None:
        """Handle a datagram; a frozen daemon does that when it wakes."""
        if self.frozen is not None:
            self.frozen.append((sender, message))
        elif isinstance(message, QuotaAnswer):
            self.client.handle_answer(message)
        else:
            self.owner.handle_message(
                message, lambda answer: self.fleet.transmit(self.vm, sender, answer)
            )

    def freeze(self) -> None:
        """Stop handling anything."""
        self.frozen = []

    def wake(self) -> None:
        """Go on with all that has arrived."""
        arrived, self.frozen = self.frozen, None
        for sender, message in arrived:
            self.receive(sender, message)


class QuotaFleet(VirtualNetwork):
    """Daemons on a network that may lose messages, and one workspace with a quota."""

    def __init__(
        self,
        daemons: int,
        quota: Quota,
        loss: float = 0.0,
        bounds: QuotaBounds = BOUNDS,
    ):
        super().__init__(daemons, 11, loss)
        self.bounds = bounds
        self.outcomes: list[Outcome] = []
        self.set_quota(quota)
        self.daemons: list[QuotaDaemon] = [QuotaDaemon(self, n) for n in range(daemons)]
        self.tasks = BackgroundTasks()
        for daemon in self.daemons:
            self.tasks.start(run_every(STEP_S, daemon.step, "step"), "step")

    async def __aenter__(self) -> "QuotaFleet":
        """Let the daemons be known for longer than a window."""
        await asyncio.sleep(self.bounds.window_s + 1.0)
        return self

    async def __aexit__(self, *error) -> None:
        await self.tasks.close()
        for daemon in self.daemons:
            await daemon.tasks.close()

    def set_quota(self, quota: Quota) -> None:
        """Put a configuration with this quota in force."""
        self.workspace = Workspace(NAME, None, quota)
        self.table = WorkspaceTable([WorkspaceKeys(self.workspace, ("d",))])

    @property
    def allowance(self) -> Allowance:
        """What the quota in force allows."""
        return Allowance.of(self.workspace.quota, self.bounds)

    @property
    def owner(self) -> QuotaDaemon:
        """The daemon that owns the workspace in the view of all."""
        return self.daemon(self.living[0].ranking.ranked(NAME, loop_time())[0])

    @property
    def others(self) -> list[QuotaDaemon]:
        """Living daemons that don't own the workspace."""
        owner = self.owner
        return [item for item in self.living if item is not owner]

    async def request(self, daemon: QuotaDaemon, size=None) -> Outcome:
        """Ask for one request, and record what became of it."""
        began = loop_time()
        decision = await daemon.client.acquire(self.workspace, size)
        units = 1.0 if size is None else float(size.prompt + size.max_output)
        outcome = Outcome(
            loop_time(),
            daemon.vm,
            units,
            decision.granted,
            decision.wait_s,
            loop_time() - began,
        )
        self.outcomes.append(outcome)
        return outcome

    async def load(
        self, per_s: float, seconds: float, daemons=None, sizes=lambda rng: None
    ) -> list[Outcome]:
        """Send requests at a rate from random daemons; return what became of them."""
        tasks = []
        end = loop_time() + seconds
        while True:
            await asyncio.sleep(self.rng.expovariate(per_s))
            if loop_time() >= end:
                break
            choice = [
                item
                for item in daemons or self.daemons
                if item.vm not in self.dead and item.frozen is None
            ]
            daemon = self.rng.choice(choice)
            tasks.append(asyncio.create_task(self.request(daemon, sizes(self.rng))))
        return await asyncio.gather(*tasks)

    def most_in_a_window(self, since: float = 0.0) -> float:
        """Return the most units granted in any window."""
        most = total = 0.0
        window: deque[Outcome] = deque()
        for item in sorted(self.outcomes, key=lambda item: item.at):
            if not item.granted or item.at < since:
                continue
            window.append(item)
            total += item.units
            while window[0].at < item.at - self.bounds.window_s:
                total -= window.popleft().units
            most = max(most, total)
        return most

    def wrongly_refused(self) -> list[Outcome]:
        """Return the requests refused that were within the quota."""
        wrong = []
        window: deque[Outcome] = deque()
        total = 0.0
        for item in sorted(self.outcomes, key=lambda item: item.at):
            while window and window[0].at < item.at - self.bounds.window_s:
                total -= window.popleft().units
            if item.granted:
                window.append(item)
                total += item.units
            elif total + item.units <= self.allowance.units:
                wrong.append(item)
        return wrong

    def check_bound(self, since: float = 0.0) -> None:
        """Check what all daemons have granted in every window."""
        assert self.most_in_a_window(since) <= self.allowance.most
