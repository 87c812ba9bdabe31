"""The protocol between daemons: thrift over TCP (peer.thrift)."""
