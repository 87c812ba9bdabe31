"""A VM that has lost its links to replicas hands its requests to other VMs."""

import asyncio
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field, replace

import pytest
import pytest_asyncio

from marjoramstile.membership.nodes import NodeEntry
from marjoramstile.membership.view import PeerState, Report
from marjoramstile.ports.vms import ListedState, ListedVM
from marjoramstile.routes.entry import IncomingRequest
from marjoramstile.routes.links import LinkState
from marjoramstile.routes.ports import StreamAnswer
from marjoramstile.routes.requests import (
    AnswerLostError,
    NotSentError,
    OutcomeUnknownError,
    Reply,
    RequestRefusedError,
    StreamBrokenError,
)
from marjoramstile.routes.table import (
    EntryLimits,
    RoutedService,
    RouteKind,
    RoutingTable,
)
from marjoramstile.utils import loop_time
from standins.replica_pool import FakePool
from tests.routes.support import (
    ENGINE,
    EVENTS,
    LLM,
    PLAIN,
    SIZE,
    Caller,
    RoutingCore,
    route,
)

CONNECT_TIMEOUT_S = 0.35
SLOW_CONNECT_S = 0.15
ROUTES = {
    "/stream/": route(RouteKind.STREAM, prefix="/stream/", name="stream"),
    "/look/": route(RouteKind.IDEMPOTENT, prefix="/look/", name="look"),
    "/book/": route(RouteKind.NON_IDEMPOTENT, prefix="/book/", name="book"),
}
TABLE = RoutingTable(
    1,
    tuple(ROUTES.values()),
    {LLM: RoutedService(LLM, ENGINE), PLAIN: RoutedService(PLAIN, None)},
    EntryLimits(1000),
)


class LinkedPool(FakePool):
    """One VM's connections to replicas that all VMs share."""

    def __init__(self, shared: FakePool):
        self.__dict__ = {**shared.__dict__}
        self.shared = shared
        self.cut = ""
        self.core: RoutingCore | None = None

    async def _connect(self) -> None:
        if not self.cut:
            return
        if self.cut == "silent":
            await asyncio.sleep(SLOW_CONNECT_S)
            self.core.links.record_failure()
            await asyncio.sleep(CONNECT_TIMEOUT_S - SLOW_CONNECT_S)
        self.core.links.record_failure()
        raise NotSentError("no connection")

    async def call(self, replica, request, timeout_s):
        """Run a plain request."""
        await self._connect()
        reply = await super().call(replica, request, timeout_s)
        self.core.links.record_reached()
        return reply

    async def prefill(self, replica, request, timeout_s):
        """Prefill a prompt; its answer does not come if the VM is cut meanwhile."""
        await self._connect()
        handle = await super().prefill(replica, request, timeout_s)
        if self.cut == "silent":
            await asyncio.sleep(timeout_s)
        return handle

    async def acquire_hold(self, replica, tokens, ttl_s):
        """Reserve a slot and memory."""
        await self._connect()
        return await super().acquire_hold(replica, tokens, ttl_s)

    async def accepts_connections(self, replica):
        """Return whether this VM connects to a replica."""
        with suppress(NotSentError):
            await self._connect()
            return await super().accepts_connections(replica)
        return False

    @asynccontextmanager
    async def stream(self, replica, request, timeout_s, options):
        """Run a generation; its chunks end when the VM is cut off by resets."""
        await self._connect()
        async with super().stream(replica, request, timeout_s, options) as answer:
            yield StreamAnswer(
                answer.status, answer.headers, self._chunks(answer.chunks)
            )

    async def _chunks(self, chunks):
        async for chunk in chunks:
            if self.cut == "reset":
                raise AnswerLostError("reset")
            if self.cut == "silent":
                await asyncio.sleep(3600)
            yield chunk


