// Case 1: an engine that has begun an answer without a length crashes while the entry still sends
// it the request's body. Exit status: 1 if a cut answer looked complete, 0 if none did, 2 if the
// case could not run.
//   driver DIRECTORY BINARIES ENTRY
#include <atomic>

#include "../standins/Deployment.h"

using namespace review;

namespace {

constexpr int kEngines = 7; // One of them crashes: a share of 0.15.
constexpr int kClients = 14;
constexpr int kSeconds = 6;
constexpr int kCrashAfterMs = 2500;
constexpr std::size_t kBodyBytes = 4'000'000; // Within MaxBodyBytes.

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 4) {
    return 2;
  }
  const std::string directory = aArguments[1];
  Record record(Environment("RECORD", directory + "/record.txt"));
  Deployment deployment(directory, aArguments[2]);
  deployment.Publish(1,
                     MakeRoute("look", "/look/", "idempotent", "ledger", 10'000, 2),
                     "{\"Name\":\"ledger\",\"HealthPath\":\"/healthz\",\"MaxConns\":100}");
  std::vector<pid_t> engines;
  for (int i = 1; i <= kEngines; ++i) {
    engines.push_back(deployment.StartEngine(
      "e-" + std::to_string(i), "ledger", "early-answer", { "127.0.0.1", FreePort() }));
  }
  deployment.StartEntry(aArguments[3], kEngines);

  const std::string body(kBodyBytes, 'b');
  const auto endsAt = Clock::now() + std::chrono::seconds(kSeconds);
  std::atomic<int> whole{ 0 };
  std::atomic<int> failed{ 0 };
  std::atomic<int> cut{ 0 };
  std::vector<std::thread> clients;
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client] {
      for (int n = 0; Clock::now() < endsAt; ++n) {
        const std::string id = "r" + std::to_string(client) + "-" + std::to_string(n);
        record.Write(id + " sent");
        const Reply reply = Call(deployment.entry,
                                 MakeRequest("POST",
                                             "/look/" + id,
                                             { { "Host", "quiz.example" },
                                               { "Authorization", "Bearer key-1" },
                                               { "X-Sycamorepost-Request-Id", id },
                                               { "X-Sycamorepost-Deadline", "10000" } },
                                             body.size()),
                                 body,
                                 12'000);
        const std::string signature = reply.head.Field("X-Sycamorepost-Response-Signature");
        const int status = reply.head.Status();
        const bool isSuccess = status / 100 == 2 && reply.complete;
        const bool isWhole = reply.body == "begin " + id + "\nend " + id + "\n";
        std::string verdict = "failed";
        if (isSuccess) {
          verdict = isWhole ? "whole" : "CUT, BUT COMPLETE TO THE CLIENT";
          ++(isWhole ? whole : cut);
        } else {
          ++failed;
        }
        record.Write(id + " answered " + std::to_string(status) + ", signature '" + signature +
                     "', " + std::to_string(reply.body.size()) + " bytes, complete by HTTP: " +
                     (reply.complete ? "yes" : "no") + ": " + verdict);
      }
    });
  }
  SleepMs(kCrashAfterMs);
  if (HasTrouble()) {
    record.Write("engine e-1 is killed");
    Stop(engines.front());
  }
  for (std::thread& client : clients) {
    client.join();
  }
  std::ifstream effects(directory + "/effects");
  for (std::string line; std::getline(effects, line);) {
    record.Write("run: " + line);
  }
  const std::string summary = std::to_string(whole) + " whole, " + std::to_string(failed) +
                              " failed, " + std::to_string(cut) +
                              " cut answers that looked complete";
  record.Write(summary);
  std::printf("%s\n", summary.c_str());
  if (whole == 0) {
    return 2;
  }
  return cut > 0 ? 1 : 0;
}
