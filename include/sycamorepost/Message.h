// Offers the typed messages between the system's own processes and their codec. A message is a
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
#include "sycamorepost/forward/TargetShare.h"

namespace sycamorepost {

// What a request costs; the sidecar decides admission from this.
struct WorkShape
{
  double weight = 1;              // The account's share under contention.
  std::uint32_t promptTokens = 0; // 0 for plain calls.
  std::uint32_t maxTokens = 0;
  std::int64_t remainingMs = 0;  // Time left for the whole request.
  std::uint64_t fingerprint = 0; // Hash of the account and the body.
  std::uint32_t heldTokens = 0;  // Prompt tokens whose KV cache other engines hold.
  std::uint64_t hold = 0;        // The hold that keeps room for this work; 0 when there is none.
  bool alone = false;            // A suspect that must run with no other work beside it.
};

// Entry to sidecar: could you take this, and how soon?
struct ProbeRequest
{
  std::uint64_t probe = 0;
  WorkShape shape;
  std::vector<PrefixMark> prefix;
  bool unheard = false; // The entry's last probes had no answer: the link back may be dead.
};

// What a sidecar says to a probe.
enum class ProbeVerdict
{
  Granted,  // A ticket is held for a short time.
  Busy,     // It cannot finish the work in time now.
  TooLarge, // The work never fits this target.
  Leaving,  // The target takes no new work.
  Suspect,  // The request's fingerprint may only run alone on a quarantine engine.
  Blocked,  // The request's fingerprint is blocked.
};

// Sidecar to entry: the answer to a probe.
struct ProbeReply
{
  std::uint64_t probe = 0;
  ProbeVerdict verdict = ProbeVerdict::Busy;
  std::uint64_t ticket = 0;       // Valid once, and only for a short time.
  std::int64_t firstTokenMs = 0;  // Predicted time to first token.
  std::uint32_t cachedTokens = 0; // Prompt tokens that the target's cache holds.
  std::int64_t retryAfterMs = 0;  // When Busy: the predicted wait.
  std::uint64_t rulesVersion = 0;
  std::uint64_t capacityTokens = 0; // When TooLarge: the engine's memory.
};

// A part of a prompt whose KV cache is held by another engine than the one that runs it.
struct SpanPlace
{
  std::string address;    // The holder's sidecar.
  std::uint64_t hold = 0; // The hold under which it lies there.
  std::uint32_t from = 0; // Token offsets in the prompt.
  std::uint32_t to = 0;
  bool done = false; // The holder has it.
};

// Entry to sidecar: run this under a ticket. The body of the message is the request's body.
struct Start
{
  std::uint64_t ticket = 0;
  std::uint64_t attempt = 0;
  std::string requestId;
  std::string pool; // The model or service.
  std::string account;
  WorkShape shape;
  std::string method;
  std::string path;
  std::vector<Field> headers;
  std::uint64_t resumeOffset = 0; // Tokens that the caller already has.
  std::string key;                // Hash of account and idempotency key; empty when repeatable.
  std::uint32_t shards = 0;       // The number of key streams of the service.
  std::vector<SpanPlace> spans;   // Leading parts of a prompt that no engine holds alone.
};

// Why a sidecar did not start an attempt.
enum class RefuseReason
{
  Unnamed,     // A reason that this version does not know.
  NoTicket,    // The ticket is unknown or has expired.
  Leaving,     // The target takes no new work.
  Busy,        // The work would not finish in time.
  Blocked,     // The fingerprint is blocked.
  Withdrawn,   // The entry withdrew the attempt before it started.
  Incarnation, // The message named an earlier incarnation of the sidecar.
  NotReached,  // The target did not take the connection.
  KeyMismatch, // The key belongs to a call with another body.
};

inline constexpr std::array<std::string_view, 9> kRefuseReasonNames{
  "unnamed",   "no-ticket",   "leaving",     "busy",        "blocked",
  "withdrawn", "incarnation", "not-reached", "key-mismatch"
};

// Sidecar to entry: the attempt did not run and never will.
struct Refused
{
  std::uint64_t attempt = 0;
  RefuseReason reason = RefuseReason::NoTicket;
};

// Sidecar to entry: a piece of the answer. The body of the message is its text.
struct Chunk
{
  std::uint64_t attempt = 0;
  std::uint64_t offset = 0; // The token offset of the first token in the whole answer.
  std::uint32_t count = 0;  // Tokens in this chunk.
};

// Sidecar to entry: the attempt has ended. The body is a plain service's answer.
struct Finished
{
  std::uint64_t attempt = 0;
  Outcome outcome = Outcome::Unknown;
  bool targetDied = false;  // The engine died while it ran this attempt.
  std::uint64_t end = 0;    // The token offset after the last token.
  std::uint64_t digest = 0; // The digest of the text that this attempt produced.
  int status = 0;           // A plain service's status.
  std::vector<Field> headers;
  std::string reason; // Why it failed.
};

// Entry to sidecar: stop this attempt and never start it.
struct Cancel
{
  std::uint64_t attempt = 0;
  std::uint64_t ticket = 0;
};

// An attempt that an entry still waits for.
struct Waiting
{
  std::uint64_t attempt = 0;
  std::uint64_t ticket = 0; // Voided when the attempt never arrived, so that it never starts.
  std::uint64_t next = 0;   // The next token offset that the entry needs.
};

// Entry to sidecar, only while attempts are outstanding: extends their leases.
struct Ping
{
  std::vector<Waiting> waiting;
  std::vector<std::uint64_t> holds; // Holds whose leases are extended too.
  std::int64_t heardAgoMs = 0;      // How long the entry has heard nothing from the sidecar.
};

// Sidecar to entry: the answer to a ping.
struct Pong
{
  std::vector<std::uint64_t> lost;      // Attempts that the sidecar does not know.
  std::vector<std::uint64_t> lostHolds; // Holds that the sidecar does not know.
};

// Entry to sidecar: hold memory for a part of a prompt that runs elsewhere.
struct HoldAsk
{
  std::uint64_t hold = 0;
  std::uint32_t tokens = 0;
};

// Sidecar to entry: the answer to HoldAsk. A hold that is not granted takes no memory.
struct HoldReply
{
  std::uint64_t hold = 0;
  bool granted = false;
};

// Entry to sidecar: free a hold and what lies under it.
struct HoldRelease
{
  std::uint64_t hold = 0;
};

// Sidecar that runs a prompt to the holder of a part: take this KV cache. It is the message's body.
struct SpanPut
{
  std::uint64_t attempt = 0;
  std::uint32_t index = 0;
  std::uint64_t hold = 0;
  std::uint32_t from = 0;
  std::uint32_t to = 0;
};

// The holder's answer to SpanPut.
struct SpanHeld
{
  std::uint64_t attempt = 0;
  std::uint32_t index = 0;
  bool held = false;
};

// Sidecar to entry: a part is held, and need not be computed again if this sidecar is lost.
struct SpanDone
{
  std::uint64_t attempt = 0;
  std::uint32_t index = 0;
};

// Entry to the sidecar that runs a prompt: a holder was lost; this part goes to another one.
struct SpanMoved
{
  std::uint64_t attempt = 0;
  std::uint32_t index = 0;
  SpanPlace place;
};

// Sidecar to its recent entries: this target takes no new work.
struct LeavingNotice
{
  std::string target;
};

// Sidecar to entries: this fingerprint was running when engines died.
struct SuspectNotice
{
  std::uint64_t fingerprint = 0;
  std::uint32_t deaths = 0; // Engines that died; at two the fingerprint is blocked.
  std::int64_t leftMs = 0;  // How long the notice stays in force.
};

// Entry to entries: this fingerprint finished, so it is no suspect.
struct ClearedNotice
{
  std::uint64_t fingerprint = 0;
};

// Any process to a peer: send me your rules if they are newer.
struct RulesAsk
{
  std::uint64_t version = 0;
};

// The answer to RulesAsk. The body of the message is the rule text.
struct RulesTell
{
  std::uint64_t version = 0;
  std::uint64_t asOf = 0; // The sender had read all records of the rules stream before this offset.
};

// Sidecar to entries, only under the pushed strategy: the load factor of the mod_cluster paper.
struct LoadNotice
{
  std::string target;
  std::int64_t queuedMs = 0; // Predicted time to drain the engine's queue.
};

// Entry to entries: my load where it has changed, or the whole of it.
struct EntryLoad
{
  std::vector<TargetShare> shares;
  bool whole = false;
  std::uint64_t version = 0; // Of the sender's configuration.
};

// Entry to entries: this request broke off where it ran.
struct BreakNotice
{
  std::uint64_t fingerprint = 0;
};

using Message = std::variant<ProbeRequest,
                             ProbeReply,
                             Start,
                             Refused,
                             Chunk,
                             Finished,
                             Cancel,
                             Ping,
                             Pong,
                             LeavingNotice,
                             SuspectNotice,
                             ClearedNotice,
                             RulesAsk,
                             RulesTell,
                             LoadNotice,
                             HoldAsk,
                             HoldReply,
                             HoldRelease,
                             SpanPut,
                             SpanHeld,
                             SpanDone,
                             SpanMoved,
                             EntryLoad,
                             BreakNotice>;

// The message names in variant order, used on the wire, in metrics and in dumps.
inline constexpr std::array<std::string_view, std::variant_size_v<Message>> kMessageNames{
  "probe",     "probe-reply", "start",     "refused",    "chunk",      "finished",
  "cancel",    "ping",        "pong",      "leaving",    "suspect",    "cleared",
  "rules-ask", "rules-tell",  "load",      "hold-ask",   "hold-reply", "hold-release",
  "span-put",  "span-held",   "span-done", "span-moved", "entry-load", "break"
};

// A message with its addresses.
struct Envelope
{
  std::string from;                  // The sender's listening address, "ip:port".
  std::uint64_t fromIncarnation = 0; // Changes at each start of the sender.
  std::uint64_t toIncarnation = 0;   // The receiver's expected incarnation; 0 means any.
  Message message;
  SharedBody body; // May be null.
};

// Encodes all but the body. The frame on the wire is a 4-byte little-endian length of this header,
// the header, and the body's bytes.
std::string
EncodeHeader(const Envelope& aEnvelope);

// Decodes a header; on failure returns nothing and sets the reason.
std::optional<Envelope>
DecodeHeader(std::string_view aHeader, std::string& aReason);

} // namespace sycamorepost

#endif // SYCAMOREPOST_MESSAGE_H_
