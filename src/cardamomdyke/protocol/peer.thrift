// Messages between VMs. Each method is an HTTP POST whose body is a struct in
// Thrift's compact protocol. Regenerate with:
//   thrift -gen py:slots -out /tmp/generated src/cardamomdyke/protocol/peer.thrift
namespace py cardamomdyke.protocol.gen

// State of one VM in gossip; heard_age_ms is the time since its heartbeat last rose.
struct MemberState {
  1: string vm,
  2: string failure_domain,
  3: i64 incarnation,
  4: i64 heartbeat,
  8: bool draining,
  9: string peer_address,
  10: string caller_address,
  11: i64 heard_age_ms,
}

// Order to take a failure domain out of service, delivered without the log service.
struct DirectOrder {
  1: string order_id,
  2: string failure_domain,
  3: double issued_at,
}

// Ages of the newest reports, by the VMs of one failure domain, that the log service is
// down or up for them; -1 for none.
struct LogContact {
  1: string failure_domain,
  2: i64 down_age_ms,
  3: i64 up_age_ms,
}

// pulses holds the newest heartbeat of each live VM in 9 bytes (see
// protocol/heartbeats.py); the receiver already knows the VMs by name.
struct Gossip {
  1: string sender,
  2: list<MemberState> members,
  3: list<DirectOrder> orders,
  4: binary pulses,
  5: string failure_domain,
  6: i64 configuration_version,
  7: i64 evidence_version,
  8: i64 evidence_age_ms,
  9: bool log_down,
  10: bool wants_members,
  11: list<LogContact> contacts,
}

struct ConfigurationCall { 1: i64 known_version }
struct ConfigurationReply { 1: i64 version, 2: binary configuration }

// Short request, forwarded to a VM in the backend server's failure domain.
struct DispatchCall {
  1: string request_id,
  2: string client_account,
  3: string service_name,
  4: binary body,
  5: string content_type,
  6: bool repeatable,
  7: string idempotency_key,
  8: i64 deadline_ms,
  9: string server,
  10: string boot_id,
}

enum OutcomeKind { FINISHED = 1, NOT_RUN = 2, NOT_KNOWN = 3 }

struct DispatchReply {
  1: string request_id,
  2: OutcomeKind outcome,
  3: binary body,
  4: string content_type,
  5: string problem_kind,
  6: string message,
  7: string remedy,
  8: i32 retry_after_seconds,
}

enum JobAction { SUBMIT = 1, SHOW = 2, CANCEL = 3 }

struct JobCall {
  1: JobAction action,
  2: string job_id,
  3: string pool,
  4: binary specification,
  5: bool recorded,
}

// status is the JobStatus data class as JSON; empty when the VM does not know the job.
struct JobReply { 1: binary status }

struct Empty {}

// Caller's request, forwarded by a platform daemon that does not reach the store. The
// peer uses only its own contact with the store and does not forward the request again.
// withdrawal is the epoch of the job id's newest withdrawal that the first daemon knew when
// the request arrived there; 0 for none. version is that of the newest configuration that
// the first daemon has served by; the peer serves by no older one.
struct RelayCall {
  1: string method,
  2: string host,
  3: string path,
  4: string key,
  5: binary body,
  6: i64 withdrawal,
  7: i64 version,
}

// reached is false when the peer has no contact with the store either, or an older
// configuration. version is that of the configuration that it used.
struct RelayReply {
  1: i32 code,
  2: binary body,
  3: i32 retry_after_seconds,
  4: bool reached,
  5: i64 version,
}