@dataclass
class Carriers:
    """Sends requests to the daemons of a test, in place of the HTTP client."""

    vms: "dict[str, VM]"
    dark: set[str] = field(default_factory=set)
    unsure: set[str] = field(default_factory=set)
    silent: set[str] = field(default_factory=set)
    lost_after: dict[str, int] = field(default_factory=dict)
    sent: list[tuple[str, str, int]] = field(default_factory=list)

    @asynccontextmanager
    async def send(self, carrier, request, timeout_s, carried):
        """Run a request at a carrier; it is cancelled when the block ends."""
        self.sent.append((carrier.vm, request.id, carried.runs))
        if carrier.vm in self.unsure:
            raise OutcomeUnknownError("a replica's answer was lost")
        if carrier.vm in self.dark:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise NotSentError("no connection")
        resumed = carried.resume_after is not None
        incoming = IncomingRequest(
            request.id,
            request.method,
            request.route.host,
            request.target,
            request.target,
            request.headers,
            request.body,
            timeout_s,
            request.size,
            carried.resume_after if resumed else request.resume_after,
            request.shared_parts,
            request.id if resumed else request.resumes,
            carried.sender,
            carried.runs,
        )
        caller = QueuedCaller()
        task = asyncio.create_task(self._run(self.vms[carrier.vm], incoming, caller))
        try:
            yield await self._answer(carrier.vm, task, caller)
        finally:
            task.cancel()

    async def _run(self, vm, incoming, caller) -> Reply | None:
        try:
            return await vm.entry.handle(incoming, caller)
        finally:
            caller.chunks.put_nowait(None)

    async def _answer(self, vm: str, task, caller) -> StreamAnswer:
        first = await caller.chunks.get()
        if first is not None:
            return StreamAnswer(200, (), self._chunks(vm, task, caller, first))
        try:
            reply = await task
        except RequestRefusedError as error:
            if error.reason in ("no_replica", "stopping", "not_configured"):
                raise NotSentError(str(error)) from error
            raise
        if self.lost_after.get(vm) == 0:
            raise AnswerLostError("the carrier was lost")
        return StreamAnswer(reply.status, reply.headers, self._body(reply.body))

    async def _chunks(self, vm, task, caller, first):
        left = self.lost_after.get(vm, EVENTS + 1)
        chunk = first
        while chunk is not None:
            if left == 0:
                await asyncio.sleep(3600 if vm in self.silent else 0)
                raise AnswerLostError("the carrier was lost")
            yield chunk
            left -= 1
            chunk = await caller.chunks.get()
        try:
            await task
        except StreamBrokenError as error:
            raise AnswerLostError(str(error)) from error

    async def _body(self, body: bytes):
        yield body

    async def read_reply(self, answer) -> Reply:
        """Return a whole answer."""
        body = b"".join([chunk async for chunk in answer.chunks])
        return Reply(answer.status, answer.headers, body)


class QueuedCaller(Caller):
    """Passes each chunk on."""

    def __init__(self):
        super().__init__()
        self.chunks: asyncio.Queue[bytes | None] = asyncio.Queue()

    async def write(self, data: bytes) -> None:
        """Pass a chunk on."""
        self.chunks.put_nowait(data)


class VM:
    """One daemon's core and dispatcher."""

    def __init__(self, name: str, shared: FakePool, carriers: Carriers):
        self.name = name
        self.pool = LinkedPool(shared)
        self.core = RoutingCore(self.pool, vm=name, carriers=carriers)
        self.pool.core = self.core
        self.core.versions.begin(-100.0)
        self.pool._last_number = 10_000 * ord(name)
        self.table = TABLE
        self.entry = self.core.dispatcher(lambda: self.table)
        self.monitoring = asyncio.create_task(self.core.link_monitor.run())

    def know(self, others: "list[VM]") -> None:
        """Let this daemon see others as serving."""
        view = self.core.carrier_view
        listed = [
            ListedVM(other.name, "h", "a", "r", ListedState.LIVE) for other in others
        ]
        view.merge_list([view.own.vm, *listed], 0.0)
        for other in others:
            report = Report(other.name, f"i-{other.name}", 0, PeerState.ALIVE)
            view.merge_report(report, 0.0)
            entry = NodeEntry("h", f"{other.name}:80", "a", "r", "i")
            self.core.carrier_entries[other.name] = entry

    async def send(self, path: str, request_id: str = "q1", **changes):
        """Send a request as a caller; return its reply or its caller."""
        caller = Caller()
        stream = path.startswith("/stream/")
        fields = {"time_left_s": None, "resume_after": None, **changes}
        incoming = IncomingRequest(
            id=request_id,
            method="GET",
            host="h.example",
            path=path,
            target=path,
            headers=(),
            body=b"",
            size=SIZE if stream else None,
            **fields,
        )
        reply = await self.entry.handle(incoming, caller)
        return caller if reply is None else reply


class Fleet:
    """Daemons, the replicas that they share, and the requests between them."""

    def __init__(self, names: str):
        self.pool = FakePool()
        self.vms: dict[str, VM] = {}
        self.carriers = Carriers(self.vms)
        for name in names:
            self.vms[name] = VM(name, self.pool, self.carriers)
        for vm in self.vms.values():
            vm.know([other for other in self.vms.values() if other is not vm])
        first = next(iter(self.vms.values())).core
        first.add_plain(3)
        first.add_engines(2, 3)
        for fake in self.pool.replicas.values():
            for vm in self.vms.values():
                vm.core.directory.put(fake.replica)

    async def probe(self) -> None:
        """Let all daemons hear of each other's links."""
        for vm in self.vms.values():
            for other in self.vms.values():
                if other is not vm:
                    state = other.core.carrier_peers.own_state()
                    vm.core.carrier_peers.handle_state(other.name, state)

    async def cut(self, name: str, how: str = "refuse") -> VM:
        """Cut a VM off from all replicas; let it find out by a request's failure."""
        vm = self.vms[name]
        vm.pool.cut = how
        vm.core.links.record_failure()
        await asyncio.sleep(1.0)
        assert vm.core.links.lost
        await self.probe()
        return vm

    async def close(self) -> None:
        """Stop all daemons."""
        for vm in self.vms.values():
            vm.monitoring.cancel()
            await vm.core.tasks.close()


