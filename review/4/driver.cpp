// Case 4: the entry gets SIGTERM while its streams run, and ends those whose engine is silent for a
// second. Exit status: 1 if a stream that an engine was at work on ended incomplete around the
// planned stop, 0 if none did, 2 if the case could not run.
//   driver DIRECTORY BINARIES ENTRY
#include <atomic>

#include "../standins/Deployment.h"

using namespace review;

namespace {

constexpr int kClients = 8; // As many as the two engines have slots.
constexpr int kRounds = 2;  // The planned stop is in the first one.
constexpr int kStopAfterMs = 500;
constexpr int kRestartMs = 9000; // GraceS and a second.

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
                     MakeRoute("draft", "/draft/", "streaming", "quizmind", 10'000, 2, 250),
                     "{\"Name\":\"quizmind\",\"HealthPath\":\"/healthz\",\"MaxConns\":364}");
  for (int i = 1; i <= 2; ++i) {
    deployment.StartEngine(
      "e-" + std::to_string(i), "quizmind", "stream", { "127.0.0.1", FreePort() });
  }
  deployment.StartEntry(aArguments[3], 2);

  int whole = 0;
  int lost = 0;
  for (int round = 0; round < kRounds; ++round) {
    const bool stops = round == 0 && HasTrouble();
    std::atomic<int> complete{ 0 };
    std::atomic<int> refused{ 0 };
    std::atomic<int> cut{ 0 };
    std::vector<std::thread> clients;
    for (int client = 0; client < kClients; ++client) {
      clients.emplace_back([&, client] {
        const std::string id = "s" + std::to_string(round) + "-" + std::to_string(client);
        const auto sentAt = Clock::now();
        const Reply reply = Call(deployment.entry,
                                 MakeRequest("POST",
                                             "/draft/" + id,
                                             { { "Host", "quiz.example" },
                                               { "Authorization", "Bearer key-1" },
                                               { "X-Sycamorepost-Request-Id", id },
                                               { "X-Sycamorepost-Deadline", "10000" } },
                                             5),
                                 "draft",
                                 12'000);
        const auto tookMs = std::chrono::duration_cast<milliseconds>(Clock::now() - sentAt).count();
        const int status = reply.head.Status();
        const std::string outcome =
          status == 503 ? "refused" : (reply.complete ? "complete" : "cut");
        ++(status == 503 ? refused : (reply.complete ? complete : cut));
        record.Write(id + " sent and ended after " + std::to_string(tookMs) + " ms: status " +
                     std::to_string(status) + ", " + std::to_string(reply.body.size()) +
                     " bytes of events, " + outcome);
      });
      SleepMs(20);
    }
    SleepMs(kStopAfterMs);
    if (stops) {
      record.Write("the entry gets SIGTERM");
      kill(deployment.entryPid, SIGTERM);
    }
    for (std::thread& client : clients) {
      client.join();
    }
    record.Write("round " + std::to_string(round) + (stops ? ", with the stop: " : ": ") +
                 std::to_string(complete) + " complete, " + std::to_string(refused) + " refused, " +
                 std::to_string(cut) + " cut");
    whole += complete;
    lost += stops ? cut.load() : 0;
    SleepMs(500);
    if (stops) {
      SleepMs(kRestartMs);
      Stop(deployment.entryPid);
      deployment.RestartEntry(aArguments[3]);
      SleepMs(3000);
    }
  }
  const std::string summary = std::to_string(whole) + " streams complete; " + std::to_string(lost) +
                              " cut around the planned stop";
  record.Write(summary);
  std::printf("%s\n", summary.c_str());
  if (whole == 0) {
    return 2;
  }
  return lost > 0 ? 1 : 0;
}
