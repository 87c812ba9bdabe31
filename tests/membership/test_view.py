"""What a view believes when news of several incarnations come in any order."""

from hypothesis import given, strategies as st

from bench.harness import listed_vm
from marjoramstile.membership.view import PeerState, Report, View


def new_view() -> View:
    """Return the view of vm-1, which knows of vm-2 and vm-3 by the list only."""
    view = View(listed_vm(1), "i1")
    view.merge_list([listed_vm(number) for number in (1, 2, 3)], now=0.0)
    return view


def test_a_daemon_never_heard_from_is_not_told_of():
    """It may just be starting: others may know it well already."""
    view = new_view()
    view.suspect("vm-2", now=1.0)
    assert view.get("vm-2").state == PeerState.SUSPECT
    view.expire_suspects(2.0, now=4.0)
    assert view.get("vm-2").state == PeerState.DEAD
    assert {report.vm for report in view.take_gossip(20)} == {"vm-1"}
    view.heard_from("vm-2", "i2", now=5.0)
    assert view.get("vm-2").serving


def test_a_suspicion_of_nobody_does_not_end_a_daemon_that_is_known():
    view = new_view()
    view.heard_from("vm-2", "i2", now=1.0)
    assert not view.merge_report(Report("vm-2", "", 0, PeerState.SUSPECT), now=2.0)
    assert view.get("vm-2").serving
    assert not view.is_dead("i2")


def test_a_suspicion_of_the_incarnation_before_does_not_end_the_present_one():
    view = new_view()
    view.heard_from("vm-2", "new", now=1.0)
    assert not view.merge_report(Report("vm-2", "old", 3, PeerState.SUSPECT), now=2.0)
    assert view.get("vm-2").serving


def test_a_daemon_that_answers_is_not_one_that_has_ended():
    """An old report, news to a daemon that has just started, ended the new one."""
    view = new_view()
    view.heard_from("vm-2", "new", now=1.0)
    view.merge_report(Report("vm-2", "old", 3, PeerState.ALIVE), now=2.0)
    view.heard_from("vm-2", "new", now=3.0)
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
def test_a_daemon_that_answers_becomes_known_after_any_news(reports):
    view = new_view()
    for report in reports:
        view.merge_report(report, now=1.0)
    view.heard_from("vm-2", "new", now=2.0)
    peer = view.get("vm-2")
    assert peer.incarnation == "new"
    assert not view.is_dead("new") or peer.state == PeerState.DEAD
