"""Calls of other daemons that would cost much more than their bytes are refused."""

import json

import pytest

from marjoramstile.admission.quarantine import (
    MAX_ENDPOINTS,
    MAX_STRUCK_CONTENTS,
    MAX_TEXT,
    Quarantine,
)
from marjoramstile.membership.view import ENDED_MAX, PeerState, Report, View
from marjoramstile.peers.membership_messages import ITEMS_MAX, probe_from_wire
from marjoramstile.peers.messages import EDIT_VALUES_MAX, proposal_from_wire
from marjoramstile.peers.peer_types import (
    WireProbe,
    WireProposal,
    WireStrike,
    WireTableVersion,
)
from marjoramstile.peers.queries import QUERY_MAX, decode_query
from marjoramstile.peers.router_handler import RouterPeerHandler
from marjoramstile.ports.vms import ListedState, ListedVM


@pytest.mark.parametrize("tables", [["t", "t"], ["unknown"]])
async def test_a_table_is_sent_as_often_as_it_is_asked_for(tables):
    """One frame asked a hundred thousand times: the answer took a gigabyte."""
    handler = RouterPeerHandler(None, {"t": None}, None)
    versions = [WireTableVersion(table=table, after=0) for table in tables]
    with pytest.raises(ValueError, match="tables"):
        await handler.changes(versions, True)


@pytest.mark.parametrize("query", ["[]", json.dumps({"subject": "x" * QUERY_MAX})])
def test_a_query_is_parsed_however_long(query):
    with pytest.raises(ValueError, match="query"):
        decode_query(query)


def test_a_probe_has_any_number_of_strikes():
    strikes = [WireStrike(content="c", endpoint="e")] * (ITEMS_MAX + 1)
    wire = WireProbe(vm="v", incarnation="i", reports=[], strikes=strikes)
    with pytest.raises(ValueError, match="items"):
        probe_from_wire(wire)


def test_a_proposal_has_any_number_of_values():
    edits = "[" + "{}," * EDIT_VALUES_MAX + "{}]"
    wire = WireProposal(change_id="c", version=1, base_id="b", edits=edits)
    with pytest.raises(ValueError, match="values"):
        proposal_from_wire(wire)


def test_strikes_that_are_dropped_wait_to_be_sent():
    quarantine = Quarantine()
    for number in range(MAX_STRUCK_CONTENTS + 100):
        quarantine.strike(f"content-{number}", "endpoint")
    waiting = quarantine.take_gossip(2 * MAX_STRUCK_CONTENTS, 400)
    assert len(quarantine.strikes) == len(waiting) == MAX_STRUCK_CONTENTS


def test_strikes_have_texts_of_any_length_and_any_number():
    quarantine = Quarantine()
    assert not quarantine.strike("x" * (MAX_TEXT + 1), "endpoint")
    assert not quarantine.strike("content", "x" * (MAX_TEXT + 1))
    for number in range(MAX_ENDPOINTS + 10):
        quarantine.strike("content", f"endpoint-{number}")
    assert len(quarantine.strikes["content"]) == MAX_ENDPOINTS


def test_incarnations_that_ended_are_remembered_without_bound():
    own = ListedVM("vm-1", "10.0.0.1", "dc", "region", ListedState.LIVE)
    other = ListedVM("vm-2", "10.0.0.2", "dc", "region", ListedState.LIVE)
    view = View(own, "own")
    view.merge_list([own, other], 0.0)
    for number in range(ENDED_MAX + 100):
        view.merge_report(Report("vm-2", f"i-{number}", 1, PeerState.ALIVE), 0.0)
    # The last one is current, and the first ones were dropped.
    assert view.is_dead(f"i-{ENDED_MAX + 98}")
    assert not view.is_dead("i-0")
