// Tests with real processes that an entry survives callers that do not respect its limits. No check
// depends on the speed of the machine: each one is on the process, its memory, its descriptors and
// one ordinary request.
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>

#include <cppunit/extensions/HelperMacros.h>

#include "harness/PlatformDeployment.h"

namespace sycamorepost {
namespace {

using harness::kAwaitTimeout;
using harness::PlatformDeployment;
using harness::PlatformOptions;
using harness::WaitUntil;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t kKiB = 1024;
constexpr std::size_t kMiB = 1024 * kKiB;

// The settings and limits of the tests. The bounds of the checks are the settings.
constexpr std::size_t kMemoryMiB = 64;
constexpr std::size_t kDescriptors = 640;
constexpr std::size_t kMaxBodyBytes = kMiB;

// Crowds whose members all send half of a body or more, so that together they exceed kMemoryMiB.
constexpr std::size_t kManyCallers = 150;
// Crowds whose members each send several times the largest body.
constexpr std::size_t kFewCallers = 40;
constexpr std::size_t kBytesPerCaller = 4 * kMiB;
// More connections than callers may have with kDescriptors.
constexpr std::size_t kSilentCallers = 200;

// What each caller of a crowd sends: the head once, then the pattern until the given number of its
// bytes is sent. Then it keeps its connection open.
struct Script
{
  std::string head;
  std::string pattern;
  std::size_t patternBytes = 0;
};

std::string
PostHead(const std::string& aPath, const std::string& aField)
{
  return "POST " + aPath +
         " HTTP/1.1\r\nHost: quiz.example\r\nAuthorization: Bearer key-1\r\n"
         "X-Sycamorepost-Request-Id: open-client\r\n" +
         aField + "\r\n\r\n";
}

std::string
ChunkedHead()
{
  return PostHead("/draft/1", "Transfer-Encoding: chunked");
}

// A chunked head, and the size line of a chunk that is one byte larger than aBytes.
std::string
OpenChunkHead(std::size_t aBytes)
{
  std::ostringstream size;
  size << std::hex << aBytes + 1;
  return ChunkedHead() + size.str() + "\r\n";
}

std::string
LengthHead(std::size_t aBytes)
{
  return PostHead("/book/1", "Content-Length: " + std::to_string(aBytes));
}

// Connections that send a script as far as the entry reads it, and read nothing.
class Crowd
{
public:
  Crowd(const std::string& aAddress, std::size_t aCallers, Script aScript)
    : script(std::move(aScript))
  {
    // A small window keeps responses in the entry instead of in the kernel's buffers.
    static constexpr int kReceiveBytes = 4096;
    while (this->script.pattern.size() < 16 * kKiB && !this->script.pattern.empty()) {
      this->script.pattern += this->script.pattern;
    }
    for (std::size_t i = 0; i < aCallers; ++i) {
      tcp::socket socket(this->context);
      socket.open(tcp::v4());
      socket.set_option(asio::socket_base::receive_buffer_size(kReceiveBytes));
      socket.connect(*ParseEndpoint(aAddress));
      socket.non_blocking(true);
      this->callers.push_back({ std::move(socket) });
    }
  }

  // Sends until no caller can go on: each has sent its script, has lost its connection, or was not
  // read for a while. Calls aObserve repeatedly meanwhile.
  void Send(const std::function<void()>& aObserve)
  {
    static constexpr auto kUnread = std::chrono::seconds(2);
    auto lastProgressAt = std::chrono::steady_clock::now();
    bool isSending = true;
    while (isSending && std::chrono::steady_clock::now() - lastProgressAt < kUnread) {
      isSending = false;
      bool hasProgress = false;
      for (Caller& caller : this->callers) {
        hasProgress = this->SendPiece(caller) || hasProgress;
        isSending = isSending || !caller.hasEnded;
      }
      if (hasProgress) {
        lastProgressAt = std::chrono::steady_clock::now();
      } else {
        std::this_thread::sleep_for(milliseconds(1));
      }
      aObserve();
    }
  }

