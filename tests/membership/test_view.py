"""The state of a view after reports of several incarnations in any order."""

from hypothesis import given, strategies as st

from bench.harness import listed_vm
from marjoramstile.membership.view import PeerState, Report, View


def new_view() -> View:
    """Return the view of vm-1, which knows vm-2 and vm-3 from the list only."""
    view = View(listed_vm(1), "i1")
    view.merge_list([listed_vm(number) for number in (1, 2, 3)], now=0.0)
    return view


def test_a_daemon_of_unknown_incarnation_is_not_reported():
    """It may have just started, and others may know its incarnation already."""
    view = new_view()
    view.suspect("vm-2", now=1.0)
    assert view.get("vm-2").state == PeerState.SUSPECT
    view.expire_suspects(2.0, now=4.0)
    assert view.get("vm-2").state == PeerState.DEAD
    assert {report.vm for report in view.take_gossip(20)} == {"vm-1"}
    view.record_contact("vm-2", "i2", now=5.0)
    assert view.get("vm-2").serving


def test_a_suspicion_without_incarnation_does_not_end_a_known_daemon():
    view = new_view()
    view.record_contact("vm-2", "i2", now=1.0)
    assert not view.merge_report(Report("vm-2", "", 0, PeerState.SUSPECT), now=2.0)
    assert view.get("vm-2").serving
    assert not view.is_dead("i2")


def test_a_suspicion_of_the_previous_incarnation_does_not_end_the_current_one():
    view = new_view()
    view.record_contact("vm-2", "new", now=1.0)
    assert not view.merge_report(Report("vm-2", "old", 3, PeerState.SUSPECT), now=2.0)
    assert view.get("vm-2").serving


def test_a_daemon_that_answers_has_not_ended():
    """An old report that a newly started daemon had not seen ended the new one."""
    view = new_view()
    view.record_contact("vm-2", "new", now=1.0)
    view.merge_report(Report("vm-2", "old", 3, PeerState.ALIVE), now=2.0)
    view.record_contact("vm-2", "new", now=3.0)
    assert view.get("vm-2").serving
    assert view.get("vm-2").incarnation == "new"
    assert view.is_dead("old")
    assert not view.merge_report(Report("vm-2", "old", 3, PeerState.ALIVE), now=4.0)


REPORTS = st.builds(
    Report,
    vm=st.just("vm-2"),
    incarnation=st.sampled_from(["", "old", "new"]),
    counter=st.integers(0, 2),
    state=st.sampled_from(PeerState),
)


@given(st.lists(REPORTS, max_size=12))
def test_a_daemon_that_answers_becomes_known_after_any_reports(reports):
    view = new_view()
    for report in reports:
        view.merge_report(report, now=1.0)
    view.record_contact("vm-2", "new", now=2.0)
    peer = view.get("vm-2")
    assert peer.incarnation == "new"
    assert not view.is_dead("new") or peer.state == PeerState.DEAD
