// The load generator: sends a seeded open-loop load to entries over HTTP, writes one line of JSON
// per call and prints a report.
#include <fstream>
#include <iostream>

#include <gflags/gflags.h>

#include "load/LoadReport.h"
#include "load/LoadRunner.h"
#include "sycamorepost/internal/Text.h"

DEFINE_string(entries, "", "HTTP addresses of the entries, separated by commas.");
DEFINE_string(accounts,
              "",
              "Accounts that send, as NAME=KEY or NAME=KEY=WEIGHT, separated by commas.");
DEFINE_string(model, "quiz", "Model name in the completion requests.");
DEFINE_string(booking_path, "/bookings", "Path of the non-idempotent service.");
DEFINE_uint64(seed, 1, "Seed of the arrival times and the prompts.");
DEFINE_double(rate, 20, "Requests per second.");
DEFINE_double(seconds, 10, "Duration of the load in seconds.");
DEFINE_double(bookings, 0.2, "Share of non-idempotent calls, from 0 to 1.");
DEFINE_double(lookups, 0.1, "Share of idempotent calls to a plain service, from 0 to 1.");
DEFINE_string(records, "", "Output file with one line of JSON per call; not written if empty.");

namespace {

std::vector<sycamorepost::load::LoadAccount>
ParseAccounts()
{
  std::vector<sycamorepost::load::LoadAccount> accounts;
  for (const std::string_view item : sycamorepost::internal::SplitCommas(FLAGS_accounts)) {
    const std::size_t first = item.find('=');
    if (first == std::string_view::npos) {
      return {};
    }
    const std::size_t second = item.find('=', first + 1);
    sycamorepost::load::LoadAccount account;
    account.name = item.substr(0, first);
    account.apiKey = item.substr(first + 1, second - first - 1);
    if (second != std::string_view::npos) {
      account.weight =
        sycamorepost::internal::ParseNumber<double>(item.substr(second + 1)).value_or(1);
    }
    accounts.push_back(std::move(account));
  }
  return accounts;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage(
    "generates load: sycamorepost-load --entries IP:PORT --accounts NAME=KEY");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  sycamorepost::load::LoadPlan plan;
  for (const std::string_view entry : sycamorepost::internal::SplitCommas(FLAGS_entries)) {
    plan.entries.emplace_back(entry);
  }
  plan.accounts = ParseAccounts();
  if (plan.entries.empty() || plan.accounts.empty() || FLAGS_rate <= 0) {
    std::cerr << "--entries, --accounts and a --rate above 0 are required\n";
    return 2;
  }
  plan.bands = sycamorepost::load::ReferenceLengthBands();
  plan.model = FLAGS_model;
  plan.bookingPath = FLAGS_booking_path;
  plan.seed = FLAGS_seed;
  plan.requestsPerSecond = FLAGS_rate;
  plan.durationSeconds = FLAGS_seconds;
  plan.bookingShare = FLAGS_bookings;
  plan.lookupShare = FLAGS_lookups;
  std::cout << "seed " << plan.seed << '\n';
  const sycamorepost::load::History history = sycamorepost::load::RunLoad(plan);
  if (!FLAGS_records.empty()) {
    std::ofstream file(FLAGS_records);
    for (const auto& record : history) {
      file << sycamorepost::load::FormatRecord(record) << '\n';
    }
  }
  std::cout << FormatReport(MakeReport(history));
  return 0;
}
