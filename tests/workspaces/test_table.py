"""Which keys open which workspace."""

import pytest

from marjoramstile.workspaces.keys import bearer_key, key_digest
from marjoramstile.workspaces.table import Workspace, WorkspaceKeys, WorkspaceTable

NORTH = Workspace("north", priority=1)
SOUTH = Workspace("south")


def table(*configured: tuple[Workspace, tuple[str, ...]]) -> WorkspaceTable:
    """Return a table of workspaces with their keys."""
    return WorkspaceTable(
        WorkspaceKeys(workspace, tuple(map(key_digest, keys)))
        for workspace, keys in configured
    )


@pytest.mark.parametrize("header", ["Bearer k2", "bearer k2", "BEARER   k2 "])
def test_each_key_of_a_workspace_opens_it(header):
    both = table((NORTH, ("k1", "k2")), (SOUTH, ("k3",)))
    assert both.authenticate((header,)) is NORTH


@pytest.mark.parametrize(
    "credentials",
    [
        (),
        ("",),
        ("Bearer",),
        ("Bearer ",),
        ("Bearer k",),
        ("Bearer k11",),
        ("Bearer K1",),
        ("Basic k1",),
        ("k1",),
        ("Bearer k1", "Bearer k1"),
        ("Bearer k1, Bearer k3",),
        ("Bearer " + "k" * 16_384,),
        ("Bearer \udcff\udc80ключ",),
    ],
)
def test_credentials_without_exactly_one_known_key_open_nothing(credentials):
    """A second header or another scheme must not be read as a key."""
    assert table((NORTH, ("k1",)), (SOUTH, ("k3",))).authenticate(credentials) is None


def test_a_key_of_two_workspaces_opens_neither():
    both = table((NORTH, ("k1", "shared")), (SOUTH, ("shared", "k3")))
    assert both.authenticate(("Bearer shared",)) is None
    assert both.authenticate(("Bearer k3",)) is SOUTH


def test_a_key_that_a_workspace_names_twice_opens_it():
    assert table((NORTH, ("k1", "k1"))).authenticate(("Bearer k1",)) is NORTH


def test_a_workspace_without_keys_is_known_and_opened_by_nothing():
    empty = table((NORTH, ()))
    assert empty.get("north") is NORTH
    assert empty.authenticate(("Bearer ",)) is None


def test_keys_are_kept_as_digests_only():
    """A dump of the table, as in a traceback, must not show a key."""
    digests = table((NORTH, ("secret-key",)))._by_digest
    assert list(digests) == [key_digest("secret-key")]
    assert bearer_key(("Bearer secret-key",)) == "secret-key"