  std::size_t SentBytes() const
  {
    std::size_t bytes = 0;
    for (const Caller& caller : this->callers) {
      bytes += caller.sentBytes;
    }
    return bytes;
  }

private:
  struct Caller
  {
    tcp::socket socket;
    std::size_t sentBytes = 0;
    bool hasEnded = false;
  };

  // Returns whether the caller has sent something.
  bool SendPiece(Caller& aCaller)
  {
    const std::size_t headBytes = this->script.head.size();
    const std::size_t allBytes = headBytes + this->script.patternBytes;
    aCaller.hasEnded = aCaller.hasEnded || aCaller.sentBytes == allBytes;
    if (aCaller.hasEnded) {
      return false;
    }
    std::string_view piece(this->script.head);
    if (aCaller.sentBytes < headBytes) {
      piece.remove_prefix(aCaller.sentBytes);
    } else {
      const std::size_t at = aCaller.sentBytes - headBytes;
      piece = std::string_view(this->script.pattern)
                .substr(at % this->script.pattern.size(), allBytes - aCaller.sentBytes);
    }
    beast::error_code error;
    const std::size_t sent =
      aCaller.socket.send(asio::buffer(piece), asio::socket_base::message_flags{}, error);
    aCaller.sentBytes += sent;
    aCaller.hasEnded = error && error != asio::error::would_block;
    return sent > 0;
  }

  asio::io_context context;
  Script script;
  std::vector<Caller> callers;
};

class OpenClientsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OpenClientsTest);
  CPPUNIT_TEST(EndlessTrailerLines);
  CPPUNIT_TEST(EndlessTrailerLine);
  CPPUNIT_TEST(EndlessChunkExtension);
  CPPUNIT_TEST(AnnouncedBodiesOverTheLimit);
  CPPUNIT_TEST(ChunkedBodiesOverTheLimit);
  CPPUNIT_TEST(OpenBodiesInLargeChunks);
  CPPUNIT_TEST(OpenBodiesInSmallChunks);
  CPPUNIT_TEST(OpenBodiesWithLength);
  CPPUNIT_TEST(UnreadResponses);
  CPPUNIT_TEST(SilentConnections);
  CPPUNIT_TEST(MoreOpenBodiesThanConnections);
  CPPUNIT_TEST(IdleConnectionsAfterOneRequest);
  CPPUNIT_TEST(MemoryDoesNotAddUpOverRounds);
  CPPUNIT_TEST(OpenBodiesAtTheAdminAddress);
  CPPUNIT_TEST(OpenFramesAtThePeerAddress);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a parser that buffers a trailer until its end.
  void EndlessTrailerLines()
  {
    this->Play(
      kFewCallers,
      { ChunkedHead() + "1\r\nx\r\n0\r\n", "Field: 0123456789abcdef\r\n", kBytesPerCaller });
  }

  void EndlessTrailerLine()
  {
    this->Play(kFewCallers, { ChunkedHead() + "1\r\nx\r\n0\r\nField: ", "x", kBytesPerCaller });
  }

  // Guards against a parser that buffers a chunk header until its end.
  void EndlessChunkExtension()
  {
    this->Play(kFewCallers, { ChunkedHead() + "1;name=", "x", kBytesPerCaller });
  }

  // Guards against reading, or reserving memory for, a body that is refused anyway.
  void AnnouncedBodiesOverTheLimit()
  {
    this->Play(kManyCallers, { LengthHead(64 * kMiB), "x", kBytesPerCaller });
  }

  // Guards against bodies that are only refused after all of them together have taken the memory.
  void ChunkedBodiesOverTheLimit()
  {
    this->Play(
      kManyCallers,
      { ChunkedHead(), "4000\r\n" + std::string(16 * kKiB, 'x') + "\r\n", kBytesPerCaller });
  }

  // Guards against bodies within the limit that never end and together take all memory.
  void OpenBodiesInLargeChunks()
  {
    const std::string chunk = "fc00\r\n" + std::string(63 * kKiB, 'x') + "\r\n";
    this->Play(kManyCallers, { ChunkedHead(), chunk, 16 * chunk.size() });
  }

