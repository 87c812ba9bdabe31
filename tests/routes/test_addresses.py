"""Addresses that a daemon returns: spread evenly, stable, the caller's region first."""

from collections import Counter

from marjoramstile.membership.nodes import NodeEntry
from marjoramstile.membership.view import PeerState, Report, View
from marjoramstile.ports.vms import ListedState, ListedVM
from marjoramstile.routes.addresses import ADDRESSES_MAX, REGION_MIN, FrontAddresses


def names(count: int, region: str) -> list[str]:
    """Return names of VMs of a region."""
    return [f"{region}-{number}" for number in range(count)]


def region_of(vm: str) -> str:
    """Return the region of a VM by its name."""
    return vm.rpartition("-")[0]


def addresses_at(own: str, vms: list[str], ready: bool = True) -> FrontAddresses:
    """Return the addresses of the daemon on one VM; all daemons serve."""
    listed = {vm: ListedVM(vm, vm, "a", region_of(vm), ListedState.LIVE) for vm in vms}
    view = View(listed[own], "i-own")
    view.merge_list(listed.values(), 0.0)
    for vm in vms:
        view.merge_report(Report(vm, f"i-{vm}", 0, PeerState.ALIVE), 0.0)
    entries = {vm: NodeEntry(vm, vm, "a", region_of(vm), "i") for vm in vms}
    return FrontAddresses(view, lambda: entries, own, lambda: ready, 1.0)


def test_all_addresses_of_a_small_fleet_are_returned():
    vms = names(9, "r")
    assert set(addresses_at("r-3", vms).current("r")) == set(vms)
    assert set(addresses_at("r-3", vms).current("elsewhere")) == set(vms)
    assert set(addresses_at("r-3", vms, ready=False).current("r")) == set(vms) - {"r-3"}


def test_daemons_of_a_large_fleet_are_returned_evenly():
    vms = names(400, "r")
    counts: Counter[str] = Counter()
    for vm in vms:
        answer = addresses_at(vm, vms).current("r")
        assert len(set(answer)) == ADDRESSES_MAX
        counts.update(answer)
    assert set(counts) == set(vms)
    assert max(counts.values()) <= 1.5 * ADDRESSES_MAX


def test_a_removed_daemon_changes_only_its_own_address():
    vms = names(300, "r")
    before = addresses_at("r-0", vms).current("r")
    assert before == addresses_at("r-0", vms).current("r")
    removed = before[7]
    after = addresses_at("r-0", [vm for vm in vms if vm != removed]).current("r")
    assert len(set(before) & set(after)) == ADDRESSES_MAX - 1


def test_only_the_callers_region_is_returned_unless_few_of_it_serve():
    vms = names(20, "near") + names(20, "far")
    assert set(addresses_at("far-1", vms).current("near")) == set(names(20, "near"))
    few = names(2, "near") + names(20, "far")
    answer = addresses_at("near-1", few).current("near")
    assert set(names(2, "near")) < set(answer)
    assert len(answer) == REGION_MIN
    assert set(addresses_at("far-1", names(5, "far")).current("near")) == set(
        names(5, "far")
    )


def test_an_answer_follows_a_daemon_that_stops_serving():
    vms = names(9, "r")
    addresses = addresses_at("r-3", vms)
    assert len(addresses.current("r")) == 9
    addresses._view.merge_report(Report("r-5", "i-r-5", 0, PeerState.LEAVING), 0.0)
    assert set(addresses.current("r")) == set(vms) - {"r-5"}
