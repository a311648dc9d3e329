#include "runtime/WherePage.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <sstream>

#include <boost/url.hpp>
#include <nlohmann/json.hpp>

#include "sycamorepost/internal/Text.h"

namespace sycamorepost {

using nlohmann::json;

namespace {

// Excluded targets that the text lists; JSON has them all.
constexpr std::size_t kMaxExcludedLines = 10;

AdminReply
MakeError(int aStatus, const std::string& aReason)
{
  const json body{ { "error", aReason } };
  return { aStatus, body.dump(2, ' ', false, json::error_handler_t::replace) + "\n" };
}

// Decodes the query of a request. On failure returns nothing and sets aReason.
std::optional<WhereParameters>
DecodeQuery(const std::string& aTarget, std::string& aReason)
{
  struct Parameter
  {
    const char* name;
    std::string WhereParameters::*value;
  };
  static constexpr std::array<Parameter, 5> kParameters{ {
    { "host", &WhereParameters::host },
    { "path", &WhereParameters::path },
    { "account", &WhereParameters::account },
    { "tokens", &WhereParameters::tokens },
    { "output", &WhereParameters::output },
  } };
  const auto url = boost::urls::parse_origin_form(aTarget);
  if (!url) {
    aReason = "the query is not percent-encoded correctly";
    return std::nullopt;
  }
  WhereParameters parameters;
  for (const auto& param : url->params()) {
    const auto* known =
      std::find_if(kParameters.begin(), kParameters.end(), [&](const Parameter& aKnown) {
        return param.key == aKnown.name;
      });
    if (known == kParameters.end()) {
      aReason = "unknown parameter '" + param.key + "'";
      return std::nullopt;
    }
    parameters.*known->value = param.value;
  }
  return parameters;
}

bool
ParseTokens(const char* aName,
            const std::string& aText,
            std::uint32_t& aTokens,
            std::string& aReason)
{
  const auto number =
    aText.empty() ? std::optional<std::uint32_t>(0) : internal::ParseNumber<std::uint32_t>(aText);
  if (!number) {
    aReason =
      "'" + aText + "' is not a valid number of " + aName + " tokens: it must be 0 to 4294967295";
    return false;
  }
  aTokens = *number;
  return true;
}

json
ToJson(const ExplainedTarget& aTarget)
{
  json target{ { "target", aTarget.instance },
               { "address", aTarget.address },
               { "domain", aTarget.domain } };
  if (aTarget.firstEventMs) {
    target["first_event_ms"] = *aTarget.firstEventMs;
  }
  if (!aTarget.reason.empty()) {
    target["reason"] = aTarget.reason;
  }
  for (const auto& [name, value] : aTarget.facts) {
    target["facts"].push_back({ { "name", name }, { "value", value } });
  }
  return target;
}

json
ToJson(const std::vector<ExplainedTarget>& aTargets)
{
  json targets = json::array();
  for (const ExplainedTarget& target : aTargets) {
    targets.push_back(ToJson(target));
  }
  return targets;
}

json
ToJson(const ExplainedRefusal& aRefusal)
{
  json refusal{ { "status", aRefusal.status }, { "reason", aRefusal.reason } };
  if (aRefusal.minRetryAfter && aRefusal.maxRetryAfter) {
    refusal["retry_after_min_ms"] = ToMillis(*aRefusal.minRetryAfter);
    refusal["retry_after_max_ms"] = ToMillis(*aRefusal.maxRetryAfter);
  }
  return refusal;
}

json
ToJson(const PlacementExplanation& aExplanation)
{
  json body{ { "configuration", aExplanation.configurationVersion } };
  if (aExplanation.heldFor) {
    body["held_ms"] = ToMillis(*aExplanation.heldFor);
    body["held_until"] = aExplanation.heldUntil;
    if (aExplanation.route.empty()) {
      return body;
    }
  }
  body["route"] = aExplanation.route;
  body["account"] = aExplanation.account;
  body["service"] = aExplanation.service;
  body["services"] = json::array();
  for (const WeightedService& share : aExplanation.services) {
    body["services"].push_back({ { "service", share.service }, { "weight", share.weight } });
  }
  if (aExplanation.heldFor) {
    return body;
  }
  if (aExplanation.refusal) {
    body["refusal"] = ToJson(*aExplanation.refusal);
  }
  if (aExplanation.target) {
    body["target"] = ToJson(*aExplanation.target);
    body["random_among"] = aExplanation.equalChoices;
  }
  if (aExplanation.firstEventMs) {
    body["first_event_ms"] = *aExplanation.firstEventMs;
    body["accepted_first_event_ms"] = *aExplanation.maxFirstEventMs;
  }
  body["helpers"] = json::array();
  for (const ExplainedHelper& helper : aExplanation.helpers) {
    json one = ToJson(helper.target);
    one["prefill_ms"] = helper.prefillMs;
    one["reserve_tokens"] = helper.reserveTokens;
    body["helpers"].push_back(std::move(one));
  }
  body["candidates"] = aExplanation.candidates;
  body["alternatives"] = ToJson(aExplanation.alternatives);
  body["excluded"] = ToJson(aExplanation.excluded);
  return body;
}

// ---- Text for operators ----

std::string
FormatTarget(const json& aTarget)
{
  std::ostringstream text;
  text << aTarget.at("target").get<std::string>() << " ("
       << aTarget.at("address").get<std::string>() << ", "
       << aTarget.at("domain").get<std::string>();
  for (const json& fact : aTarget.value("facts", json::array())) {
    text << ", " << fact.at("name").get<std::string>() << " "
         << fact.at("value").get<std::string>();
  }
  text << ")";
  return text.str();
}

// Formats a time in milliseconds that a prediction contains; empty without one.
std::string
FormatPrediction(const json& aFrom, const char* aPrefix)
{
  return aFrom.contains("first_event_ms")
           ? aPrefix + std::to_string(std::lround(aFrom.at("first_event_ms").get<double>())) + " ms"
           : std::string();
}

void
PrintRoute(const json& aExplanation, std::ostream& aText)
{
  const std::string account = aExplanation.at("account");
  aText << "route " << aExplanation.at("route").get<std::string>() << ", account "
        << (account.empty() ? "(none)" : account) << ", configuration "
        << aExplanation.at("configuration") << "\n";
  const json& services = aExplanation.at("services");
  for (const json& share : services) {
    const std::string name = share.at("service");
    aText << "service " << name;
    if (services.size() > 1) {
      aText << ", weight " << share.at("weight")
            << (name == aExplanation.at("service") ? ", chosen at random by weight" : "");
    }
    aText << "\n";
  }
}

void
PrintDecision(const json& aExplanation, std::ostream& aText)
{
  if (aExplanation.contains("refusal")) {
    const json& refusal = aExplanation.at("refusal");
    aText << "refused with " << refusal.at("status") << ": "
          << refusal.at("reason").get<std::string>();
    if (refusal.contains("retry_after_min_ms")) {
      aText << "; Retry-After " << refusal.at("retry_after_min_ms") << " to "
            << refusal.at("retry_after_max_ms") << " ms";
    }
    aText << "\n";
  }
  if (!aExplanation.contains("target")) {
    return;
  }
  aText << (aExplanation.contains("refusal") ? "otherwise to " : "to ")
        << FormatTarget(aExplanation.at("target"));
  const auto equalChoices = aExplanation.at("random_among").get<std::size_t>();
  if (equalChoices > 1) {
    aText << ", chosen at random among " << equalChoices << " that are close";
  }
  aText << "\n";
  for (const json& helper : aExplanation.at("helpers")) {
    aText << "helped by " << FormatTarget(helper) << ": prefill "
          << std::lround(helper.at("prefill_ms").get<double>()) << " ms, reserved "
          << helper.at("reserve_tokens") << " tokens\n";
  }
  if (aExplanation.contains("first_event_ms")) {
    aText << FormatPrediction(aExplanation, "first event in ") << " (accepted up to "
          << std::lround(aExplanation.at("accepted_first_event_ms").get<double>()) << " ms)\n";
  }
}

} // namespace

std::optional<WhereQuestion>
ParseWhereQuestion(const WhereParameters& aParameters, std::string& aReason)
{
  WhereQuestion question{ aParameters.host, aParameters.path, aParameters.account };
  if (question.host.empty() || question.path.empty()) {
    aReason = question.host.empty() ? "the host is missing" : "the path is missing";
    return std::nullopt;
  }
  if (question.path.front() != '/') {
    aReason = "the path '" + question.path + "' does not begin with a slash";
    return std::nullopt;
  }
  if (!ParseTokens("prompt", aParameters.tokens, question.promptTokens, aReason) ||
      !ParseTokens("output", aParameters.output, question.outputTokens, aReason)) {
    return std::nullopt;
  }
  return question;
}

std::string
EncodeWhereQuestion(const WhereQuestion& aQuestion)
{
  boost::urls::url url;
  url.set_path("/where");
  url.params().append({ "host", aQuestion.host });
  url.params().append({ "path", aQuestion.path });
  if (!aQuestion.account.empty()) {
    url.params().append({ "account", aQuestion.account });
  }
  url.params().append({ "tokens", std::to_string(aQuestion.promptTokens) });
  url.params().append({ "output", std::to_string(aQuestion.outputTokens) });
  return url.buffer();
}

AdminReply
ServeWhere(const HttpRequest& aRequest,
           const RouteTable* aTable,
           const ForwardReducer& aReducer,
           Instant aNow)
{
  std::string reason;
  const auto parameters = DecodeQuery(aRequest.target, reason);
  const auto question = parameters ? ParseWhereQuestion(*parameters, reason) : std::nullopt;
  if (!question) {
    return MakeError(400, reason);
  }
  ForwardRequest request;
  request.method = "POST";
  request.host = question->host;
  request.path = question->path;
  request.promptTokens = question->promptTokens;
  request.outputTokens = question->outputTokens;
  if (!question->account.empty() && aTable) {
    // With a key of the account, the request passes the same admission as a caller's.
    const std::string* key = aTable->FindKeyOf(question->account);
    if (!key) {
      return MakeError(404, "the account '" + question->account + "' is unknown or has no key");
    }
    request.key = *key;
  }
  const PlacementExplanation explanation = aReducer.Explain(request, aNow);
  if (explanation.refusal && explanation.refusal->status == 404) {
    return MakeError(404, explanation.refusal->reason);
  }
  return { 200, ToJson(explanation).dump(2, ' ', false, json::error_handler_t::replace) + "\n" };
}

std::string
FormatWhere(const json& aExplanation)
{
  std::ostringstream text;
  if (aExplanation.contains("held_ms")) {
    if (aExplanation.contains("route")) {
      PrintRoute(aExplanation, text);
    }
    text << "held for up to " << aExplanation.at("held_ms") << " ms, until "
         << aExplanation.at("held_until").get<std::string>() << "\n";
    return text.str();
  }
  PrintRoute(aExplanation, text);
  PrintDecision(aExplanation, text);
  const json& alternatives = aExplanation.at("alternatives");
  if (!alternatives.empty()) {
    text << "next best of " << aExplanation.at("candidates") << " candidates:\n";
  }
  for (const json& target : alternatives) {
    text << "  " << FormatTarget(target) << FormatPrediction(target, ", alone ") << ": "
         << target.at("reason").get<std::string>() << "\n";
  }
  const json& excluded = aExplanation.at("excluded");
  for (std::size_t i = 0; i < std::min(excluded.size(), kMaxExcludedLines); ++i) {
    text << (i == 0 ? "ruled out:\n" : "") << "  " << FormatTarget(excluded[i]) << ": "
         << excluded[i].at("reason").get<std::string>() << "\n";
  }
  if (excluded.size() > kMaxExcludedLines) {
    text << "  and " << excluded.size() - kMaxExcludedLines << " more\n";
  }
  return text.str();
}

std::string
ReadWhereError(int aStatus, const json& aBody)
{
  return aBody.is_object() && aBody.contains("error")
           ? aBody.value("error", "")
           : "the process responded with " + std::to_string(aStatus) +
               "; only forwarding entries serve /where";
}

} // namespace sycamorepost
