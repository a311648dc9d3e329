#include "World.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <thread>

namespace review {

namespace {

using Result = Channel::Result;

std::string
Describe(Result aResult, const HttpMessage& aAnswer)
{
  return aResult == Result::Ok ? aAnswer.first + ", body of " + std::to_string(aAnswer.body.size())
                               : std::string(ToString(aResult));
}

// A sound server of the bookings and lookups.
Server::Answer
WorkAsOnTheSheet(const HttpMessage& /*aRequest*/)
{
  return {};
}

// Ends the process; the threads of the stand-ins still run, so nothing is destroyed.
[[noreturn]] void
Conclude(Record& aRecord, bool aIsBroken, const std::string& aVerdict)
{
  aRecord.Line((aIsBroken ? "BROKEN: " : "held: ") + aVerdict);
  std::printf("%s: %s\n", aIsBroken ? "BROKEN" : "held", aVerdict.c_str());
  std::fflush(nullptr);
  std::_Exit(aIsBroken ? kBroken : kHeld);
}

} // namespace

// Streams of a server that reads long bodies late, when the entry is stopped as planned.
void
RunLateReadCase(const Arguments& aArguments)
{
  constexpr int kClients = 16;
  constexpr std::size_t kBodyBytes = 4'000'000;
  constexpr int kTimeoutMs = 15'000;
  constexpr std::int64_t kPauseMs = 5000;
  Record record(aArguments.recordPath);
  Store store;
  store.Put("keyed.op",
            "config",
            MakeManifest({ { "dossier", "/dossier/", "streaming", "sahayak", kTimeoutMs, 8000 } },
                         { "sahayak" }));
  LateReader server(store, record, "i-sahayak", "sahayak");
  server.pauseMs = aArguments.hasTrouble ? kPauseMs : 0;
  Entry entry(aArguments.program, aArguments.directory, 1, store);
  entry.Start();
  entry.AwaitReady();
  SleepMs(1500);
  std::atomic<int> cut{ 0 };
  std::atomic<int> whole{ 0 };
  std::atomic<int> other{ 0 };
  std::atomic<std::int64_t> stoppedAt{ 0 };
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      const std::string id = "dossier-" + std::to_string(i);
      Channel channel;
      HttpMessage head;
      std::string events;
      channel.Connect(entry.Port());
      channel.Send(
        MakeRequest("POST", "/dossier/" + id, id, kTimeoutMs, std::string(kBodyBytes, 'd')));
      Result result = channel.Read(head, kTimeoutMs, true);
      if (result != Result::Ok || head.first.find(" 200 ") == std::string::npos) {
        record.Line(id + ": " + Describe(result, head));
        ++other;
        return;
      }
      result = channel.ReadChunks(events, kTimeoutMs);
      // The rule excuses streams that last into the last sixth of the grace time.
      const bool isExcused = NowMs() >= stoppedAt + kGraceMs * 5 / 6;
      const auto count = std::count(events.begin(), events.end(), 'k');
      record.Line(id + ": " + head.first + ", " + std::to_string(count) + " of " +
                  std::to_string(LateReader::kEvents) + " events, then " +
                  (result == Result::Ok ? "the end of the stream"
                                        : "the channel was closed within the stream"));
      ++(result == Result::Ok ? whole : result == Result::Closed && !isExcused ? cut : other);
    });
  }
  // All requests have been sent, and are running.
  for (int i = 0; i < 40 && server.begun < kClients; ++i) {
    SleepMs(50);
  }
  SleepMs(300);
  stoppedAt = NowMs();
  entry.Stop();
  record.Line("SIGTERM to " + entry.Name() + "; it has " + std::to_string(kGraceMs) + " ms");
  for (std::thread& client : clients) {
    client.join();
  }
  entry.Kill();
  if (server.begun < kClients) {
    GiveUp("not all streams have begun");
  }
  Conclude(record,
           cut > 0,
           std::to_string(cut) + " of " + std::to_string(kClients) +
             " streams of a sound server were cut after a planned stop, " + std::to_string(whole) +
             " were whole, " + std::to_string(other) + " ended otherwise");
}

// Requests with a transfer coding that the entry does not know, whose bodies look like requests.
void
RunSmuggleCase(const Arguments& aArguments)
{
  Record record(aArguments.recordPath);
  Store store;
  store.Put(
    "keyed.op",
    "config",
    MakeManifest({ { "book", "/book/", "non_idempotent", "ledger", 10000, 120 } }, { "ledger" }));
  Server ledger(store, record, "i-ledger", "ledger", WorkAsOnTheSheet);
  Entry entry(aArguments.program, aArguments.directory, 1, store);
  entry.Start();
  entry.AwaitReady();
  SleepMs(1000);
  std::size_t smuggled = 0;
  for (const std::string coding : { "gzip", "identity", "chunked, gzip" }) {
    const std::string inner = "inside-" + std::to_string(smuggled) + "-" + coding.substr(0, 4);
    const std::string outer = "note-" + coding.substr(0, 4) + std::to_string(coding.size());
    // A note for the depot, which quotes a booking.
    const std::string body = MakeRequest("POST", "/book/kit", inner, 5000, "");
    std::string request;
    if (aArguments.hasTrouble) {
      request = MakeRequest("POST", "/book/note", outer, 5000, "");
      const std::string length = "Content-Length: 0\r\n";
      request.replace(request.find(length), length.size(), "Transfer-Encoding: " + coding + "\r\n");
      request += body;
    } else {
      request = MakeRequest("POST", "/book/note", outer, 5000, body);
    }
    record.Line("sent:\n" + request);
    Channel channel;
    channel.Connect(entry.Port());
    channel.Send(request);
    HttpMessage answer;
    Result result = channel.Read(answer, 3000);
    while (result == Result::Ok) {
      record.Line("answer: " + Describe(result, answer) + " to " +
                  answer.Field("X-Sycamorepost-Request-Id"));
      result = channel.Read(answer, 1000);
    }
    record.Line(std::string("then: ") + ToString(result));
    smuggled += ledger.Runs()[inner] > 0 ? 1 : 0;
  }
  entry.Kill();
  Conclude(record,
           smuggled > 0,
           std::to_string(smuggled) +
             " of 3 requests that stood inside the body of another one were run");
}

} // namespace review
