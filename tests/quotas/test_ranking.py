"""Owners of workspaces: the same for all daemons, and since when."""

from marjoramstile.membership.view import View
from marjoramstile.ports.vms import ListedState, ListedVM
from marjoramstile.quotas.ranking import OwnerRanking

VMS = [ListedVM(f"vm-{n}", "10.0.0.1", "a", "r", ListedState.LIVE) for n in range(9)]
NAMES = [f"workspace-{n}" for n in range(200)]


def ranking_of(number: int) -> OwnerRanking:
    """Return the ranking of a daemon that sees all as alive."""
    view = View(VMS[number], f"i-{number}")
    view.merge_list(VMS, 0.0)
    return OwnerRanking(view, 8.0, 0.0)


def test_daemons_with_the_same_view_agree_and_share_the_workspaces():
    first, other = ranking_of(0), ranking_of(1)
    owners = [first.ranked(name, 1.0)[0] for name in NAMES]
    assert owners == [other.ranked(name, 1.0)[0] for name in NAMES]
    assert set(owners) == {vm.name for vm in VMS}


def test_a_workspace_is_owned_since_the_former_owner_left():
    ranking = ranking_of(0)
    before = {name: ranking.ranked(name, 1.0)[0] for name in NAMES}
    ranking._view.suspect("vm-5", 50.0)
    ranking.update(50.0)
    for name in NAMES:
        if ranking.ranked(name, 51.0)[0] == "vm-0":
            since = 50.0 if before[name] == "vm-5" else 0.0
            assert ranking.owned_since(name, 51.0) == since
        else:
            assert ranking.owned_since(name, 51.0) is None


def test_a_minority_owned_nothing():
    ranking = ranking_of(0)
    for number in range(1, 7):
        ranking._view.suspect(f"vm-{number}", 50.0)
    assert not ranking.in_majority(50.0)
    assert ranking.missing(50.0) == 6
    assert all(ranking.owned_since(name, 51.0) is None for name in NAMES)
