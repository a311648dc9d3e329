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
from_json(const json& aJson, RefuseReason& aValue)
{
  FromNumber(aJson, aValue, RefuseReason::KeyMismatch, RefuseReason::Unnamed);
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

SYCAMOREPOST_WIRE(WorkShape,
                  weight,
                  promptTokens,
                  maxTokens,
                  remainingMs,
                  fingerprint,
                  heldTokens,
                  hold,
                  alone)
SYCAMOREPOST_WIRE(PrefixMark, blocks, hash)
SYCAMOREPOST_WIRE(ProbeRequest, probe, shape, prefix, unheard)
SYCAMOREPOST_WIRE(ProbeReply,
                  probe,
                  verdict,
                  ticket,
                  firstTokenMs,
                  cachedTokens,
                  retryAfterMs,
                  rulesVersion,
                  capacityTokens)
SYCAMOREPOST_WIRE(SpanPlace, address, hold, from, to, done)
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
                  spans)
SYCAMOREPOST_WIRE(Refused, attempt, reason)
SYCAMOREPOST_WIRE(Chunk, attempt, offset, count)
SYCAMOREPOST_WIRE(Finished, attempt, outcome, targetDied, end, digest, status, headers, reason)
SYCAMOREPOST_WIRE(Cancel, attempt, ticket)
SYCAMOREPOST_WIRE(Waiting, attempt, ticket, next)
SYCAMOREPOST_WIRE(Ping, waiting, holds, heardAgoMs)
SYCAMOREPOST_WIRE(Pong, lost, lostHolds)
SYCAMOREPOST_WIRE(LeavingNotice, target)
SYCAMOREPOST_WIRE(SuspectNotice, fingerprint, deaths, leftMs)
SYCAMOREPOST_WIRE(ClearedNotice, fingerprint)
SYCAMOREPOST_WIRE(RulesAsk, version)
SYCAMOREPOST_WIRE(RulesTell, version, asOf)
SYCAMOREPOST_WIRE(LoadNotice, target, queuedMs)
SYCAMOREPOST_WIRE(HoldAsk, hold, tokens)
SYCAMOREPOST_WIRE(HoldReply, hold, granted)
SYCAMOREPOST_WIRE(HoldRelease, hold)
SYCAMOREPOST_WIRE(SpanPut, attempt, index, hold, from, to)
SYCAMOREPOST_WIRE(SpanHeld, attempt, index, held)
SYCAMOREPOST_WIRE(SpanDone, attempt, index)
SYCAMOREPOST_WIRE(SpanMoved, attempt, index, place)
SYCAMOREPOST_WIRE(TargetShare, instance, running, tight, memory, readMs, unreadMs)
SYCAMOREPOST_WIRE(EntryLoad, shares, whole, version)
SYCAMOREPOST_WIRE(BreakNotice, fingerprint)

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
