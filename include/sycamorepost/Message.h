// Declares the messages that entries and sidecars exchange, and their codec. A message is a
// MessagePack header followed by a raw body, so large prompts are never re-encoded.
#ifndef SYCAMOREPOST_MESSAGE_H_
#define SYCAMOREPOST_MESSAGE_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "sycamorepost/Hash.h"
#include "sycamorepost/Types.h"
#include "sycamorepost/forward/load/TargetLoadReport.h"
#include "sycamorepost/forward/sharing/StoreSharing.h"
#include "sycamorepost/forward/targets/EvacuatedDomains.h"
#include "sycamorepost/forward/targets/PartQuarantine.h"

namespace sycamorepost {

// The resource needs of a request, from which the sidecar decides on admission.
struct RequestShape
{
  double weight = 1;              // The account's weight when accounts compete for the engine.
  std::uint32_t promptTokens = 0; // 0 for calls to a plain service.
  std::uint32_t maxTokens = 0;
  std::int64_t remainingMs = 0;   // Time until the request's deadline.
  std::uint64_t fingerprint = 0;  // Hash of the account and the body.
  std::uint32_t remoteTokens = 0; // Prompt tokens whose KV cache other engines store.
  std::uint64_t reservation = 0;  // The KV reservation made for this request; 0 when there is none.
  bool alone = false;             // A crash suspect: must run with no other request on the engine.
};

// Entry to sidecar: asks whether the target can run a request, and how soon.
struct ProbeRequest
{
  std::uint64_t probe = 0;
  RequestShape shape;
  std::vector<PrefixHash> prefix;
  bool previousUnanswered = false; // The entry's last probe had no reply, so the connection back to
                                   // the entry may be broken.
};

// A sidecar's decision on a probe.
enum class ProbeVerdict
{
  Granted,  // The reply carries a ticket, valid for a short time.
  Busy,     // The target is full or down, or would not finish the request before its deadline.
  TooLarge, // The request exceeds the engine's memory.
  Draining, // The target is draining and accepts no new requests.
  Suspect,  // A crash suspect: may only run alone on a quarantine engine.
  Blocked,  // Blocked, as engines crashed while running this fingerprint.
};

// Sidecar to entry: the reply to a probe.
struct ProbeReply
{
  std::uint64_t probe = 0;
  ProbeVerdict verdict = ProbeVerdict::Busy;
  std::uint64_t ticket = 0;       // Can be used once, and only for a short time.
  std::int64_t firstTokenMs = 0;  // Predicted time to first token.
  std::uint32_t cachedTokens = 0; // Prompt tokens predicted to be in the engine's prefix cache.
  std::int64_t retryAfterMs = 0;  // When Busy: predicted time until the request can be admitted.
  std::uint64_t rulesVersion = 0;
  std::uint64_t capacityTokens = 0; // When TooLarge: the size of the engine's KV memory.
};

// A segment of a prompt, and the engine that stores its KV cache for the engine that decodes.
struct SegmentLocation
{
  std::string address;           // The storing engine's sidecar.
  std::uint64_t reservation = 0; // The KV reservation there that stores it.
  std::uint32_t from = 0;        // The first token's offset in the prompt.
  std::uint32_t to = 0;          // The offset after the last token.
  bool stored = false;           // Whether the KV cache has been stored.
};

// Entry to sidecar: start an attempt for which a ticket was granted. The message's body is the
// request's body.
struct Start
{
  std::uint64_t ticket = 0;
  std::uint64_t attempt = 0;
  std::string requestId;
  std::string pool; // The model or service.
  std::string account;
  RequestShape shape;
  std::string method;
  std::string path;
  std::vector<Field> headers;
  std::uint64_t resumeOffset = 0; // Output tokens that the caller already has.
  std::string key;                // The ledger key; empty when the call may be repeated.
  std::uint32_t shards = 0;       // The number of ledger shards of the service.
  std::vector<SegmentLocation>
    segments; // Leading segments of a prompt that exceeds one engine's memory.
};

// Why a sidecar did not run an attempt.
enum class RefusalReason
{
  Unknown,      // Sent by a newer version; unknown to this one.
  NoTicket,     // The ticket is unknown or expired.
  Draining,     // The target is draining and accepts no new requests.
  Busy,         // The request would not finish before its deadline.
  Blocked,      // Engines crashed while running this fingerprint.
  Withdrawn,    // The start message had not arrived; its ticket has been voided.
  Incarnation,  // The message was addressed to an earlier incarnation of the sidecar.
  NotConnected, // The connection to the target was not established, so no byte was sent.
  KeyMismatch,  // The idempotency key belongs to a call with another digest.
};

inline constexpr std::array<std::string_view, 9> kRefusalReasonNames{
  "unnamed",   "no-ticket",   "leaving",     "busy",        "blocked",
  "withdrawn", "incarnation", "not-reached", "key-mismatch"
};

// Sidecar to entry: the attempt did not run and never will.
struct Refused
{
  std::uint64_t attempt = 0;
  RefusalReason reason = RefusalReason::NoTicket;
};

// Sidecar to entry: a chunk of the response. The message's body is its text.
struct Chunk
{
  std::uint64_t attempt = 0;
  std::uint64_t offset = 0; // The first token's offset in the whole response.
  std::uint32_t count = 0;  // The number of tokens in this chunk.
};

// Sidecar to entry: the attempt has ended. The message's body is a plain service's response body.
struct Finished
{
  std::uint64_t attempt = 0;
  Outcome outcome = Outcome::Unknown;
  bool targetCrashed = false;  // The engine crashed while it ran this attempt.
  std::uint64_t endOffset = 0; // The offset after the last output token.
  std::uint64_t digest = 0;    // The hash of the text that this attempt produced.
  int status = 0;              // A plain service's HTTP status.
  std::vector<Field> headers;
  std::string reason; // Why it failed, or why its outcome is unknown.
};

// Entry to sidecar: cancel the attempt, or void its ticket if it has not started.
struct Cancel
{
  std::uint64_t attempt = 0;
  std::uint64_t ticket = 0;
};

// An attempt whose end an entry awaits.
struct AwaitedAttempt
{
  std::uint64_t attempt = 0;
  std::uint64_t ticket = 0;     // Voided if the attempt has not started, so that it never runs.
  std::uint64_t nextOffset = 0; // The offset of the next token that the entry needs.
};

// Entry to sidecar, only while attempts or KV reservations are outstanding: renews their leases.
struct Ping
{
  std::vector<AwaitedAttempt> awaited;
  std::vector<std::uint64_t> reservations; // The KV reservations whose leases are renewed.
  std::int64_t lastReceivedAgoMs =
    0; // Time since the entry last received a message from the sidecar.
};

// Sidecar to entry: the reply to a ping, also sent unasked when the engine has lost its memory.
struct Pong
{
  std::vector<std::uint64_t>
    lostAttempts; // Attempts that started but are unknown to the sidecar by now.
  std::vector<std::uint64_t> lostReservations; // KV reservations that are unknown to the sidecar.
};

// Entry to sidecar: reserve KV memory for a segment of a prompt that another engine runs.
struct ReserveRequest
{
  std::uint64_t reservation = 0;
  std::uint32_t tokens = 0;
};

// Sidecar to entry: the reply to ReserveRequest. Unless granted, no memory is reserved.
struct ReserveReply
{
  std::uint64_t reservation = 0;
  bool granted = false;
};

// Entry to sidecar: free a KV reservation and the KV cache stored in it.
struct ReserveRelease
{
  std::uint64_t reservation = 0;
};

// From the sidecar that runs a prompt to one with a KV reservation: store a segment's KV cache,
// which is the message's body.
struct SegmentTransfer
{
  std::uint64_t attempt = 0;
  std::uint32_t index = 0;
  std::uint64_t reservation = 0;
  std::uint32_t from = 0;
  std::uint32_t to = 0;
};

// The reply to SegmentTransfer.
struct SegmentTransferReply
{
  std::uint64_t attempt = 0;
  std::uint32_t index = 0;
  bool stored = false;
};

// Sidecar to entry: a segment is stored, and need not be prefilled again if this sidecar is lost.
struct SegmentStored
{
  std::uint64_t attempt = 0;
  std::uint32_t index = 0;
};

// Entry to the sidecar that runs a prompt: the reservation for a segment was lost; store the
// segment at a new location.
struct SegmentMoved
{
  std::uint64_t attempt = 0;
  std::uint32_t index = 0;
  SegmentLocation location;
};

// Sidecar to the entries that used it recently: the target is draining and accepts no new requests.
struct DrainingNotice
{
  std::string target;
};

// Sidecar to entries and other engines' sidecars: an engine crashed while running a fingerprint.
struct CrashNotice
{
  std::uint64_t fingerprint = 0;
  std::uint32_t crashes = 0;    // The number of crashes; two block the fingerprint.
  std::int64_t remainingMs = 0; // Time until the record expires.
};

// Entry to entries and sidecars: a crash suspect ran to its end and is cleared.
struct CrashClearedNotice
{
  std::uint64_t fingerprint = 0;
};

// Any process to a peer: requests the peer's rules if they are newer than a version.
struct RulesRequest
{
  std::uint64_t version = 0;
};

// The reply to RulesRequest. The message's body is the text of the rules.
struct RulesResponse
{
  std::uint64_t version = 0;
  std::uint64_t asOf = 0; // The sender had read all records of the rules stream before this offset.
};

// Sidecar to entries, sent only under the "pushed" choice strategy: the load of its engine, as the
// load factor of the mod_cluster paper.
struct LoadNotice
{
  std::string target;
  std::int64_t queuedMs = 0; // Predicted time for all pending prefill on the engine.
};

// Entry to entries: the load that the sender has placed on targets; a snapshot of all of it, or
// only the targets where it has changed.
struct EntryLoad
{
  std::vector<TargetLoadReport> reports;
  bool isSnapshot = false;
  std::uint64_t version = 0; // The version of the sender's configuration.
};

// Entry to entries: an attempt of this request was aborted, as the target's connection broke.
struct AbortNotice
{
  std::uint64_t fingerprint = 0;
};

// Entry to entries: a target has announced in a response that it is leaving.
struct TargetLeavingNotice
{
  std::string instance;
  std::int64_t startedAtMs = 0; // The Unix time of the start of its incarnation.
};

// Entry to an entry that has requested the configuration: which failure domains are evacuated.
struct EvacuationNotice
{
  EvacuationView view;
};

using Message =
  std::variant<ProbeRequest,
               ProbeReply,
               Start,
               Refused,
               Chunk,
               Finished,
               Cancel,
               Ping,
               Pong,
               DrainingNotice,
               CrashNotice,
               CrashClearedNotice,
               RulesRequest,
               RulesResponse,
               LoadNotice,
               ReserveRequest,
               ReserveReply,
               ReserveRelease,
               SegmentTransfer,
               SegmentTransferReply,
               SegmentStored,
               SegmentMoved,
               EntryLoad,
               AbortNotice,
               TargetLeavingNotice,
               DomainLoadReport,  // To an entry of another failure domain; relayed there.
               StoreReport,       // To the other entries of the failure domain.
               TargetCrashReport, // To all entries.
               QuarantineReport,  // To all entries, or relayed in another failure domain.
               EvacuationNotice>;

// The names of the messages in the order of the variant, used as metric labels.
inline constexpr std::array<std::string_view, std::variant_size_v<Message>> kMessageNames{
  "probe",          "probe-reply", "start",        "refused",      "chunk",      "finished",
  "cancel",         "ping",        "pong",         "leaving",      "suspect",    "cleared",
  "rules-ask",      "rules-tell",  "load",         "hold-ask",     "hold-reply", "hold-release",
  "span-put",       "span-held",   "span-done",    "span-moved",   "entry-load", "break",
  "target-leaving", "domain-load", "store-report", "target-crash", "quarantine", "evacuation"
};

// A message with its sender and the incarnations of both ends.
struct Envelope
{
  std::string from;                  // The sender's listening address, "ip:port".
  std::uint64_t fromIncarnation = 0; // Changes when the sender restarts.
  std::uint64_t toIncarnation = 0;   // The expected incarnation of the receiver; 0 for any.
  Message message;
  SharedBody body; // May be null.
};

// Encodes an envelope without its body. A frame on the wire is the length of this header as a
// 4-byte little-endian number, the header, and the body.
std::string
EncodeHeader(const Envelope& aEnvelope);

// Decodes a header. If it is malformed, returns nothing and sets aReason.
std::optional<Envelope>
DecodeHeader(std::string_view aHeader, std::string& aReason);

} // namespace sycamorepost

#endif // SYCAMOREPOST_MESSAGE_H_
