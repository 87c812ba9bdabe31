"""The committed message classes against the IDL that they are generated from."""

from thriftpy2 import load

from marjoramstile.peers import peer_types
from marjoramstile.peers.peer_types import PeerService
from tools.generate_peer_types import IDL_PATH, OUTPUT_PATH, generate


def test_the_committed_source_is_up_to_date_with_the_idl():
    assert OUTPUT_PATH.read_text() == generate()


def test_the_classes_describe_the_fields_that_the_library_reads_from_the_idl():
    idl = load(str(IDL_PATH), module_name="peer_test_thrift")
    assert PeerService.thrift_services == idl.Peer.thrift_services
    for method in PeerService.thrift_services:
        for name in (f"{method}_args", f"{method}_result"):
            assert_alike(getattr(PeerService, name), getattr(idl.Peer, name))


def assert_alike(written: type, loaded: type) -> None:
    """Fail unless two classes have the same fields, down to the last struct."""
    assert vars(written()) == vars(loaded())
    assert written.thrift_spec.keys() == loaded.thrift_spec.keys()
    for number, field in loaded.thrift_spec.items():
        assert_fields_alike(written.thrift_spec[number], field)


def assert_fields_alike(written: tuple, loaded: tuple) -> None:
    """Fail unless two field descriptions agree."""
    assert len(written) == len(loaded)
    for one, other in zip(written, loaded, strict=True):
        if isinstance(other, type):
            assert one is getattr(peer_types, f"Wire{other.__name__}")
            assert_alike(one, other)
        elif isinstance(other, tuple):
            assert_fields_alike(one, other)
        else:
            assert one == other
