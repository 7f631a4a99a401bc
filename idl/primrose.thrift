namespace py primrosepitch.gen.primrose

// Messages between the system's own processes. One frame carries one Envelope.

enum ClaimVerdict {
  CLAIMED = 1,
  RUNNING = 2,
  DONE = 3,
  LOST = 4,
  WRONG_EPOCH = 5,
  INCOMPLETE = 6
}

struct Hello {
  1: string session,
  2: string dc,
  3: i64 generation,
  4: i64 offset
}

struct TeamUsage {
  1: string queue,
  2: string team,
  3: i32 running,
  4: i32 waiting
}

struct Usage {
  1: string origin,
  2: list<TeamUsage> teams,
  3: bool whole
}

struct ProcessStatus {
  1: string session,
  2: i64 generation,
  3: i64 offset,
  4: i32 age_ms
}

struct Status {
  1: string session,
  2: i64 generation,
  3: i64 offset,
  4: list<Usage> usage,
  5: list<ProcessStatus> processes,
  6: list<binary> pending_withdrawals,
  7: bool log_contact
}

struct Fetch {
  1: i64 generation,
  2: i64 from_offset
}

struct LogEntry {
  1: i64 offset,
  2: binary data
}

struct Fetched {
  1: i64 generation,
  2: list<LogEntry> records
}

struct FetchState {
}

struct FetchedState {
  1: i64 generation,
  2: i64 offset,
  3: binary data
}

struct AskUnits {
  1: string session,
  2: map<string, i32> units
}

struct Claim {
  1: string session,
  2: string request_id,
  3: i64 epoch
}

struct ClaimAnswer {
  1: ClaimVerdict verdict,
  2: i64 epoch,
  3: string holder
}

struct ClaimDone {
  1: string session,
  2: string request_id,
  3: i32 outcome
}

struct FetchAnswer {
  1: string request_id
}

struct FetchedAnswer {
  1: bool found,
  2: i32 status,
  3: map<string, string> headers,
  4: binary body
}

struct SyncClaims {
  1: string session,
  2: i64 min_epoch
}

struct ClaimEntry {
  1: string request_id,
  2: string holder,
  3: i32 outcome,
  4: i32 age_ms
}

struct SyncedClaims {
  1: i64 epoch,
  2: bool complete,
  3: list<ClaimEntry> claims
}

struct RelayAppend {
  1: binary record
}

struct RelayAppended {
  1: bool accepted
}

// Calls to the platform's store through another node, for one that it turns away.

enum StoreOutcome {
  DONE = 1,
  UNAVAILABLE = 2,
  UNKNOWN = 3,
  FENCED = 4,
  TRUNCATED = 5,
  REJECTED = 6
}

struct StoreRecord {
  1: string key,
  2: binary value
}

struct StoreAppend {
  1: string partition,
  2: list<StoreRecord> records,
  3: i64 epoch,
  4: i64 sequence,
  5: i32 time_ms
}

struct StoreAppended {
  1: StoreOutcome outcome,
  2: i64 offset,
  3: i64 end_offset,
  4: string reason
}

struct StoreRead {
  1: string partition,
  2: i64 offset,
  3: i32 wait_ms
}

struct StoreNewest {
  1: string partition
}

// Records that precede a StoreBatch, so that a long answer shows progress.
struct StorePart {
  1: list<StoreRecord> records
}

struct StoreBatch {
  1: StoreOutcome outcome,
  2: list<StoreRecord> records,
  3: i64 next_offset,
  4: i64 end_offset
}

// The operators' newest records, for a node with a slow link or without the store.

struct OperatorsAsk {
  1: i64 offset,
  2: i32 wait_ms
}

// Bytes that precede an OperatorsAnswer, so that a long answer shows progress.
struct OperatorsPart {
  1: binary data
}

// direct: whether the node reads the store itself as soon as something changes.
// age_ms: time since these were surely the newest records in the store.
// Without newer records than those before the offset asked for, data is empty.
struct OperatorsAnswer {
  1: bool direct,
  2: i32 age_ms,
  3: i64 offset,
  4: binary data
}

union Body {
  1: Hello hello,
  2: Status status,
  3: Fetch fetch,
  4: Fetched fetched,
  5: FetchState fetch_state,
  6: FetchedState fetched_state,
  7: AskUnits ask_units,
  8: Claim claim,
  9: ClaimAnswer claim_answer,
  10: ClaimDone claim_done,
  11: SyncClaims sync_claims,
  12: SyncedClaims synced_claims,
  13: RelayAppend relay_append,
  14: RelayAppended relay_appended,
  15: FetchAnswer fetch_answer,
  16: FetchedAnswer fetched_answer,
  17: StoreAppend store_append,
  18: StoreAppended store_appended,
  19: StoreRead store_read,
  20: StoreBatch store_batch,
  21: StoreNewest store_newest,
  22: StorePart store_part,
  23: OperatorsAsk operators_ask,
  24: OperatorsPart operators_part,
  25: OperatorsAnswer operators_answer
}

// call numbers a question; its answer repeats the number. 0: no answer is expected.
struct Envelope {
  1: i32 call,
  2: Body body
}
