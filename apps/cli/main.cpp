// The operators' command line tool: rule files, process dumps, status lines and where a request
// would go.
#include <array>
#include <cstdio>
#include <functional>
#include <iostream>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include "runtime/Blocking.h"
#include "runtime/RuleAdmin.h"
#include "runtime/Settings.h"
#include "runtime/WherePage.h"
#include "sycamorepost/internal/Text.h"

DEFINE_string(log, "", "Address of the log service as ip:port, for the rules commands.");
DEFINE_int64(base,
             -1,
             "rules publish: the version that the file was edited from; 0 for the first version.");
DEFINE_string(entry, "", "where: the admin address of the entry as ip:port.");
DEFINE_string(host, "", "where: the host of the request.");
DEFINE_string(route, "", "where: the path of the request, which selects its route.");
DEFINE_string(account, "", "where: the client account of the request; empty for none.");
// Texts, as gflags ends the process with another status than kExitUsage on an invalid number.
DEFINE_string(tokens, "", "where: the tokens of the prompt; 0 for a plain call.");
DEFINE_string(output, "0", "where: the expected output tokens.");
DEFINE_bool(json, false, "where: print the response of the entry as JSON.");

namespace sycamorepost {
namespace {

// Exit statuses; documented in kUsageText.
constexpr int kExitSuccess = 0;
constexpr int kExitInvalidRules = 1;
constexpr int kExitUsage = 2;
constexpr int kExitUnreachable = 3;
constexpr int kExitConflict = 4;
constexpr int kExitUnknown = 5;

constexpr const char* kUsageText =
  R"(sycamorepost: command line tool for operators

