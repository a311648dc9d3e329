// Declares the reducer that makes a sidecar's decisions: it handles every event of the role and
// returns effects as data. It makes the final admission decision for its target. It does no I/O and
// reads no clock.
#ifndef SYCAMOREPOST_SIDECAR_REDUCER_H_
#define SYCAMOREPOST_SIDECAR_REDUCER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "sycamorepost/Effects.h"
#include "sycamorepost/Types.h"

namespace sycamorepost {

// Event: the engine has produced output text.
struct EngineText
{
  std::uint64_t run = 0;
  std::uint64_t offset = 0; // The first token's offset in the whole response.
  std::uint32_t count = 0;
  std::string text;
};

// How a run on the engine ended.
enum class EngineEndKind
{
  Done,
  NotConnected, // The connection to the engine was not established, so no byte was sent.
  Refused,      // The engine has not enough free memory at present.
  Lost,         // The stream broke; the next report shows whether the engine crashed.
};

// Event: a run on the engine has ended.
struct EngineEnded
{
  std::uint64_t run = 0;
  EngineEndKind kind = EngineEndKind::Lost;
  std::uint32_t cachedTokens = 0; // Prompt tokens found in the engine's prefix cache.
  double prefillSeconds = 0;      // Engine time spent on prefill of the other prompt tokens.
  double decodeSeconds = 0;       // Time from the first token to the last.
  std::string kvCache;            // The exported KV cache, if the run prefilled a segment.
};

// Event: an import of a KV cache into the engine has ended.
struct EngineImported
{
  std::uint64_t reservation = 0;
  bool stored = false;
  std::string replyTo; // This and the fields below are copied from EngineImport.
  std::uint64_t attempt = 0;
  std::uint32_t index = 0;
};

// The engine's state as found by a check.
enum class EngineState
{
  Up,
  Down,         // The connection was refused.
  Unresponsive, // The check timed out.
};

// Event: a check of the engine has ended; all but the state is valid only if the engine is up.
struct EngineReport
{
  EngineState state = EngineState::Unresponsive;
  std::string incarnation;            // Changes when the engine restarts.
  std::uint64_t capacityTokens = 0;   // The size of the KV memory.
  std::vector<std::uint64_t> running; // The ids of the runs on the engine.
  std::vector<std::uint64_t>
    storedReservations; // The reservations whose KV cache the engine stores.
};

// How a call to a plain service ended.
enum class ServiceEndKind
{
  Responded,
  NotConnected, // The connection was not established, so no byte was sent and the call did not run.
  Lost,         // The call may have run.
};

// Event: a call to a plain service has ended.
struct ServiceEnded
{
  std::uint64_t call = 0;
  ServiceEndKind kind = ServiceEndKind::Lost;
  int status = 0;
  std::vector<Field> headers;
  std::string body;
};

// How an append to the log ended.
enum class AppendEndKind
{
  Appended,
  Refused, // The log rejected the record.
  Lost,    // The record may or may not be in the log, or may still be appended.
};

// Event: an append to the log has ended.
struct LogAppendEnded
{
  std::string stream;
  std::string recordId;
  AppendEndKind kind = AppendEndKind::Lost;
  std::uint64_t offset = 0;
};

// Event: a read of the log has ended.
struct LogReadEnded
{
  std::string stream;
  bool ok = false;
  std::vector<std::string> records;
  std::uint64_t next = 0; // The offset after the last record read, or of the log's oldest record.
  bool atEnd = false;     // The read reached the end of the stream.
};

// Event: the target must drain: it accepts no new requests from now on.
struct DrainRequested
{};

using SidecarEvent = std::variant<MessageReceived,
                                  PeerUnreachable,
                                  RulesChanged,
                                  FleetChanged,
                                  Wake,
                                  EngineText,
                                  EngineEnded,
                                  EngineImported,
                                  EngineReport,
                                  ServiceEnded,
                                  LogAppendEnded,
                                  LogReadEnded,
                                  DrainRequested>;

// Effect: run a completion, or the prefill of a prompt segment, on the engine. Each run has its own
// id, as an attempt may have several runs.
struct EngineRun
{
  std::uint64_t run = 0;
  std::string requestId;
  std::string path;
  std::uint64_t resumeOffset = 0;
  std::int64_t priority = 0; // The engine runs the smallest value first.
  std::uint32_t segmentFrom =
    0; // With segmentTo: only prefill this segment, and export its KV cache.
  std::uint32_t segmentTo = 0;
  std::uint32_t remoteTokens = 0; // Leading prompt tokens whose KV cache other engines store.
  SharedBody body;
};

// Effect: import a KV cache that another engine exported into the engine.
struct EngineImport
{
  std::uint64_t reservation = 0;
  std::uint32_t tokens = 0;
  SharedBody kvCache;
  std::string replyTo;
  std::uint64_t attempt = 0;
  std::uint32_t index = 0;
};

// Effect: free an imported KV cache on the engine.
struct EngineFree
{
  std::uint64_t reservation = 0;
};

// Effect: cancel a run on the engine, which frees its memory.
struct EngineCancel
{
  std::uint64_t run = 0;
};

// Effect: request the engine's state; the result is an EngineReport.
struct EngineCheck
{};

// Effect: call the plain service, without retries.
struct ServiceCall
{
  std::uint64_t call = 0;
  std::string requestId;
  std::string method;
  std::string path;
  std::vector<Field> headers;
  SharedBody body;
  Duration timeout{};
};

// Effect: append one record to a stream of the log.
struct LogAppend
{
  std::string stream;
  std::string recordId;
  std::string data;
};

// Effect: read a stream of the log from an offset.
struct LogRead
{
  std::string stream;
  std::uint64_t from = 0;
  Duration wait{}; // How long the log may delay its response if there is nothing to read.
};

using SidecarEffect = std::variant<SendMessage,
                                   ResetConnection,
                                   CountEvent,
                                   LogLine,
                                   EngineRun,
                                   EngineCancel,
                                   EngineImport,
                                   EngineFree,
                                   EngineCheck,
                                   ServiceCall,
                                   LogAppend,
                                   LogRead>;

// The settings of a SidecarReducer.
struct SidecarConfig
{
  std::string name;    // The target's VM name.
  std::string address; // The sidecar's message address.
  std::string domain;
  std::string pool;
  TargetKind kind = TargetKind::Engine;
  std::uint64_t incarnation = 0;
  std::uint32_t maxRunning = 64;
  Duration ticketTtl = std::chrono::seconds(1);
  Duration leaseDuration = std::chrono::seconds(60); // Of attempts and KV reservations.
  // How long an ended attempt is kept for its entry.
  Duration finishedTtl = std::chrono::seconds(3);
  // After this, the attempts of an unreachable entry are cancelled.
  Duration unreachableTimeout = std::chrono::seconds(5);
  Duration reportInterval = std::chrono::milliseconds(500); // Between checks of the engine.
  Duration appendInterval = std::chrono::milliseconds(10); // Minimum between appends to one stream.
  Duration appendRetryDelay = std::chrono::milliseconds(200); // After a failed append or read.
  // How long to wait for the result of a call that another sidecar runs.
  Duration foreignResultTimeout = std::chrono::seconds(2);
};

// Decides on admission, runs, leases and KV reservations of one target. Not thread-safe.
class SidecarReducer
{
public:
  explicit SidecarReducer(SidecarConfig aConfig);
  ~SidecarReducer();
  SidecarReducer(const SidecarReducer&) = delete;
  SidecarReducer& operator=(const SidecarReducer&) = delete;

  // Handles one event and returns its effects, which must be executed in this order.
  std::vector<SidecarEffect> Step(const SidecarEvent& aEvent, Instant aNow);

  // Returns when the next Wake is due; nothing if no timer is set.
  std::optional<Instant> NextWake() const;

  // Returns whether draining was requested and no attempt, KV reservation or record is left.
  bool Drained() const;

  // Returns the state for operators.
  nlohmann::json Dump(Instant aNow) const;

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_SIDECAR_REDUCER_H_
