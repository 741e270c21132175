// Messages between the processes of amaranthcove. Fields may only be added, as
// optional and with new numbers, so that different releases can communicate.
namespace cpp amaranthcove.wire

struct AttemptId {
  1: string instance
  2: i64 incarnation
  3: i64 number
}

// Describes the backend server of a sidecar. Sent by the sidecar.
struct Backend {
  1: string kind            // "engine" or "plain"
  2: string base_model
  3: string team
  4: string service_name
}

struct Hello {
  1: i32 protocol_version
  2: string instance
  3: i64 incarnation
  4: string role            // "entry", "sidecar" or "tool"
  5: string region
  6: string data_centre
  7: binary nonce
  8: optional Backend backend
  9: string peer_address    // on which the sender accepts connections
}

struct Proof {
  1: binary mac
}

// Current state of a sidecar. Counts are numbers of requests.
struct ServerReport {
  1: i32 urgent_queued
  2: i32 patient_queued
  3: i32 running
  4: i32 batch_size
  5: i64 load_wait_ms       // expected wait for a load that is requested now
  6: bool leaving
  7: optional bool resident // the requested adapter is in a slot
  8: i64 expected_wait_ms   // expected wait of an urgent request
  9: optional i64 patient_wait_ms // expected wait of a patient request
  // Hashes of the models in all slots. A model that is missing is not resident.
  10: optional list<i64> resident_models
}

struct DocumentRevision {
  1: string team
  2: i64 revision
}

struct Heartbeat {
  1: i64 sequence
  2: bool is_reply
  3: i64 documents_digest   // equal digests mean equal revisions
  4: optional ServerReport report
  // Time since the sender's documents were confirmed by the platform, directly
  // or through its peers.
  5: optional i64 platform_age_ms
  // Newest revision of the instance list that the sender has applied.
  6: optional i64 instances_revision
  // The entry whose watch of the platform `platform_age_ms` comes from.
  7: optional string platform_reader
}

// Requests all documents that are newer than in `known`, or only that of `team`
// if it is set.
struct DocumentsRequest {
  1: list<DocumentRevision> known
  2: optional string team
}

struct Document {
  1: string team
  2: i64 revision
  3: bool removed
  4: string text
}

// Announces a revision that the sender has. A receiver without it requests the
// document.
struct DocumentAnnouncement {
  1: string team
  2: i64 revision
}

struct InstanceRecord {
  1: string instance
  2: string role            // "entry" or "sidecar"
  3: string address
  4: string region
  5: string data_centre
  6: string state           // "live", "leaving" or "gone"
  7: optional Backend backend
}

// Requests the changes of the instance list after a revision.
struct InstancesRequest {
  1: i64 after
}

// The changes of the instance list from `after` to `revision`. If `complete` is
// set, the message contains the whole list, and other instances are gone.
struct InstanceChanges {
  1: i64 after
  2: i64 revision
  3: bool complete
  4: list<InstanceRecord> changes
}

struct Submit {
  1: AttemptId attempt
  2: string team
  3: string model           // TEAM/ADAPTER@VERSION; empty for plain services
  4: string service_name         // set for plain services
  5: string method
  6: string path
  7: binary body
  8: string content_type
  9: bool streamed
  10: bool urgent
  11: i64 remaining_ms      // time until the deadline, at sending
  12: string operation_id   // set for calls that must not be repeated
  13: i64 fingerprint
  14: bool run_alone
  15: string request_id
  16: i64 low_water_mark    // no attempt with a lower number will be sent
  18: i64 document_revision // of the team's service document at the entry
  19: string objective      // "stalls" or "batch_efficiency"
}

// States that the attempt has not run and will not run.
struct Refused {
  1: AttemptId attempt
  2: string code
  3: string message
  4: i64 retry_after_ms
  5: ServerReport report
}

// A part of the answer. `sequence` starts at 0. Only the first chunk carries the
// status and the content type.
struct Chunk {
  1: AttemptId attempt
  2: i64 sequence
  3: binary data
  4: optional i32 status
  5: optional string content_type
}

// The end of the answer, which had `chunks` chunks. `error_code` is empty after a
// complete answer; otherwise `outcome` states what is known about the execution.
struct AnswerEnd {
  1: AttemptId attempt
  2: i64 chunks
  3: string error_code
  4: string message
  5: string outcome
  6: ServerReport report
  7: i64 load_stall_ms
  8: i64 queue_ms
  9: bool engine_crashed
}

// Acknowledges all chunks before `next_sequence`.
struct Acknowledge {
  1: AttemptId attempt
  2: i64 next_sequence
}

// Requests that the answer is sent again on this connection, from
// `next_sequence`.
struct Resume {
  1: AttemptId attempt
  2: i64 next_sequence
}

struct Cancel {
  1: AttemptId attempt
}

struct Cancelled {
  1: AttemptId attempt
  2: string outcome
}

struct IssueOperation {
  1: i64 call
  2: string team
  3: string service_name
}

struct OperationIssued {
  1: i64 call
  2: string operation_id    // empty if refused
  3: string code
}

struct Leaving {
  1: string instance
}

struct LeavingNotice {
  1: string instance
}

struct Suspect {
  1: i64 fingerprint
  2: i32 crashes
  3: bool quarantined
  4: i64 remaining_ms
}

// Numbers 7, 17 and 18 are free.
union Frame {
  1: Hello hello
  2: Proof proof
  3: Heartbeat heartbeat
  4: DocumentsRequest documents_request
  5: Document document
  6: Submit submit
  8: Refused refused
  9: Chunk chunk
  10: AnswerEnd answer_end
  11: Acknowledge acknowledge
  12: Resume resume
  13: Cancel cancel
  14: Cancelled cancelled
  15: IssueOperation issue_operation
  16: OperationIssued operation_issued
  19: Leaving leaving
  20: LeavingNotice leaving_notice
  21: Suspect suspect
  22: DocumentAnnouncement document_announcement
  23: InstancesRequest instances_request
  24: InstanceChanges instance_changes
}