  sycamorepost rules check FILE                     check a rule file without contacting the log
  sycamorepost rules publish FILE --log IP:PORT --base VERSION
                                                    publish a rule file as the next version
  sycamorepost rules show --log IP:PORT             print the rules in force
  sycamorepost rules history --log IP:PORT          list the edits with the result of each
  sycamorepost dump ADMIN_IP:PORT                   print the state of a process as JSON
  sycamorepost status ADMIN_IP:PORT [...]           print one line per process
  sycamorepost where --entry ADMIN_IP:PORT --host HOST --route PATH [--account NAME] --tokens N
                     [--output M] [--json]          print where a forwarding entry would send such a
                                                    request now, and why; nothing is sent

Examples:
  sycamorepost rules check rules.txt
  sycamorepost rules publish rules.txt --log 10.0.0.9:7300 --base 12
  sycamorepost status 10.0.1.1:7001 10.0.2.1:7001
  sycamorepost where --entry 10.0.1.1:7001 --host quiz.example --route /draft/ --account oatlands \
                     --tokens 5000 --output 200

Exit status: 0 success, 1 invalid or unreadable rule file, 2 usage error, also an unknown route or
account, 3 the log or a process is unreachable, 4 conflict with another edit, 5 unknown whether the edit is in the log.
)";

using Arguments = std::vector<std::string>;

int
FailUsage(const std::string& aReason)
{
  std::cerr << aReason << "\n\n" << kUsageText;
  return kExitUsage;
}

void
PrintErrors(const std::string& aFile, const std::vector<RuleError>& aErrors)
{
  for (const RuleError& error : aErrors) {
    std::cerr << aFile << ':' << error.line << ": " << error.reason << '\n';
  }
}

std::optional<std::string>
ReadRuleFile(const std::string& aFile)
{
  std::string reason;
  auto text = ReadFile(aFile, reason);
  if (!text) {
    std::cerr << aFile << ": " << reason << '\n';
  }
  return text;
}

int
CheckRules(const Arguments& aArguments)
{
  if (aArguments.size() != 1) {
    return FailUsage("rules check requires one FILE");
  }
  const auto text = ReadRuleFile(aArguments[0]);
  if (!text) {
    return kExitInvalidRules;
  }
  const RuleParseResult parse = ParseRules(*text);
  PrintErrors(aArguments[0], parse.errors);
  if (parse.rules) {
    std::cout << aArguments[0] << ": " << parse.rules->accounts.Size() << " accounts, "
              << parse.rules->services.size() << " services, " << parse.rules->models.size()
              << " models\n";
  }
  return parse.rules ? kExitSuccess : kExitInvalidRules;
}

// Prints the lines in which the refused rule file differs from the version in force, as a diff.
void
PrintDiff(const std::string& aRefused, const std::string& aInForce)
{
  const LineDelta delta = DiffLines(aInForce, aRefused);
  const auto lines = internal::SplitLines(aInForce);
  std::cerr << "at line " << delta.first + 1 << " of the version in force:\n";
  for (std::size_t i = 0; i < delta.removed; ++i) {
    std::cerr << "- " << lines[delta.first + i] << '\n';
  }
  for (const std::string& line : delta.added) {
    std::cerr << "+ " << line << '\n';
  }
}

int
PublishRuleFile(const Arguments& aArguments)
{
  if (aArguments.size() != 1 || FLAGS_log.empty() || FLAGS_base < 0) {
    return FailUsage("rules publish requires one FILE, --log and --base");
  }
  const auto text = ReadRuleFile(aArguments[0]);
  if (!text) {
    return kExitInvalidRules;
  }
  LogClient log(FLAGS_log);
  const PublishResult result =
    RunBlocking(PublishRules(log, *text, static_cast<std::uint64_t>(FLAGS_base)));
  switch (result.end) {
    case PublishEnd::Accepted:
      std::cout << "version " << result.version << " is in force\n";
      return kExitSuccess;
    case PublishEnd::Invalid:
      PrintErrors(aArguments[0], result.errors);
      return kExitInvalidRules;
    case PublishEnd::Conflict:
      std::cerr << "not published: " << result.reason << ", not " << FLAGS_base << "; ";
      PrintDiff(*text, result.textInForce);
      return kExitConflict;
    case PublishEnd::LogUnavailable:
      std::cerr << "not published: " << result.reason << '\n';
      return kExitUnreachable;
    case PublishEnd::Unknown:
      break;
  }
  std::cerr << "unknown: " << result.reason << '\n';
  return kExitUnknown;
}

int
PrintHistory(const std::function<void(const RuleHistory&)>& aPrint)
{
  if (FLAGS_log.empty()) {
    return FailUsage("this command requires --log");
  }
  LogClient log(FLAGS_log);
  const RuleHistory history = RunBlocking(ReadRuleHistory(log));
  if (!history.ok) {
    std::cerr << history.reason << '\n';
    return kExitUnreachable;
  }
  aPrint(history);
  return kExitSuccess;
}

int
ShowRules(const Arguments& /*aArguments*/)
{
  return PrintHistory([](const RuleHistory& aHistory) {
    std::cerr << "version " << aHistory.store.Version() << '\n';
    std::cout << aHistory.store.Text();
  });
}

int
ShowHistory(const Arguments& /*aArguments*/)
{
  return PrintHistory([](const RuleHistory& aHistory) {
    for (const RuleHistoryItem& item : aHistory.items) {
      std::cout << "version " << item.offset + 1 << "  "
                << (item.refresh ? "repeats " : "made from ") << item.base << "  "
                << kRuleVerdictNames.at(static_cast<std::size_t>(item.verdict)) << "  "
                << ToMillis(item.age) / 1000 << " s ago  " << item.id << '\n';
    }
  });
}

HttpReply
Get(const std::string& aAddress, const std::string& aTarget)
{
  HttpCall call;
  call.address = aAddress;
  call.method = "GET";
  call.target = aTarget;
  return RunBlocking(Fetch(std::move(call)));
}

int
DumpProcess(const Arguments& aArguments)
{
  if (aArguments.size() != 1) {
    return FailUsage("dump requires one ADMIN_IP:PORT");
  }
  const HttpReply reply = Get(aArguments[0], "/dump");
  if (!reply.Ok()) {
    std::cerr << aArguments[0] << ": " << reply.reason << '\n';
    return kExitUnreachable;
  }
  std::cout << reply.body;
  return kExitSuccess;
}

std::string
StatusLine(const std::string& aAddress, const nlohmann::json& aDump)
{
  const bool entry = aDump.value("role", "") == "entry";
  const std::string work = entry ? std::to_string(aDump.at("requests").size()) + " requests, " +
                                     std::to_string(aDump.at("targets").size()) + " targets"
                                 : std::to_string(aDump.at("attempts").size()) + " attempts" +
                                     (aDump.value("leaving", false) ? ", leaving" : "");
  std::array<char, 256> line{};
  std::snprintf(line.data(),
                line.size(),
                "%-22s %-8s %-14s %-12s rules %-6llu %s",
                aAddress.c_str(),
                aDump.value("role", "?").c_str(),
                aDump.value("name", "-").c_str(),
                aDump.value("domain", "-").c_str(),
                static_cast<unsigned long long>(aDump.value("rules_version", std::uint64_t{ 0 })),
                work.c_str());
  return line.data();
}

int
ShowStatus(const Arguments& aArguments)
{
  if (aArguments.empty()) {
    return FailUsage("status requires at least one ADMIN_IP:PORT");
  }
  int status = kExitSuccess;
  for (const std::string& address : aArguments) {
    const HttpReply reply = Get(address, "/dump");
    const auto dump = nlohmann::json::parse(reply.body, nullptr, false);
    if (!reply.Ok() || !dump.is_object()) {
      std::cout << address << " unreachable: " << reply.reason << '\n';
      status = kExitUnreachable;
      continue;
    }
    std::cout << StatusLine(address, dump) << '\n';
  }
  return status;
}

int
ShowWhere(const Arguments& aArguments)
{
  if (!aArguments.empty()) {
    return FailUsage("where takes no argument '" + aArguments[0] + "'");
  }
  if (!ParseEndpoint(FLAGS_entry)) {
    return FailUsage("where requires --entry as ADMIN_IP:PORT");
  }
  if (FLAGS_host.empty() || FLAGS_route.empty() || FLAGS_tokens.empty()) {
    return FailUsage("where requires --host, --route and --tokens");
  }
  std::string reason;
  const auto question = ParseWhereQuestion(
    { FLAGS_host, FLAGS_route, FLAGS_account, FLAGS_tokens, FLAGS_output }, reason);
  if (!question) {
    return FailUsage(reason);
  }
  const HttpReply reply = Get(FLAGS_entry, EncodeWhereQuestion(*question));
  if (reply.stage != HttpStage::Responded) {
    std::cerr << FLAGS_entry << ": " << reply.reason << '\n';
    return kExitUnreachable;
  }
  const auto explanation = nlohmann::json::parse(reply.body, nullptr, false);
  if (!reply.Ok() || !explanation.is_object()) {
    std::cerr << FLAGS_entry << ": " << ReadWhereError(reply.status, explanation) << '\n';
    return reply.status / 100 == 4 ? kExitUsage : kExitUnreachable;
  }
  std::cout << (FLAGS_json ? reply.body : FormatWhere(explanation));
  return kExitSuccess;
}

struct Command
{
  std::string_view group; // First word of a two-word command; empty otherwise.
  std::string_view name;
  int (*run)(const Arguments&);
};

constexpr std::array<Command, 7> kCommands{ {
  { "rules", "check", CheckRules },
  { "rules", "publish", PublishRuleFile },
  { "rules", "show", ShowRules },
  { "rules", "history", ShowHistory },
  { "", "dump", DumpProcess },
  { "", "status", ShowStatus },
  { "", "where", ShowWhere },
} };

int
RunCommand(Arguments aWords)
{
  const bool grouped = !aWords.empty() && aWords[0] == "rules";
  const std::size_t wordCount = grouped ? 2 : 1;
  if (aWords.size() < wordCount) {
    return FailUsage("a command is missing");
  }
  for (const Command& command : kCommands) {
    if (command.group == (grouped ? "rules" : "") && command.name == aWords[wordCount - 1]) {
      return command.run({ aWords.begin() + static_cast<std::ptrdiff_t>(wordCount), aWords.end() });
    }
  }
  return FailUsage("unknown command '" + aWords[wordCount - 1] + "'");
}

} // namespace
} // namespace sycamorepost

int
main(int aCount, char** aArguments)
{
  for (int i = 1; i < aCount; ++i) {
    if (std::string_view(aArguments[i]) == "--help") {
      std::cout << sycamorepost::kUsageText;
      return 0;
    }
  }
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  return sycamorepost::RunCommand({ aArguments + 1, aArguments + aCount });
}
