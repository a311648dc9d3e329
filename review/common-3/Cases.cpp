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
Repeat(const std::string& aText, std::size_t aCount)
{
  std::string text;
  text.reserve(aText.size() * aCount);
  for (std::size_t i = 0; i < aCount; ++i) {
    text += aText;
  }
  return text;
}

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

// Crowds of clients whose requests have many short header fields, within MaxHeaderBytes.
void
RunMemoryCase(const Arguments& aArguments)
{
  constexpr int kClients = 900; // Of each entry, in each round.
  constexpr int kRounds = 3;
  constexpr int kEndsThatCount = 3; // The rule's number of ends on one machine.
  Record record(aArguments.recordPath);
  Store store;
  store.Put("keyed.op",
            "config",
            MakeManifest({ { "look", "/look/", "idempotent", "ledger", 10000, 120 },
                           { "archive", "/archive/", "idempotent", "archive", 10000, 4000 } },
                         { "ledger", "archive" }));
  Server ledger(store, record, "i-ledger", "ledger", WorkAsOnTheSheet);
  Server archive(store, record, "i-archive", "archive", [](const HttpMessage&) {
    return Server::Answer{ 6000, 800 };
  });
  std::vector<std::unique_ptr<Entry>> entries;
  for (int i = 1; i <= 2; ++i) {
    entries.push_back(std::make_unique<Entry>(aArguments.program, aArguments.directory, i, store));
    entries.back()->Start();
  }
  for (auto& entry : entries) {
    entry->AwaitReady();
  }
  // The platform: ends a process that exceeds the memory of its machine, and restarts it.
  std::atomic<bool> isOver{ false };
  std::vector<int> ends(entries.size());
  std::vector<int> peaks(entries.size());
  std::thread platform([&] {
    while (!isOver) {
      for (std::size_t i = 0; i < entries.size(); ++i) {
        const int resident = entries[i]->ResidentMb();
        peaks[i] = std::max(peaks[i], resident);
        const bool isRunning = entries[i]->IsRunning();
        if (isRunning && resident <= kMemoryMb) {
          continue;
        }
        ++ends[i];
        record.Line(entries[i]->Name() +
                    (isRunning ? " is killed: it holds " : " ended; it held ") +
                    std::to_string(resident) + " MB, the machine has " + std::to_string(kMemoryMb));
        entries[i]->Kill();
        SleepMs(300);
        entries[i]->Start();
      }
      SleepMs(10);
    }
  });
  // Ordinary clients, one of each entry, which look up something ten times a second.
  std::atomic<int> served{ 0 };
  std::atomic<int> unserved{ 0 };
  std::vector<std::thread> ordinary;
  for (auto& entry : entries) {
    ordinary.emplace_back([&, port = entry->Port(), name = entry->Name()] {
      Channel channel;
      for (int i = 0; !isOver; ++i) {
        SleepMs(100);
        HttpMessage answer;
        if (!channel.IsOpen() && !channel.Connect(port)) {
          ++unserved;
          continue;
        }
        const std::string id = name + "-look-" + std::to_string(i);
        channel.Send(MakeRequest("GET", "/look/" + std::to_string(i), id, 3000));
        const Result result = channel.Read(answer, 3000);
        const bool isServed =
          result == Result::Ok && answer.first.find(" 200 ") != std::string::npos;
        ++(isServed ? served : unserved);
        if (!isServed) {
          record.Line(id + ": " + Describe(result, answer));
        }
        if (result != Result::Ok) {
          channel.Close();
        }
      }
    });
  }
  for (int round = 0; round < kRounds; ++round) {
    SleepMs(2000);
    for (auto& entry : entries) {
      entry->AwaitReady();
    }
    record.Line("round " + std::to_string(round + 1) + ": " + std::to_string(kClients) +
                " clients of each entry send one request each");
    std::vector<Channel> crowd;
    std::size_t headBytes = 0;
    for (int i = 0; i < kClients; ++i) {
      for (auto& entry : entries) {
        const std::string id =
          entry->Name() + "-crowd-" + std::to_string(round) + "-" + std::to_string(i);
        const std::size_t room = static_cast<std::size_t>(kMaxHeaderBytes) - 64 -
                                 MakeRequest("GET", "/archive/" + id, id, 9000).size();
        // The same number of bytes in one field, or in fields of one letter.
        const std::string fields = aArguments.hasTrouble
                                     ? Repeat("a:b\r\n", room / 5)
                                     : "X-Note: " + std::string(room - 10, 'n') + "\r\n";
        const std::string request = MakeRequest("GET", "/archive/" + id, id, 9000, "", fields);
        headBytes = request.size();
        Channel channel;
        if (channel.Connect(entry->Port()) && channel.Send(request)) {
          crowd.push_back(std::move(channel));
        }
      }
    }
    record.Line(std::to_string(crowd.size()) + " requests were sent, each with a head of " +
                std::to_string(headBytes) + " of " + std::to_string(kMaxHeaderBytes) + " bytes");
    std::map<std::string, int> answers;
    for (Channel& channel : crowd) {
      HttpMessage answer;
      const Result result = channel.Read(answer, 9000);
      ++answers[result == Result::Ok ? answer.first : ToString(result)];
    }
    for (const auto& [answer, count] : answers) {
      record.Line("the crowd got " + std::to_string(count) + " times: " + answer);
    }
  }
  isOver = true;
  platform.join();
  for (std::thread& client : ordinary) {
    client.join();
  }
  record.Line("ordinary lookups: " + std::to_string(served) + " served, " +
              std::to_string(unserved) + " not");
  for (auto& entry : entries) {
    entry->Kill();
  }
  bool isBroken = true;
  std::string verdict;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    isBroken = isBroken && ends[i] >= kEndsThatCount;
    verdict += entries[i]->Name() + " ended " + std::to_string(ends[i]) + " times over its " +
               std::to_string(kMemoryMb) + " MB, peak " + std::to_string(peaks[i]) + " MB; ";
  }
  Conclude(record, isBroken, verdict);
}

