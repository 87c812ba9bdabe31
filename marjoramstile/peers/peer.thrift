// Messages between the daemons.

struct Report {
  1: string vm,
  2: string incarnation,
  3: i64 counter,
  4: i32 state,
}

struct Strike {
  1: string content,
  2: string endpoint,
}

// The version up to which a daemon has the changes of a table: a number of the store in
// an era. Older builds send no era.
struct TableVersion {
  1: string table,
  2: i64 after,
  3: i64 era,
}

// positions: how new the sender's mirrors are, by table, era and version; older builds
// send none. links: the state of the sender's links to replicas.
struct Probe {
  1: string vm,
  2: string incarnation,
  3: list<Report> reports,
  4: list<Strike> strikes,
  5: string blocklist,
  6: list<TableVersion> positions,
  7: i32 links,
}

struct Ask {
  1: string request_id,
  2: string engine,
  3: string holder,
  4: string holder_vm,
  5: i32 pieces,
  6: string service_class,
  7: string workspace,
  8: i32 share,
  9: double ready_in_s,
  10: double max_wait_s,
  11: bool suspect,
}

// outcome: 0 granted, 1 waiting, 2 refused, 3 engine unknown to the owner.
// The other fields are a hint about the engine.
struct SlotAnswer {
  1: i32 outcome,
  2: double expected_s,
  3: i32 used_slots,
  4: i32 used_pieces,
  5: i32 queued,
  6: double hold_s,
}

struct PrefillAsk {
  1: string engine,
  2: i64 tokens,
  3: string service_class,
  4: double max_wait_s,
}

struct PrefillAnswer {
  1: bool accepted,
  2: double start_in_s,
  3: i64 backlog_tokens,
  4: double tokens_per_s,
}

struct Proposal {
  1: string change_id,
  2: i64 version,
  3: string base_id,
  4: string edits,
}

struct Freshness {
  1: i64 version,
  2: string in_force_id,
  3: bool removed,
  4: bool confirmed,
}

// A row of a mirrored table; deleted rows have no value.
struct MirrorRow {
  1: string key,
  2: i64 version,
  3: binary value,
  4: bool deleted,
}

// age_s: time since the store confirmed the mirror. withheld: newer rows were left out,
// as they are too long to be sent to many daemons. Versions are the store's numbers in
// its era; older builds send no era.
struct MirrorChanges {
  1: list<MirrorRow> rows,
  2: i64 version,
  3: bool complete,
  4: double age_s,
  5: bool withheld,
  6: i64 era,
}

service Peer {
  list<MirrorChanges> changes(1: list<TableVersion> versions, 2: bool whole),
  Probe probe(1: Probe message),
  bool probe_through(1: string vm),
  SlotAnswer ask_slot(1: Ask ask),
  bool release_slot(1: string engine, 2: string request_id),
  bool granted(1: string request_id),
  PrefillAnswer ask_prefill(1: PrefillAsk ask),
  string prepare(1: Proposal proposal),
  bool finish(1: string change_id, 2: bool committed),
  Freshness freshness(1: string vm, 2: string incarnation),
  bool strike(1: Strike strike),
  bool clear(1: string content),
  string query(1: string request),
}
