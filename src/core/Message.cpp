#include "sycamorepost/Message.h"

#include <nlohmann/json.hpp>

namespace sycamorepost {

using nlohmann::json;

namespace {

// Serializes fields as an array without their names, to keep probes small.
template<typename... Fields>
json
ToArray(const Fields&... aFields)
{
  json array = json::array();
  (array.push_back(json(aFields)), ...);
  return array;
}

// Deserializes fields in the order in which ToArray wrote them.
template<typename... Fields>
void
FromArray(const json& aJson, Fields&... aFields)
{
  if (!aJson.is_array() || aJson.size() != sizeof...(aFields)) {
    throw json::type_error::create(302, "wrong number of fields in message", nullptr);
  }
  std::size_t index = 0;
  (aJson.at(index++).get_to(aFields), ...);
}

// Deserializes an enumerator. A number above aLast, sent by a newer version, becomes aUnknown.
template<typename Enum>
void
FromNumber(const json& aJson, Enum& aValue, Enum aLast, Enum aUnknown)
{
  const auto number = aJson.get<std::uint64_t>();
  aValue = number <= static_cast<std::uint64_t>(aLast) ? static_cast<Enum>(number) : aUnknown;
}

} // namespace

static void
from_json(const json& aJson, Outcome& aValue)
{
  FromNumber(aJson, aValue, Outcome::Unknown, Outcome::Unknown);
}

static void
from_json(const json& aJson, ProbeVerdict& aValue)
{
  FromNumber(aJson, aValue, ProbeVerdict::Blocked, ProbeVerdict::Busy);
}

static void
from_json(const json& aJson, RefusalReason& aValue)
{
  FromNumber(aJson, aValue, RefusalReason::KeyMismatch, RefusalReason::Unknown);
}

// Defines to_json and from_json of a message. The members must be listed in order of declaration.
#define SYCAMOREPOST_WIRE(Type, ...)                                                               \
  static void to_json(json& aJson, const Type& aValue)                                             \
  {                                                                                                \
    const auto& [__VA_ARGS__] = aValue;                                                            \
    aJson = ToArray(__VA_ARGS__);                                                                  \
  }                                                                                                \
  static void from_json(const json& aJson, Type& aValue)                                           \
  {                                                                                                \
    auto& [__VA_ARGS__] = aValue;                                                                  \
    FromArray(aJson, __VA_ARGS__);                                                                 \
  }

SYCAMOREPOST_WIRE(RequestShape,
                  weight,
                  promptTokens,
                  maxTokens,
                  remainingMs,
                  fingerprint,
                  remoteTokens,
                  reservation,
                  alone)
SYCAMOREPOST_WIRE(PrefixHash, blocks, hash)
SYCAMOREPOST_WIRE(ProbeRequest, probe, shape, prefix, previousUnanswered)
SYCAMOREPOST_WIRE(ProbeReply,
                  probe,
                  verdict,
                  ticket,
                  firstTokenMs,
                  cachedTokens,
                  retryAfterMs,
                  rulesVersion,
                  capacityTokens)
SYCAMOREPOST_WIRE(SegmentLocation, address, reservation, from, to, stored)
SYCAMOREPOST_WIRE(Start,
                  ticket,
                  attempt,
                  requestId,
                  pool,
                  account,
                  shape,
                  method,
                  path,
                  headers,
                  resumeOffset,
                  key,
                  shards,
                  segments)
SYCAMOREPOST_WIRE(Refused, attempt, reason)
SYCAMOREPOST_WIRE(Chunk, attempt, offset, count)
SYCAMOREPOST_WIRE(Finished,
                  attempt,
                  outcome,
                  targetCrashed,
                  endOffset,
                  digest,
                  status,
                  headers,
                  reason)
SYCAMOREPOST_WIRE(Cancel, attempt, ticket)
SYCAMOREPOST_WIRE(AwaitedAttempt, attempt, ticket, nextOffset)
SYCAMOREPOST_WIRE(Ping, awaited, reservations, lastReceivedAgoMs)
SYCAMOREPOST_WIRE(Pong, lostAttempts, lostReservations)
SYCAMOREPOST_WIRE(DrainingNotice, target)
SYCAMOREPOST_WIRE(CrashNotice, fingerprint, crashes, remainingMs)
SYCAMOREPOST_WIRE(CrashClearedNotice, fingerprint)
SYCAMOREPOST_WIRE(RulesRequest, version)
SYCAMOREPOST_WIRE(RulesResponse, version, asOf)
SYCAMOREPOST_WIRE(LoadNotice, target, queuedMs)
SYCAMOREPOST_WIRE(ReserveRequest, reservation, tokens)
SYCAMOREPOST_WIRE(ReserveReply, reservation, granted)
SYCAMOREPOST_WIRE(ReserveRelease, reservation)
SYCAMOREPOST_WIRE(SegmentTransfer, attempt, index, reservation, from, to)
SYCAMOREPOST_WIRE(SegmentTransferReply, attempt, index, stored)
SYCAMOREPOST_WIRE(SegmentStored, attempt, index)
SYCAMOREPOST_WIRE(SegmentMoved, attempt, index, location)

// The view of the target's pace is left out when there is none, as in reports of versions without
// it.
static void
to_json(json& aJson, const TargetLoadReport& aValue)
{
  aJson = ToArray(aValue.instance,
                  aValue.running,
                  aValue.strictStreams,
                  aValue.kvTokens,
                  aValue.prefillMs,
                  aValue.pendingPrefillMs);
  if (aValue.paceSamples > 0) {
    aJson.push_back(aValue.pacePercent);
    aJson.push_back(aValue.paceSamples);
    aJson.push_back(aValue.paceAgeMs);
  }
}

static void
from_json(const json& aJson, TargetLoadReport& aValue)
{
  static constexpr std::size_t kFieldsWithoutPace = 6;
  if (aJson.is_array() && aJson.size() == kFieldsWithoutPace) {
    FromArray(aJson,
              aValue.instance,
              aValue.running,
              aValue.strictStreams,
              aValue.kvTokens,
              aValue.prefillMs,
              aValue.pendingPrefillMs);
    return;
  }
  FromArray(aJson,
            aValue.instance,
            aValue.running,
            aValue.strictStreams,
            aValue.kvTokens,
            aValue.prefillMs,
            aValue.pendingPrefillMs,
            aValue.pacePercent,
            aValue.paceSamples,
            aValue.paceAgeMs);
}

SYCAMOREPOST_WIRE(EntryLoad, reports, isSnapshot, version)
SYCAMOREPOST_WIRE(AbortNotice, fingerprint)
SYCAMOREPOST_WIRE(TargetLeavingNotice, instance, startedAtMs)
SYCAMOREPOST_WIRE(TopicPosition, era, offset)
SYCAMOREPOST_WIRE(EvacuationView, position, domains)
SYCAMOREPOST_WIRE(EvacuationNotice, view)
SYCAMOREPOST_WIRE(DomainLoadReport,
                  domain,
                  reporter,
                  configurationVersion,
                  entries,
                  isRelayed,
                  loads,
                  evacuations)
SYCAMOREPOST_WIRE(RegisteredTarget,
                  instance,
                  service,
                  address,
                  domain,
                  slots,
                  draining,
                  startedAtMs,
                  coldRemainingMs)
SYCAMOREPOST_WIRE(RegistrationReport, from, next, digest, changed, removed, servedForMs)
SYCAMOREPOST_WIRE(StoreReport,
                  configurationAgeMs,
                  registrationsAgeMs,
                  configurationVersion,
                  configurationPosition,
                  registrations,
                  evacuations)

SYCAMOREPOST_WIRE(TargetCrashReport, instance, startedAtMs, prompts)
SYCAMOREPOST_WIRE(QuarantinedParts, parts, trials, trialInMs)
SYCAMOREPOST_WIRE(QuarantineReport, quarantined, cleared, isRelayed, wantsReply)

namespace {

template<std::size_t Index = 0>
Message
ParseMessage(std::size_t aIndex, const json& aJson)
{
  if constexpr (Index < std::variant_size_v<Message>) {
    if (aIndex == Index) {
      return aJson.get<std::variant_alternative_t<Index, Message>>();
    }
    return ParseMessage<Index + 1>(aIndex, aJson);
  } else {
    throw json::other_error::create(501, "unknown message type: index out of range", nullptr);
  }
}

} // namespace

std::string
EncodeHeader(const Envelope& aEnvelope)
{
  json header = ToArray(static_cast<std::uint64_t>(aEnvelope.message.index()),
                        aEnvelope.from,
                        aEnvelope.fromIncarnation,
                        aEnvelope.toIncarnation);
  std::visit([&](const auto& aMessage) { header.push_back(json(aMessage)); }, aEnvelope.message);
  std::string bytes;
  json::to_msgpack(header, bytes);
  return bytes;
}

std::optional<Envelope>
DecodeHeader(std::string_view aHeader, std::string& aReason)
{
  try {
    const json header = json::from_msgpack(aHeader);
    std::uint64_t type = 0;
    json message;
    Envelope envelope;
    FromArray(
      header, type, envelope.from, envelope.fromIncarnation, envelope.toIncarnation, message);
    envelope.message = ParseMessage(type, message);
    return envelope;
  } catch (const json::exception& error) {
    aReason = error.what();
    return std::nullopt;
  }
}

} // namespace sycamorepost
