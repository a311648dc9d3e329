// Parses OpenAI-style completion requests and formats the responses, stream events and errors sent
// to callers.
#ifndef SYCAMOREPOST_ADAPTERS_COMPLETION_API_H_
#define SYCAMOREPOST_ADAPTERS_COMPLETION_API_H_

#include <optional>
#include <string>

#include "sycamorepost/EntryReducer.h"

namespace sycamorepost {

// A parsed completion request.
struct CompletionRequest
{
  CompletionParams shape;
  bool stream = false; // The caller wants the response as a stream of events.
  bool chat = false;   // A chat completion.
};

// Returns whether a path, without its query, is /v1/completions or /v1/chat/completions.
bool
IsCompletionPath(const std::string& aPath);

// Parses the JSON request body sent to a completion path. Returns nothing and sets aReason, which
// is sent to the caller, when the body is invalid.
std::optional<CompletionRequest>
ParseCompletion(const std::string& aPath, const std::string& aBody, std::string& aReason);

// Estimates the number of tokens of a text from its length in bytes.
std::uint32_t
EstimateTokens(std::size_t aBytes);

// Returns the JSON body of a response that is not streamed; aTokens counts its output tokens.
std::string
FormatResponse(const std::string& aId,
               const CompletionRequest& aRequest,
               const std::string& aText,
               std::uint64_t aTokens);

// Returns a server-sent event that carries a part of the response text.
std::string
FormatTextEvent(const std::string& aId,
                const CompletionRequest& aRequest,
                const std::string& aText);

// Returns the event that ends a complete and verified stream.
std::string
FormatDoneEvent();

// Returns the event that ends a failed stream.
std::string
FormatErrorEvent(const std::string& aCode, const std::string& aMessage, Outcome aOutcome);

// Returns a JSON error body in the OpenAI format; aStatus (HTTP) determines the error type.
std::string
FormatErrorBody(int aStatus, const std::string& aCode, const std::string& aMessage);

} // namespace sycamorepost

#endif // SYCAMOREPOST_ADAPTERS_COMPLETION_API_H_
