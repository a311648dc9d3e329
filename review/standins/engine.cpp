// Stand-in of an engine or plain server: it registers itself in the store and serves requests, one
// at a time on a channel.
//   engine IP:PORT STORE NAME SERVICE EFFECTS MODE
// EFFECTS is a file to which a line is appended for each request that begins to run. MODE:
//   plain          reads the whole request, runs it and answers with a length
//   work           the same, and works on a request for 400 ms
//   stream         streams ten events, 40 ms apart, with one pause of 1.6 s after the fifth, in
//   four
//                  slots; rejects what exceeds them (503 with X-Sycamorepost-Not-Executed)
//   errors         the same as plain, but fails one request in seven with its own 500
//   early          rejects a request with a long body before it has read the body (503 with
//                  X-Sycamorepost-Not-Executed), keeps the channel and reads the body on; every
//                  request with a short body runs
//   early-answer   answers a request with a long body before it has read the body, without a
//                  length: the first part of the answer at once, the rest after the body
#include <atomic>
#include <fstream>
#include <mutex>

#include "Net.h"

using namespace review;

namespace {

constexpr std::size_t kLongBody = 64 * 1024;
constexpr int kWorkMs = 400;
constexpr int kSlots = 4; // Of a streaming engine.
constexpr int kEvents = 10;
constexpr int kEventMs = 40;
constexpr int kPauseAfterEvent = 5;
constexpr int kPauseMs = 1600;
constexpr int kReadOnAfterMs = 300; // How long an engine that has answered early reads nothing.
constexpr int kPieceMs = 2;         // Time for each piece of a long body that is read slowly.

std::string gName;
std::string gEffects;
std::string gMode;
std::atomic<int> gStreams{ 0 };

void
RecordRun(const std::string& aId)
{
  const std::string line = aId + " " + gName + "\n";
  const int fd = open(gEffects.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  if (write(fd, line.data(), line.size()) < 0) {
    std::perror("effects");
  }
  close(fd);
}

std::string
MakeHead(int aStatus, const std::string& aId, const std::string& aMore)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " X\r\nX-Sycamorepost-Request-Id: " + aId +
         "\r\nX-Sycamorepost-Response-Signature: sig-" + gName + "-" + aId + "\r\n" + aMore +
         "\r\n";
}

std::string
Length(std::size_t aSize)
{
  return "Content-Length: " + std::to_string(aSize) + "\r\n";
}

// Streams the events after the last one that the client has, unless the caller closes the channel.
void
Stream(int aFd, const Head& aHead, const std::string& aId)
{
  const std::string last = aHead.Field("Last-Event-Id");
  bool open = SendAll(
    aFd, MakeHead(200, aId, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
  for (int event = last.empty() ? 1 : std::atoi(last.c_str()) + 1; open && event <= kEvents;
       ++event) {
    SleepMs(event == kPauseAfterEvent + 1 && last.empty() ? kPauseMs : kEventMs);
    const std::string text = "id: " + std::to_string(event) + "\ndata: " + aId + "\n\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
    char probe = 0;
    open = recv(aFd, &probe, 1, MSG_DONTWAIT | MSG_PEEK) != 0 && SendAll(aFd, size + text + "\r\n");
  }
  if (open) {
    SendAll(aFd, "0\r\n\r\n");
  }
}

// Returns whether the channel may be kept.
bool
Answer(int aFd, Reader& aReader, const Head& aHead)
{
  const std::string id = aHead.Field("X-Sycamorepost-Request-Id");
  const std::size_t size = std::strtoul(aHead.Field("Content-Length").c_str(), nullptr, 10);
  const std::string expected = aHead.Field("X-Sycamorepost-Expected-Instance");
  if (!expected.empty() && expected != gName) {
    SendAll(aFd, MakeHead(421, id, "X-Sycamorepost-Not-Executed: 1\r\n" + Length(0)));
    return false;
  }
  std::string body;
  bool complete = false;
  if (size > kLongBody && gMode == "early") {
    SendAll(aFd, MakeHead(503, id, "X-Sycamorepost-Not-Executed: 1\r\n" + Length(0)));
    return aReader.ReadBody(aHead, false, body, complete) == End::Ok;
  }
  if (size > kLongBody && gMode == "early-answer") {
    RecordRun(id);
    SendAll(aFd, MakeHead(200, id, "Connection: close\r\n") + "begin " + id + "\n");
    SleepMs(kReadOnAfterMs);
    for (std::size_t left = size; left > 0;) {
      const std::size_t piece = std::min(left, kLongBody);
      if (aReader.ReadExact(piece, body) != End::Ok) {
        return false;
      }
      left -= piece;
      SleepMs(kPieceMs);
    }
    SendAll(aFd, "end " + id + "\n");
    return false;
  }
  if (aReader.ReadBody(aHead, false, body, complete) != End::Ok || !complete) {
    return false;
  }
  if (gMode == "stream") {
    if (++gStreams > kSlots) {
      --gStreams;
      SendAll(aFd, MakeHead(503, id, "X-Sycamorepost-Not-Executed: 1\r\n" + Length(0)));
      return false;
    }
    RecordRun(id);
    Stream(aFd, aHead, id);
    --gStreams;
    return false;
  }
  RecordRun(id);
  if (gMode == "work") {
    SleepMs(kWorkMs);
  }
  if (gMode == "errors" && std::hash<std::string>()(id) % 7 == 0) {
    return SendAll(aFd, MakeHead(500, id, Length(0)));
  }
  const std::string answer = gName + " read " + std::to_string(body.size()) + " bytes\n";
  return SendAll(aFd, MakeHead(200, id, Length(answer.size())) + answer);
}

void
Serve(int aFd)
{
  const int one = 1;
  setsockopt(aFd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  Reader reader(aFd);
  Head head;
  while (reader.ReadHead(head) == End::Ok && Answer(aFd, reader, head)) {
  }
  close(aFd);
}

void
Register(const Address& aStore, const std::string& aService, const std::string& aListen)
{
  const std::int64_t born = UnixMs();
  for (int sequence = 1;; ++sequence) {
    const std::string value = "{\"Service\":\"" + aService + "\",\"Address\":\"" + aListen +
                              "\",\"Zone\":\"hobart\",\"Version\":1,\"Slots\":" +
                              std::to_string(gMode == "stream" ? kSlots : 16) +
                              ","
                              "\"State\":\"ready\",\"ColdRemainingMs\":0,\"Seq\":" +
                              std::to_string(sequence) + ",\"born\":" + std::to_string(born) + "}";
    const std::string record = std::string(1, static_cast<char>(gName.size())) + gName + value;
    std::string body;
    for (int shift = 24; shift >= 0; shift -= 8) {
      body.push_back(static_cast<char>((record.size() >> shift) & 0xff));
    }
    body += record;
    Call(aStore,
         MakeRequest("POST",
                     "/log-append?Topic=keyed.servers&part=0",
                     { { "Host", "store" }, { "Connection", "close" } },
                     body.size()),
         body,
         1000);
    SleepMs(1200);
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 7) {
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  gName = aArguments[3];
  gEffects = aArguments[5];
  gMode = aArguments[6];
  // A small window, as the links of the platform have.
  const int listener = Listen(ParseAddress(aArguments[1]), 64 * 1024);
  std::thread(
    Register, ParseAddress(aArguments[2]), std::string(aArguments[4]), std::string(aArguments[1]))
    .detach();
  while (true) {
    const int fd = accept(listener, nullptr, nullptr);
    if (fd >= 0) {
      std::thread(Serve, fd).detach();
    }
  }
}