  // As above; one byte a chunk must not take more memory than its byte of the body.
  void OpenBodiesInSmallChunks()
  {
    const std::string chunk = "1\r\nx\r\n";
    this->Play(kManyCallers, { ChunkedHead(), chunk, 700 * kKiB * chunk.size() });
  }

  void OpenBodiesWithLength()
  {
    this->Play(kManyCallers, { LengthHead(kMaxBodyBytes), "x", kMaxBodyBytes - kKiB });
  }

  // Guards against responses that are kept without bound for callers that do not read them. The
  // service responds with the body of its request.
  void UnreadResponses()
  {
    const std::size_t bytes = kMaxBodyBytes / 2;
    this->Play(kManyCallers, { LengthHead(bytes), "x", bytes });
  }

  // Guards against silent connections that keep all others out.
  void SilentConnections() { this->Play(kSilentCallers, {}); }

  // Guards against small requests that never end and take all places for connections: they need so
  // little memory that the ledger evicts none of them.
  void MoreOpenBodiesThanConnections()
  {
    this->Play(kSilentCallers, { LengthHead(kKiB), "x", kKiB - 1 });
  }

  // Guards against connections that take all places after one request that costs nothing.
  void IdleConnectionsAfterOneRequest()
  {
    this->Play(kSilentCallers,
               { "GET /unknown HTTP/1.1\r\nHost: quiz.example\r\n"
                 "X-Sycamorepost-Request-Id: open-client\r\n\r\n" });
  }

  // Guards against freed memory that stays in the process in pieces too small for what comes next:
  // each round holds bodies of another size.
  void MemoryDoesNotAddUpOverRounds()
  {
    PlatformDeployment deployment(MakeOptions());
    const std::string process = "/proc/" + std::to_string(deployment.entries[0].Pid());
    for (const std::size_t bytes : { 20 * kKiB, 100 * kKiB, 900 * kKiB, 200 * kKiB, 60 * kKiB }) {
      Crowd crowd(
        deployment.EntryIp(1) + ":7080", kManyCallers, { OpenChunkHead(bytes), "x", bytes });
      crowd.Send([] {});
      AwaitSettled(deployment.EntryIp(1), process, [] {});
      std::cout << ' ' << ReadStatus(process, "VmRSS:") / 1024 << " MiB" << std::flush;
    }
    CPPUNIT_ASSERT(deployment.entries[0].IsRunning());
    CPPUNIT_ASSERT(ReadStatus(process, "VmHWM:") < kMemoryMiB * 1024);
    const bool hasReturned = WaitUntil(
      kAwaitTimeout, [&] { return ReadStatus(process, "VmRSS:") < kMemoryMiB / 2 * 1024; });
    std::cout << ", afterwards " << ReadStatus(process, "VmRSS:") / 1024 << " MiB" << std::flush;
    CPPUNIT_ASSERT(hasReturned);
    // An account that is not closed would take its share of the capacity for good.
    CPPUNIT_ASSERT(WaitUntil(kAwaitTimeout, [&] {
      const std::string metrics =
        harness::SendHttpRequest(deployment.EntryIp(1) + ":7001", "GET", "/metrics").body;
      return metrics.find("sycamorepost_caller_memory_bytes 0\n") != std::string::npos;
    }));
  }

  // Guards against limits that hold at the callers' address only.
  void OpenBodiesAtTheAdminAddress()
  {
    this->Play(kManyCallers, { LengthHead(kMaxBodyBytes), "x", kMaxBodyBytes - kKiB }, ":7001");
  }