@pytest_asyncio.fixture
async def fleet():
    """Three daemons; the first is the scheduler of nobody's pool in particular."""
    created = Fleet("abc")
    yield created
    await created.close()


@pytest.mark.parametrize("how", ["refuse", "silent", "reset"])
async def test_callers_of_a_vm_without_links_are_refused(fleet, how):
    """Calls of each kind, and streams."""
    vm = await fleet.cut("a", how)
    for number in range(20):
        for kind in ("/look/", "/book/"):
            reply = await vm.send(kind, f"{kind}{number}")
            assert reply.status == 200
            assert fleet.pool.runs[f"{kind}{number}"] == 1
    caller = await vm.send("/stream/", "s1")
    assert caller.complete
    assert caller.ids == list(range(1, EVENTS + 1))
    assert fleet.pool.runs["s1"] == 1


@pytest.mark.parametrize("how", ["refuse", "silent"])
async def test_the_first_request_after_the_cut_is_lost(fleet, how):
    """It finds the cut out, and is served within its time."""
    vm = fleet.vms["a"]
    vm.pool.cut = how
    started = loop_time()
    assert (await vm.send("/book/", "first")).status == 200
    assert loop_time() - started < 0.5
    assert fleet.pool.runs["first"] == 1


async def test_a_request_that_is_carried_is_handed_on_again(fleet):
    """Its carrier has lost its links too, and neither knows of the other."""
    first = await fleet.cut("a")
    second = await fleet.cut("b")
    for vm in (first, second):
        for name in "abc":
            vm.core.carrier_peers.handle_state(name, int(LinkState.HELD))
    for number in range(20):
        assert (await first.send("/look/", f"q{number}")).status == 200
        sent_to = [vm for vm, id_, _ in fleet.carriers.sent if id_ == f"q{number}"]
        assert sent_to in (["c"], ["b", "c"])


async def test_a_carrier_that_lacks_the_route_answers_for_it(fleet):
    """Its configuration may be older; another carrier has the route."""
    vm = await fleet.cut("a")
    fleet.vms["b"].table = replace(TABLE, routes=())
    for number in range(10):
        assert (await vm.send("/book/", f"q{number}")).status == 200
    assert {carrier for carrier, _, _ in fleet.carriers.sent} == {"b", "c"}


async def test_a_refusal_is_delayed_though_no_vm_reaches_replicas(fleet):
    vms = [await fleet.cut(name) for name in "abc"]
    await fleet.probe()
    started = loop_time()
    for vm in vms:
        with pytest.raises(RequestRefusedError):
            await vm.send("/book/", f"q-{vm.name}")
    assert loop_time() - started < 0.1
    assert fleet.carriers.sent == []


async def test_a_lost_answer_of_a_carrier_is_called_not_run_or_runs_again(fleet):
    vm = await fleet.cut("a")
    fleet.carriers.lost_after = {"b": 0, "c": 0}
    with pytest.raises(OutcomeUnknownError):
        await vm.send("/book/", "booked")
    assert fleet.pool.runs["booked"] == 1
    assert len(fleet.carriers.sent) == 1


async def test_a_lost_answer_to_an_idempotent_request_is_not_asked_for_again(fleet):
    """No more replicas run it than its route allows."""
    vm = await fleet.cut("a")
    fleet.carriers.lost_after = {"b": 0}
    for number in range(10):
        assert (await vm.send("/look/", f"q{number}")).status == 200
        assert fleet.pool.runs[f"q{number}"] <= 2
    assert {runs for _, _, runs in fleet.carriers.sent} == {1}


async def test_repeats_at_carriers_are_not_counted_in_the_retry_budget(fleet):
    vm = await fleet.cut("a")
    fleet.carriers.lost_after = {"b": 0, "c": 0}
    vm.core.budget.try_consume = lambda service, now: False
    with pytest.raises(OutcomeUnknownError):
        await vm.send("/look/")
    assert len(fleet.carriers.sent) == 1


async def test_a_dark_carrier_takes_the_request_with_it(fleet):
    vm = await fleet.cut("a")
    fleet.carriers.dark = {"b"}
    for number in range(10):
        assert (await vm.send("/book/", f"q{number}")).status == 200
        assert fleet.pool.runs[f"q{number}"] == 1


