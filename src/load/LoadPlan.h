// Declares the configuration of a generated load and the record that is kept of each call.
#ifndef SYCAMOREPOST_LOAD_LOAD_PLAN_H_
#define SYCAMOREPOST_LOAD_LOAD_PLAN_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "sycamorepost/Types.h"

namespace sycamorepost::load {

// A client account that sends requests.
struct LoadAccount
{
  std::string name;
  std::string apiKey; // Sent as the bearer token.
  double weight = 1;  // Its share of the calls, relative to the other accounts.
};

// A class of prompts. Their lengths are log-uniform between the two limits.
struct LengthBand
{
  double share = 0;                // Of all prompts, from 0 to 1.
  std::uint32_t minTokens = 0;     // Shortest prompt.
  std::uint32_t maxTokens = 0;     // Longest prompt.
  std::uint32_t outputTokens = 16; // Requested as max_tokens.
  Duration timeout = std::chrono::seconds(60);
};

// The configuration of a load.
struct LoadPlan
{
  std::vector<std::string> entries; // HTTP addresses.
  std::vector<LoadAccount> accounts;
  std::vector<LengthBand> bands;
  std::string model = "quiz";
  std::string bookingPath = "/bookings";
  std::uint64_t seed = 1;
  double requestsPerSecond = 20; // Open loop: the rate does not depend on the responses.
  double durationSeconds = 10;
  double bookingShare = 0.2;         // Share of non-idempotent calls, from 0 to 1.
  double lookupShare = 0.1;          // Share of idempotent calls to a plain service.
  double sharedPrefixShare = 0.5;    // Share of the prompts that begin with a shared document.
  std::uint32_t sharedDocuments = 8; // Number of shared documents for each size class of prompts.
  int maxBookingTries = 6;           // Calls per booking, all with the same idempotency key.

  // Returns the complete response that is expected for a prompt. May be empty: response texts are
  // then not compared.
  std::function<std::string(const std::string& aPrompt, std::uint32_t aTokens)> expectedResponse;
};

// Returns the length bands of the reference load: one prompt in fifty is longer than 100,000
// tokens, up to a million.
std::vector<LengthBand>
ReferenceLengthBands();

enum class CallKind
{
  Completion,
  Booking,
  Lookup,
};

// One call and its result as observed by the caller. The times are relative to the start of the
// load.
struct CallRecord
{
  CallKind kind = CallKind::Completion;
  std::string account;
  std::string entry;
  std::string requestId;
  std::string idempotencyKey; // Set for bookings only.
  std::uint32_t promptTokens = 0;
  Duration scheduledAt{};  // When the call was due.
  Duration sentAt{};       // When the call was sent; later than due if the generator falls behind.
  Duration firstTokenAt{}; // When the first output text arrived; zero if none did.
  Duration endedAt{};
  Duration timeout{};
  int status = 0;          // HTTP status; 0 if there was no response.
  std::string outcome;     // Value of Sycamorepost-Outcome; empty if there was no response.
  std::string errorCode;   // Code of the error response.
  std::string response;    // Response body of a plain call whose outcome is "done".
  bool isComplete = false; // The complete expected response arrived.
};

// All calls of one load, in the order in which they ended.
using History = std::vector<CallRecord>;

// Returns a call as one line of JSON, without a newline.
std::string
FormatRecord(const CallRecord& aRecord);

} // namespace sycamorepost::load

#endif // SYCAMOREPOST_LOAD_LOAD_PLAN_H_
