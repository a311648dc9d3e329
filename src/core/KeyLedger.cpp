#include "sycamorepost/KeyLedger.h"

#include <array>

#include <nlohmann/json.hpp>

namespace sycamorepost {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KeyIntent, id, key, digest)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KeyResult, id, key, status, headers, body, bodyKept)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KeyVoid, id, key)

namespace {

// The names of the records in the order of the variant.
constexpr std::array<const char*, 3> kRecordNames{ "intent", "result", "void" };

nlohmann::json
ToJson(const KeyRecord& aRecord)
{
  nlohmann::json json;
  std::visit([&](const auto& aValue) { json[kRecordNames.at(aRecord.index())] = aValue; }, aRecord);
  return json;
}

KeyRecord
FromJson(const nlohmann::json& aJson)
{
  if (aJson.contains(kRecordNames[0])) {
    return aJson.at(kRecordNames[0]).get<KeyIntent>();
  }
  if (aJson.contains(kRecordNames[1])) {
    return aJson.at(kRecordNames[1]).get<KeyResult>();
  }
  return aJson.at(kRecordNames[2]).get<KeyVoid>();
}

} // namespace

std::string
EncodeKeyRecords(const std::vector<KeyRecord>& aRecords)
{
  nlohmann::json list = nlohmann::json::array();
  for (const KeyRecord& record : aRecords) {
    list.push_back(ToJson(record));
  }
  const std::vector<std::uint8_t> bytes = nlohmann::json::to_msgpack(list);
  return { bytes.begin(), bytes.end() };
}

std::optional<std::vector<KeyRecord>>
DecodeKeyRecords(std::string_view aData)
{
  try {
    std::vector<KeyRecord> records;
    for (const nlohmann::json& json : nlohmann::json::from_msgpack(aData)) {
      records.push_back(FromJson(json));
    }
    return records;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

void
KeyLedger::Apply(const KeyRecord& aRecord, Instant aNow)
{
  if (const auto* intent = std::get_if<KeyIntent>(&aRecord)) {
    if (!this->voidedIntents.contains(intent->id)) {
      this->entries.emplace(intent->key, KeyEntry{ *intent, std::nullopt, aNow });
    }
    return;
  }
  if (const auto* result = std::get_if<KeyResult>(&aRecord)) {
    const auto entry = this->entries.find(result->key);
    if (entry != this->entries.end() && entry->second.intent.id == result->id) {
      entry->second.result = *result;
    }
    return;
  }
  const auto& voidRecord = std::get<KeyVoid>(aRecord);
  this->voidedIntents.emplace(voidRecord.id, aNow);
  const auto entry = this->entries.find(voidRecord.key);
  if (entry != this->entries.end() && entry->second.intent.id == voidRecord.id) {
    this->entries.erase(entry);
  }
}

void
KeyLedger::Prune(Instant aBefore)
{
  std::erase_if(this->entries,
                [aBefore](const auto& aItem) { return aItem.second.readAt < aBefore; });
  std::erase_if(this->voidedIntents,
                [aBefore](const auto& aItem) { return aItem.second < aBefore; });
}

const KeyEntry*
KeyLedger::Find(const std::string& aKey) const
{
  const auto entry = this->entries.find(aKey);
  return entry == this->entries.end() ? nullptr : &entry->second;
}

} // namespace sycamorepost
