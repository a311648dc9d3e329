// Offers the callers' side of completions: the OpenAI-style request bodies, answers, stream events
// and errors.
#ifndef SYCAMOREPOST_ADAPTERS_COMPLETION_API_H_
#define SYCAMOREPOST_ADAPTERS_COMPLETION_API_H_

#include <optional>
#include <string>

#include "sycamorepost/EntryReducer.h"

namespace sycamorepost {

// A completion request after parsing.
struct CompletionRequest
{
  CompletionShape shape;
  bool stream = false;
  bool chat = false;
};

// Returns whether a path is one of the completion paths.
bool
IsCompletionPath(const std::string& aPath);

// Parses a request body; on failure returns nothing and sets the reason.
std::optional<CompletionRequest>
ParseCompletion(const std::string& aPath, const std::string& aBody, std::string& aReason);

// Returns the number of tokens that a text of this many bytes is counted as.
std::uint32_t
EstimateTokens(std::size_t aBytes);

// Returns the body of a whole answer.
std::string
FormatAnswer(const std::string& aId,
             const CompletionRequest& aRequest,
             const std::string& aText,
             std::uint64_t aTokens);

// Returns one server-sent event that carries a piece of text.
std::string
FormatEvent(const std::string& aId, const CompletionRequest& aRequest, const std::string& aText);

// Returns the event that ends a verified stream.
std::string
FormatDone();

// Returns the event that ends a stream that failed.
std::string
FormatErrorEvent(const std::string& aCode, const std::string& aMessage, Outcome aOutcome);

// Returns the error body of the OpenAI shape.
std::string
FormatError(int aStatus, const std::string& aCode, const std::string& aMessage);

} // namespace sycamorepost

#endif // SYCAMOREPOST_ADAPTERS_COMPLETION_API_H_