  // Guards against frames of any announced size. Sends the handshake of a peer and the start of a
  // frame that announces just below 64 MiB.
  void OpenFramesAtThePeerAddress()
  {
    using namespace std::string_literals;
    const std::string head = "\0SP\0\0\x50\0\0"s + "\0\0\0\0\x03\xff\xff\xff"s;
    this->Play(kFewCallers, { head, "x", kBytesPerCaller }, ":7000");
  }

private:
  static PlatformOptions MakeOptions()
  {
    return { "memory = " + std::to_string(kMemoryMiB) +
               "\ndescriptors = " + std::to_string(kDescriptors) + "\n",
             json{ { "MaxBodyBytes", kMaxBodyBytes }, { "IdleTimeoutMs", 60'000 } } };
  }

  // Has a crowd play its script at the first entry, and checks the entry while the connections are
  // still open.
  void Play(std::size_t aCallers, Script aScript, const std::string& aPort = ":7080")
  {
    PlatformDeployment deployment(MakeOptions());
    harness::Process& entry = deployment.entries[0];
    const std::string process = "/proc/" + std::to_string(entry.Pid());
    std::size_t descriptors = 0;
    Crowd crowd(deployment.EntryIp(1) + aPort, aCallers, std::move(aScript));
    const auto observe = [&] { descriptors = std::max(descriptors, CountDescriptors(process)); };
    crowd.Send(observe);
    AwaitSettled(deployment.EntryIp(1), process, observe);
    const bool isServed = WaitUntil(kAwaitTimeout, [&] {
      return deployment.SendRequest(1, "/draft/2", "ordinary", 100).status == 200;
    });
    const bool isAlive = entry.IsRunning();
    const std::size_t peakKiB = isAlive ? ReadStatus(process, "VmHWM:") : 0;
    std::cout << " sent " << crowd.SentBytes() / kMiB << " MiB, alive " << isAlive << ", peak "
              << peakKiB / 1024 << " MiB, descriptors " << descriptors
              << ", ordinary request served " << isServed << std::flush;
    CPPUNIT_ASSERT(isAlive);
    CPPUNIT_ASSERT_MESSAGE("resident MiB: " + std::to_string(peakKiB / 1024),
                           peakKiB < kMemoryMiB * 1024);
    CPPUNIT_ASSERT_MESSAGE("descriptors: " + std::to_string(descriptors),
                           descriptors < kDescriptors);
    CPPUNIT_ASSERT(isServed);
  }

  // Waits until the entry has read what the kernel holds for it, or reads no more: until neither
  // that nor its memory changes for a while.
  static void AwaitSettled(const std::string& aIp,
                           const std::string& aProcess,
                           const std::function<void()>& aObserve)
  {
    static constexpr auto kUnchanged = std::chrono::seconds(2);
    auto last = std::pair(UnreadBytes(aIp), ReadStatus(aProcess, "VmRSS:"));
    auto changedAt = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - changedAt < kUnchanged) {
      std::this_thread::sleep_for(milliseconds(20));
      const auto current = std::pair(UnreadBytes(aIp), ReadStatus(aProcess, "VmRSS:"));
      if (current != last) {
        last = current;
        changedAt = std::chrono::steady_clock::now();
      }
      aObserve();
    }
  }

  // Returns the bytes that the kernel holds for the connections of an entry.
  static std::size_t UnreadBytes(const std::string& aIp)
  {
    std::ostringstream local; // As the kernel prints it: the address in memory order.
    local << std::uppercase << std::hex << std::setfill('0') << std::setw(8)
          << htonl(asio::ip::make_address_v4(aIp).to_uint()) << ':';
    std::ifstream table("/proc/net/tcp");
    std::size_t bytes = 0;
    for (std::string line; std::getline(table, line);) {
      std::istringstream words(line);
      std::string slot;
      std::string address;
      std::string remote;
      std::string state;
      std::string queues; // "sent:received", in hexadecimal digits.
      words >> slot >> address >> remote >> state >> queues;
      if (address.starts_with(local.str()) && queues.find(':') != std::string::npos) {
        bytes += std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
      }
    }
    return bytes;
  }

  static std::size_t CountDescriptors(const std::string& aProcess)
  {
    std::error_code error; // The process may have ended.
    const std::filesystem::directory_iterator files(aProcess + "/fd", error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(files), end(files)));
  }

  // Returns a value in KiB of the status of a process; VmHWM is its largest VmRSS so far.
  static std::size_t ReadStatus(const std::string& aProcess, const std::string& aName)
  {
    std::ifstream status(aProcess + "/status");
    std::size_t kib = 0;
    for (std::string word; status >> word;) {
      if (word == aName) {
        status >> kib;
      }
    }
    return kib;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OpenClientsTest);

} // namespace
} // namespace sycamorepost