// Clients that list many names in the field Connection of a request with many fields.
void
RunHangCase(const Arguments& aArguments)
{
  constexpr int kHostile = 80;
  constexpr int kOrdinary = 12;
  constexpr int kTimeoutMs = 1000; // Of the route.
  constexpr std::int64_t kTroubleMs = 15'000;
  constexpr std::size_t kLeast = 8; // Requests without an answer at the timeout that count.
  Record record(aArguments.recordPath);
  Store store;
  store.Put("keyed.op",
            "config",
            MakeManifest({ { "book", "/book/", "non_idempotent", "ledger", kTimeoutMs, 120 } },
                         { "ledger" }));
  Server ledger(store, record, "i-ledger", "ledger", WorkAsOnTheSheet);
  Entry entry(aArguments.program, aArguments.directory, 1, store);
  entry.Start();
  entry.AwaitReady();
  SleepMs(1000);
  const std::string head = "GET /nowhere HTTP/1.1\r\nHost: quiz.example\r\n";
  // Both variants have the same size, within MaxHeaderBytes.
  const std::string hostile =
    head + "Connection: " + Repeat("a,", 4050) + "a\r\n" + Repeat("b:\r\n", 2000) + "\r\n";
  const std::string harmless =
    head + "X-Note: " + std::string(hostile.size() - head.size() - 12, 'n') + "\r\n\r\n";
  const std::string& request = aArguments.hasTrouble ? hostile : harmless;
  std::atomic<bool> isOver{ false };
  std::atomic<int> hostileAnswers{ 0 };
  std::vector<std::thread> clients;
  for (int i = 0; i < kHostile; ++i) {
    clients.emplace_back([&] {
      Channel channel;
      while (!isOver) {
        HttpMessage answer;
        if (!channel.IsOpen() && !channel.Connect(entry.Port())) {
          SleepMs(100);
          continue;
        }
        // A client sends its next request a quarter of a second after the answer to the last one.
        if (!channel.Send(request) || channel.Read(answer, 30'000) != Result::Ok) {
          channel.Close();
          continue;
        }
        ++hostileAnswers;
        SleepMs(250);
      }
    });
  }
  record.Line(std::to_string(kHostile) + " clients send requests of " +
              std::to_string(request.size()) + " bytes without a key, one at a time");
  SleepMs(2000);
  struct Call
  {
    std::int64_t afterMs = 0;
    Result result = Result::Ok;
  };
  std::vector<Call> calls;
  std::mutex mutex;
  std::atomic<int> unready{ 0 };
  std::vector<std::thread> callers;
  const std::int64_t until = NowMs() + kTroubleMs;
  for (int i = 0; i < kOrdinary; ++i) {
    callers.emplace_back([&, i] {
      Channel channel;
      for (int k = 0; NowMs() < until; ++k) {
        const std::string id = "book-" + std::to_string(i) + "-" + std::to_string(k);
        if (!channel.IsOpen() && !channel.Connect(entry.Port())) {
          continue;
        }
        HttpMessage answer;
        const std::int64_t sentAt = NowMs();
        channel.Send(MakeRequest("POST", "/book/kit", id, 4000, "kit 7"));
        const Result result = channel.Read(answer, 4000);
        const std::int64_t after = NowMs() - sentAt;
        record.Line(id + " after " + std::to_string(after) + " ms: " + Describe(result, answer));
        {
          const std::lock_guard<std::mutex> lock(mutex);
          calls.push_back({ after, result });
        }
        if (result != Result::Ok) {
          channel.Close();
        }
        SleepMs(200);
      }
    });
  }
  while (NowMs() < until) {
    unready += entry.ReadyStatus() == 200 ? 0 : 1;
    SleepMs(1000);
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  isOver = true;
  entry.Kill();
  for (std::thread& client : clients) {
    client.join();
  }
  const auto openAt = [&](std::int64_t aMs) {
    return static_cast<std::size_t>(std::count_if(
      calls.begin(), calls.end(), [aMs](const Call& aCall) { return aCall.afterMs > aMs; }));
  };
  const std::size_t atTimeout = openAt(kTimeoutMs);
  const std::size_t later = openAt(kTimeoutMs + 500);
  Conclude(record,
           atTimeout >= kLeast && later * 2 > atTimeout,
           "of " + std::to_string(calls.size()) + " bookings " + std::to_string(atTimeout) +
             " had no answer at the route's timeout, " + std::to_string(later) +
             " of these none half a second later; " + std::to_string(unready) +
             " questions to /readyz without a 200; the others' requests answered: " +
             std::to_string(hostileAnswers));
}

// Long prompts that run, and ordinary calls whose answers find no memory.
void
RunLostCase(const Arguments& aArguments)
{
  constexpr int kOrdinary = 10;
  constexpr std::size_t kAllowed = 3; // By the rule.
  constexpr std::size_t kListBytes = 200'000;
  Record record(aArguments.recordPath);
  Store store;
  store.Put("keyed.op",
            "config",
            MakeManifest({ { "look", "/look/", "idempotent", "ledger", 10000, 120 },
                           { "book", "/book/", "non_idempotent", "ledger", 10000, 120 },
                           { "archive", "/archive/", "non_idempotent", "archive", 15000, 3000 } },
                         { "ledger", "archive" }));
  Server ledger(store, record, "i-ledger", "ledger", [](const HttpMessage&) {
    return Server::Answer{ 15, kListBytes };
  });
  Server archive(store, record, "i-archive", "archive", [](const HttpMessage&) {
    return Server::Answer{ 10'000, 800 };
  });
  Entry entry(aArguments.program, aArguments.directory, 1, store);
  entry.Start();
  entry.AwaitReady();
  SleepMs(1000);
  std::vector<Channel> kept(kOrdinary);
  const auto call = [&](int aClient, const std::string& aId) {
    HttpMessage answer;
    Channel& channel = kept[static_cast<std::size_t>(aClient)];
    const bool isBooking = aClient % 2 == 1;
    channel.Send(isBooking ? MakeRequest("POST", "/book/kits", aId, 5000, "all kits")
                           : MakeRequest("GET", "/look/venues", aId, 5000));
    const Result result = channel.Read(answer, 5000);
    record.Line(aId + ": " + Describe(result, answer));
    return result;
  };
  for (int i = 0; i < kOrdinary; ++i) {
    if (!kept[static_cast<std::size_t>(i)].Connect(entry.Port()) ||
        call(i, "before-" + std::to_string(i)) != Result::Ok) {
      GiveUp("an ordinary call fails before the trouble");
    }
  }
  std::vector<Channel> crowd;
  if (aArguments.hasTrouble) {
    // Whole archives, and some shorter ones; no body exceeds MaxBodyBytes.
    std::vector<std::size_t> sizes(32, kMaxBodyBytes);
    for (const std::size_t size : { 2'000'000, 1'000'000, 500'000, 250'000, 120'000, 60'000 }) {
      sizes.insert(sizes.end(), 4, size);
    }
    for (std::size_t i = 0; i < sizes.size(); ++i) {
      const std::string id = "archive-" + std::to_string(i);
      Channel channel;
      const bool isSent =
        channel.Connect(entry.Port()) &&
        channel.Send(MakeRequest("POST", "/archive/" + id, id, 14000, std::string(sizes[i], 'a')));
      record.Line(id + " with a body of " + std::to_string(sizes[i]) +
                  (isSent ? " was sent" : " was refused while it was sent"));
      crowd.push_back(std::move(channel));
      SleepMs(10);
    }
    SleepMs(500);
  }
  std::size_t lost = 0;
  for (int i = 0; i < kOrdinary; ++i) {
    const std::string id = "during-" + std::to_string(i);
    const Result result = call(i, id);
    const bool isPassedOn = ledger.Runs()[id] > 0;
    lost += result == Result::Closed && isPassedOn ? 1 : 0;
  }
  std::map<std::string, int> answers;
  for (Channel& channel : crowd) {
    HttpMessage answer;
    const Result result = channel.Read(answer, 14'000);
    ++answers[result == Result::Ok ? answer.first : ToString(result)];
  }
  for (const auto& [answer, count] : answers) {
    record.Line("archives: " + std::to_string(count) + " times " + answer);
  }
  entry.Kill();
  Conclude(record,
           lost > kAllowed,
           std::to_string(lost) + " of " + std::to_string(kOrdinary) +
             " calls on kept channels were run by a sound server, and their channels closed "
             "without an answer");
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