@pytest.mark.parametrize("silent", [set(), {"b"}])
@pytest.mark.parametrize("events", [1, 20])
async def test_a_stream_whose_carrier_is_lost_has_a_gap_or_a_repeated_event(
    fleet, events, silent
):
    vm = await fleet.cut("a")
    fleet.carriers.silent = silent
    fleet.carriers.lost_after = {"b": events, "c": EVENTS + 1}
    for number in range(4):
        caller = await vm.send("/stream/", f"{number}")
        assert caller.complete
        assert caller.ids == list(range(1, EVENTS + 1))


@pytest.mark.parametrize("began_s", [0.01, 0.05, 0.11, 0.3])
async def test_a_generation_that_a_silent_cut_meets_waits_for_its_deadline(
    fleet, began_s
):
    """While its prompt is read, before its first event, or after it."""
    vm = fleet.vms["a"]
    running = asyncio.create_task(vm.send("/stream/", "s1"))
    await asyncio.sleep(began_s)
    vm.pool.cut = "silent"
    vm.core.links.record_failure()
    started = loop_time()
    caller = await running
    assert caller.complete
    assert caller.ids == list(range(1, EVENTS + 1))
    assert loop_time() - started < 7.0


async def test_a_stream_that_has_begun_ends_with_another_answer(fleet):
    """Its second carrier doesn't know what became of it."""
    vm = await fleet.cut("a")
    fleet.carriers.lost_after = {"b": 5}
    fleet.carriers.unsure = {"c"}
    outcomes = set()
    for number in range(10):
        with pytest.raises((StreamBrokenError, OutcomeUnknownError)) as raised:
            await vm.send("/stream/", f"{number}")
        carriers = [vm for vm, id_, _ in fleet.carriers.sent if id_ == f"{number}"]
        if carriers == ["b", "c"]:
            assert raised.type is StreamBrokenError
        outcomes.add(raised.type)
    assert StreamBrokenError in outcomes


async def test_a_stream_that_a_cut_breaks_off_ends_though_a_carrier_could_go_on(fleet):
    vm = fleet.vms["a"]
    running = asyncio.create_task(vm.send("/stream/", "s1"))
    await asyncio.sleep(1.0)
    assert not running.done()
    vm.pool.cut = "reset"
    caller = await running
    assert caller.complete
    assert caller.ids == list(range(1, EVENTS + 1))
    assert fleet.carriers.sent


async def test_a_caller_that_leaves_holds_replicas_through_a_carrier(fleet):
    vm = await fleet.cut("a")
    running = asyncio.create_task(vm.send("/stream/", "s1"))
    await asyncio.sleep(0.6)
    assert any(fake.running for fake in fleet.pool.replicas.values())
    running.cancel()
    await asyncio.sleep(0.1)
    assert not any(fake.running for fake in fleet.pool.replicas.values())


async def test_the_direct_way_is_not_taken_again_after_the_heal(fleet):
    vm = await fleet.cut("a")
    await vm.send("/look/", "during")
    vm.pool.cut = ""
    await asyncio.sleep(1.0)
    carried = len(fleet.carriers.sent)
    assert (await vm.send("/look/", "after")).status == 200
    assert len(fleet.carriers.sent) == carried
    usable = vm.core.directory.usable(PLAIN)
    assert not any(vm.core.balancer.is_suspect(item, loop_time()) for item in usable)


async def test_one_replica_that_fails_makes_a_vm_hand_its_requests_over(fleet):
    """Its links hold: other replicas accept connections."""
    vm = fleet.vms["a"]
    fleet.pool.replicas["p0"].faults.refuse = True
    for number in range(20):
        vm.core.links.record_failure()
        assert (await vm.send("/look/", f"q{number}")).status == 200
        await asyncio.sleep(0.1)
    assert fleet.carriers.sent == []


async def test_the_failures_of_a_vm_without_links_are_news_of_replicas(fleet):
    """Its scheduler hears that no replica is unreachable."""
    vm = fleet.vms["a"]
    vm.pool.cut = "silent"
    ended = []
    end = vm.core.pool_client.end
    vm.core.pool_client.end = lambda lease, outcome: (
        ended.append(outcome),
        end(lease, outcome),
    )
    caller = await vm.send("/stream/", "s1")
    await asyncio.sleep(1.0)
    assert caller.complete
    assert ended
    assert "unreachable" not in ended


async def test_carried_requests_count_twice_in_the_retry_budget(fleet):
    """Their carrier counts them."""
    vm = await fleet.cut("a")
    recorded = []
    vm.core.budget.record_request = lambda service, now: recorded.append(service)
    await vm.send("/look/")
    assert recorded == []
