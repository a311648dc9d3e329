// Declares the admin endpoint /where of a forwarding entry, which explains where a request would go
// now, and what the command line tool needs to ask it.
#ifndef SYCAMOREPOST_RUNTIME_WHERE_PAGE_H_
#define SYCAMOREPOST_RUNTIME_WHERE_PAGE_H_

#include <cstdint>
#include <optional>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "runtime/AdminPages.h"
#include "sycamorepost/forward/ForwardReducer.h"

namespace sycamorepost {

// The parameters of a question as texts, from the command line or a query.
struct WhereParameters
{
  std::string host;
  std::string path;
  std::string account;
  std::string tokens;
  std::string output;
};

// The request that is asked about.
struct WhereQuestion
{
  std::string host;
  std::string path;
  std::string account;            // Empty for a request without a key.
  std::uint32_t promptTokens = 0; // 0 for a plain call.
  std::uint32_t outputTokens = 0;
};

// Checks the parameters; an empty number is 0. On failure returns nothing and sets aReason.
std::optional<WhereQuestion>
ParseWhereQuestion(const WhereParameters& aParameters, std::string& aReason);

// Returns the path and query that ask an entry.
std::string
EncodeWhereQuestion(const WhereQuestion& aQuestion);

// Answers a question from the state of an entry, without changing it. The status is 200, 400 for an
// invalid question, or 404 when no route matches or the account is unknown or has no key. aTable
// may be null.
AdminReply
ServeWhere(const HttpRequest& aRequest,
           const RouteTable* aTable,
           const ForwardReducer& aReducer,
           Instant aNow);

// Returns the text of a response of status 200 for an operator.
std::string
FormatWhere(const nlohmann::json& aExplanation);

// Returns the reason in any other response; aBody may be discarded.
std::string
ReadWhereError(int aStatus, const nlohmann::json& aBody);

} // namespace sycamorepost

#endif // SYCAMOREPOST_RUNTIME_WHERE_PAGE_H_
