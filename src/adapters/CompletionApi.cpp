#include "adapters/CompletionApi.h"

#include <ctime>

#include <nlohmann/json.hpp>

namespace sycamorepost {

namespace {

using nlohmann::json;

constexpr const char* kCompletionsPath = "/v1/completions";
constexpr const char* kChatPath = "/v1/chat/completions";
constexpr std::uint32_t kDefaultMaxTokens = 16;
constexpr std::uint32_t kMaxTokensLimit = 100'000;
constexpr std::size_t kBytesPerToken = 4;

// Returns the text that the engine will prefill, as one string.
std::string
BuildPromptText(const json& aBody, bool aChat)
{
  if (!aChat) {
    return aBody.at("prompt").get<std::string>();
  }
  std::string text;
  for (const json& message : aBody.at("messages")) {
    text += message.at("role").get<std::string>();
    text += ": ";
    text += message.at("content").get<std::string>();
    text += '\n';
  }
  return text;
}

std::string
Dump(const json& aJson)
{
  return aJson.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string
ErrorType(int aStatus)
{
  if (aStatus == 401 || aStatus == 403) {
    return "authentication_error";
  }
  if (aStatus == 429) {
    return "rate_limit_error";
  }
  return aStatus >= 500 ? "server_error" : "invalid_request_error";
}

} // namespace

bool
IsCompletionPath(const std::string& aPath)
{
  return aPath == kCompletionsPath || aPath == kChatPath;
}

std::uint32_t
EstimateTokens(std::size_t aBytes)
{
  return static_cast<std::uint32_t>((aBytes + kBytesPerToken - 1) / kBytesPerToken);
}

std::optional<CompletionRequest>
ParseCompletion(const std::string& aPath, const std::string& aBody, std::string& aReason)
{
  CompletionRequest request;
  request.chat = aPath == kChatPath;
  try {
    const json body = json::parse(aBody);
    request.shape.model = body.at("model").get<std::string>();
    request.stream = body.value("stream", false);
    const auto maxTokens = body.value("max_tokens", std::int64_t{ kDefaultMaxTokens });
    if (maxTokens < 1 || maxTokens > kMaxTokensLimit) {
      aReason = "max_tokens must be from 1 to " + std::to_string(kMaxTokensLimit);
      return std::nullopt;
    }
    request.shape.maxTokens = static_cast<std::uint32_t>(maxTokens);
    const std::string prompt = BuildPromptText(body, request.chat);
    if (prompt.empty()) {
      aReason = "the prompt is empty";
      return std::nullopt;
    }
    request.shape.promptTokens = EstimateTokens(prompt.size());
    request.shape.prefix = PrefixHashes(prompt);
  } catch (const json::exception& error) {
    aReason = error.what();
    return std::nullopt;
  }
  return request;
}

std::string
FormatResponse(const std::string& aId,
               const CompletionRequest& aRequest,
               const std::string& aText,
               std::uint64_t aTokens)
{
  json choice{ { "index", 0 }, { "finish_reason", "stop" } };
  if (aRequest.chat) {
    choice["message"] = { { "role", "assistant" }, { "content", aText } };
  } else {
    choice["text"] = aText;
  }
  const json body{
    { "id", aId },
    { "object", aRequest.chat ? "chat.completion" : "text_completion" },
    { "created", std::time(nullptr) },
    { "model", aRequest.shape.model },
    { "choices", json::array({ choice }) },
    { "usage",
      { { "prompt_tokens", aRequest.shape.promptTokens },
        { "completion_tokens", aTokens },
        { "total_tokens", aRequest.shape.promptTokens + aTokens } } },
  };
  return Dump(body);
}

std::string
FormatTextEvent(const std::string& aId, const CompletionRequest& aRequest, const std::string& aText)
{
  json choice{ { "index", 0 } };
  if (aRequest.chat) {
    choice["delta"] = { { "content", aText } };
  } else {
    choice["text"] = aText;
  }
  const json body{ { "id", aId },
                   { "object", aRequest.chat ? "chat.completion.chunk" : "text_completion" },
                   { "model", aRequest.shape.model },
                   { "choices", json::array({ choice }) } };
  return "data: " + Dump(body) + "\n\n";
}

std::string
FormatDoneEvent()
{
  return "data: [DONE]\n\n";
}

std::string
FormatErrorEvent(const std::string& aCode, const std::string& aMessage, Outcome aOutcome)
{
  const json body{
    { "error", { { "message", aMessage }, { "code", aCode }, { "outcome", ToString(aOutcome) } } }
  };
  return "event: error\ndata: " + Dump(body) + "\n\n";
}

std::string
FormatErrorBody(int aStatus, const std::string& aCode, const std::string& aMessage)
{
  const json body{ { "error",
                     { { "message", aMessage },
                       { "type", ErrorType(aStatus) },
                       { "param", nullptr },
                       { "code", aCode } } } };
  return Dump(body);
}

} // namespace sycamorepost
