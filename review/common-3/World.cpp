#include "World.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

constexpr std::int64_t kHeartbeatMs = 1200;
constexpr std::int64_t kServerIdleMs = 60'000;

const auto kStart = std::chrono::steady_clock::now();

std::string
Quote(const std::string& aText)
{
  return "\"" + aText + "\"";
}

std::string
BigEndian(std::uint64_t aNumber, int aBytes)
{
  std::string bytes;
  for (int shift = (aBytes - 1) * 8; shift >= 0; shift -= 8) {
    bytes.push_back(static_cast<char>((aNumber >> shift) & 0xff));
  }
  return bytes;
}

std::string
Base64(const std::string& aBytes)
{
  static const char* const kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      group =
        (group << 8) | (i + k < aBytes.size() ? static_cast<unsigned char>(aBytes[i + k]) : 0);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text += i + k <= aBytes.size() ? kDigits[(group >> (18 - 6 * k)) & 63] : '=';
    }
  }
  return text;
}

std::string
MakeResponse(const std::string& aStatus, const std::string& aFields, const std::string& aBody)
{
  return "HTTP/1.1 " + aStatus + "\r\n" + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

sockaddr_in
Loopback(int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  return address;
}

// Parses the head of a message; returns false if it is malformed.
bool
ParseHead(const std::string& aText, HttpMessage& aMessage)
{
  std::istringstream lines(aText);
  std::string line;
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    if (aMessage.first.empty()) {
      aMessage.first = line;
      continue;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      return false;
    }
    std::size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') {
      ++value;
    }
    aMessage.fields.emplace_back(line.substr(0, colon), line.substr(value));
  }
  return aMessage.first.find("HTTP/1.") != std::string::npos;
}

} // namespace

std::int64_t
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               kStart)
    .count();
}

void
SleepMs(std::int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

void
GiveUp(const std::string& aReason)
{
  std::fprintf(stderr, "the case could not run: %s\n", aReason.c_str());
  std::_Exit(kCouldNotRun);
}

Record::Record(const std::string& aPath)
  : file(aPath, std::ios::trunc)
{
  if (!this->file) {
    GiveUp("cannot write " + aPath);
  }
}

void
Record::Line(const std::string& aText)
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  char time[32];
  std::snprintf(time, sizeof(time), "%9.3f  ", static_cast<double>(NowMs()) / 1000);
  this->file << time << aText << std::endl;
}

int
FreePort()
{
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof(address);
  if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    GiveUp("no free port");
  }
  close(descriptor);
  return ntohs(address.sin_port);
}

std::string
HttpMessage::Field(const std::string& aName) const
{
  for (const auto& [name, value] : this->fields) {
    if (strcasecmp(name.c_str(), aName.c_str()) == 0) {
      return value;
    }
  }
  return "";
}

std::string
HttpMessage::Method() const
{
  return this->first.substr(0, this->first.find(' '));
}

std::string
HttpMessage::Path() const
{
  const std::size_t begin = this->first.find(' ') + 1;
  return this->first.substr(begin, this->first.find_first_of(" ?", begin) - begin);
}

std::string
HttpMessage::Query(const std::string& aName) const
{
  const std::size_t question = this->first.find('?');
  const std::size_t end = this->first.rfind(' ');
  if (question == std::string::npos || question > end) {
    return "";
  }
  std::istringstream pairs(this->first.substr(question + 1, end - question - 1));
  std::string pair;
  while (std::getline(pairs, pair, '&')) {
    if (pair.rfind(aName + "=", 0) == 0) {
      return pair.substr(aName.size() + 1);
    }
  }
  return "";
}

Channel::Channel(Channel&& aOther) noexcept
  : descriptor(std::exchange(aOther.descriptor, -1))
  , buffer(std::move(aOther.buffer))
{
}

Channel&
Channel::operator=(Channel&& aOther) noexcept
{
  this->Close();
  this->descriptor = std::exchange(aOther.descriptor, -1);
  this->buffer = std::move(aOther.buffer);
  return *this;
}

bool
Channel::Connect(int aPort)
{
  this->Close();
  this->descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(aPort);
  if (connect(this->descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
      0) {
    this->Close();
    return false;
  }
  const int on = 1;
  setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return true;
}

bool
Channel::Send(const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t size =
      send(this->descriptor, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

Channel::Result
Channel::ReadMore(std::int64_t aUntilMs)
{
  pollfd ready{ this->descriptor, POLLIN, 0 };
  const std::int64_t left = std::max<std::int64_t>(0, aUntilMs - NowMs());
  if (poll(&ready, 1, static_cast<int>(left)) != 1) {
    return Result::TimedOut;
  }
  static thread_local std::vector<char> sBytes(256 * 1024);
  const ssize_t size = recv(this->descriptor, sBytes.data(), sBytes.size(), 0);
  if (size <= 0) {
    return Result::Closed;
  }
  this->buffer.append(sBytes.data(), static_cast<std::size_t>(size));
  return Result::Ok;
}

Channel::Result
Channel::Read(HttpMessage& aMessage, std::int64_t aTimeoutMs, bool aIsHeadOnly)
{
  const std::int64_t until = NowMs() + aTimeoutMs;
  aMessage = {};
  std::size_t end = this->buffer.find("\r\n\r\n");
  while (end == std::string::npos) {
    const Result result = this->ReadMore(until);
    if (result != Result::Ok) {
      return result;
    }
    end = this->buffer.find("\r\n\r\n");
  }
  const std::string head = this->buffer.substr(0, end);
  this->buffer.erase(0, end + 4);
  if (!ParseHead(head, aMessage)) {
    return Result::Malformed;
  }
  const std::string length = aMessage.Field("Content-Length");
  if (aIsHeadOnly || length.empty()) {
    return Result::Ok;
  }
  const std::size_t bytes = std::strtoul(length.c_str(), nullptr, 10);
  while (this->buffer.size() < bytes) {
    const Result result = this->ReadMore(until);
    if (result != Result::Ok) {
      return result;
    }
  }
  aMessage.body = this->buffer.substr(0, bytes);
  this->buffer.erase(0, bytes);
  return Result::Ok;
}

Channel::Result
Channel::ReadChunks(std::string& aBody, std::int64_t aTimeoutMs)
{
  const std::int64_t until = NowMs() + aTimeoutMs;
  while (true) {
    const std::size_t end = this->buffer.find("\r\n");
    const std::size_t size =
      end == std::string::npos ? 0 : std::strtoul(this->buffer.c_str(), nullptr, 16);
    if (end == std::string::npos || this->buffer.size() < end + 2 + size + 2) {
      const Result result = this->ReadMore(until);
      if (result != Result::Ok) {
        return result;
      }
      continue;
    }
    aBody += this->buffer.substr(end + 2, size);
    this->buffer.erase(0, end + 2 + size + 2);
    if (size == 0) {
      return Result::Ok;
    }
  }
}

void
Channel::TakeBody(std::size_t& aBytes, std::int64_t aTimeoutMs)
{
  const std::int64_t until = NowMs() + aTimeoutMs;
  do {
    const std::size_t taken = std::min(aBytes, this->buffer.size());
    this->buffer.erase(0, taken);
    aBytes -= taken;
  } while (aBytes > 0 && this->ReadMore(until) == Result::Ok);
}

void
Channel::Close()
{
  if (this->descriptor >= 0) {
    close(this->descriptor);
  }
  this->descriptor = -1;
  this->buffer.clear();
}

const char*
ToString(Channel::Result aResult)
{
  switch (aResult) {
    case Channel::Result::Ok:
      return "answered";
    case Channel::Result::Closed:
      return "the channel was closed without a whole answer";
    case Channel::Result::TimedOut:
      return "no answer in time";
    case Channel::Result::Malformed:
      return "bytes that are no answer";
  }
  return "";
}

Listener::Listener(Handler aHandler, bool aReadsHeadsOnly, int aReceiveBytes)
  : handler(std::move(aHandler))
{
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (aReceiveBytes > 0) {
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &aReceiveBytes, sizeof(aReceiveBytes));
  }
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof(address);
  if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) != 0 ||
      listen(descriptor, 4096) != 0) {
    GiveUp("cannot listen");
  }
  this->port = ntohs(address.sin_port);
  std::thread([this, descriptor, aReadsHeadsOnly] {
    while (true) {
      const int accepted = accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        SleepMs(10);
        continue;
      }
      std::thread([this, accepted, aReadsHeadsOnly] {
        Channel channel(accepted);
        HttpMessage request;
        while (channel.Read(request, kServerIdleMs, aReadsHeadsOnly) == Channel::Result::Ok &&
               this->handler(request, channel)) {
        }
      }).detach();
    }
  }).detach();
}

Store::Store()
  : listener([this](const HttpMessage& aRequest, Channel& aChannel) {
    return this->Serve(aRequest, aChannel);
  })
{
}

void
Store::Put(const std::string& aTopic, const std::string& aKey, const std::string& aValue)
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->Append(this->topics[aTopic], static_cast<char>(aKey.size()) + aKey + aValue);
}

void
Store::Append(Topic& aTopic, std::string aRecord)
{
  const std::size_t length = static_cast<unsigned char>(aRecord.front());
  const std::string key = aRecord.substr(1, length);
  if (aRecord.size() > length + 1) {
    aTopic.newest[key] = aTopic.records.size();
  } else {
    aTopic.newest.erase(key);
  }
  aTopic.records.push_back(std::move(aRecord));
  this->changed.notify_all();
}

bool
Store::Serve(const HttpMessage& aRequest, Channel& aChannel)
{
  static const std::string kEra = "Store-Era: 1\r\n";
  std::unique_lock<std::mutex> lock(this->mutex);
  Topic& topic = this->topics[aRequest.Query("Topic")];
  std::string response;
  if (aRequest.Path() == "/log-append") {
    const std::size_t offset = topic.records.size();
    for (std::size_t at = 0; at + 4 < aRequest.body.size();) {
      std::size_t length = 0;
      for (std::size_t i = 0; i < 4; ++i) {
        length = (length << 8) | static_cast<unsigned char>(aRequest.body[at + i]);
      }
      this->Append(topic, aRequest.body.substr(at + 4, length));
      at += 4 + length;
    }
    response = MakeResponse("200 OK",
                            kEra + "Content-Type: application/json\r\n",
                            "{\"Offset\":" + std::to_string(offset) +
                              ",\"End\":" + std::to_string(topic.records.size()) + "}");
  } else if (aRequest.Path() == "/log-newest") {
    std::string entries;
    for (const auto& [key, offset] : topic.newest) {
      entries += (entries.empty() ? "" : ",") + std::string("{\"Key\":") + Quote(key) +
                 ",\"Value\":" + Quote(Base64(topic.records[offset].substr(1 + key.size()))) +
                 ",\"Offset\":" + std::to_string(offset) + "}";
    }
    response = MakeResponse("200 OK",
                            kEra + "Content-Type: application/json\r\n",
                            "{\"Entries\":[" + entries + "],\"MorePages\":false,\"End\":" +
                              std::to_string(topic.records.size()) + "}");
  } else if (aRequest.Path() == "/log-read") {
    const std::size_t from = std::strtoul(aRequest.Query("From").c_str(), nullptr, 10);
    const auto wait = std::chrono::milliseconds(std::atol(aRequest.Query("WaitMs").c_str()));
    this->changed.wait_for(lock, wait, [&] { return topic.records.size() > from; });
    std::string page = BigEndian(topic.records.size(), 8) + BigEndian(0, 8);
    for (std::size_t i = from; i < topic.records.size(); ++i) {
      page += BigEndian(topic.records[i].size(), 4) + topic.records[i];
    }
    response = MakeResponse("200 OK", kEra, page);
  } else {
    response = MakeResponse("404 Not Found", kEra, "");
  }
  lock.unlock();
  return aChannel.Send(response);
}

void
KeepRegistered(Store& aStore, const std::string& aId, const std::string& aService, int aPort)
{
  const std::int64_t bornMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                                std::chrono::system_clock::now().time_since_epoch())
                                .count();
  std::thread([&aStore, aId, aService, aPort, bornMs] {
    for (int sequence = 1;; ++sequence) {
      aStore.Put("keyed.servers",
                 aId,
                 "{\"Service\":" + Quote(aService) +
                   ",\"Address\":\"127.0.0.1:" + std::to_string(aPort) +
                   "\",\"Zone\":\"bag-a\",\"Version\":\"v1\",\"Slots\":16,\"State\":\"ready\","
                   "\"ColdRemainingMs\":0,\"Seq\":" +
                   std::to_string(sequence) + ",\"born\":" + std::to_string(bornMs) + "}");
      SleepMs(kHeartbeatMs);
    }
  }).detach();
}

Server::Server(Store& aStore, Record& aRecord, std::string aId, std::string aService, Work aWork)
  : record(aRecord)
  , id(std::move(aId))
  , work(std::move(aWork))
  , listener([this](const HttpMessage& aRequest, Channel& aChannel) {
    return this->Serve(aRequest, aChannel);
  })
{
  KeepRegistered(aStore, this->id, aService, this->listener.Port());
}

bool
Server::Serve(const HttpMessage& aRequest, Channel& aChannel)
{
  const std::string request = aRequest.Field("X-Sycamorepost-Request-Id");
  const std::string echo = "X-Sycamorepost-Request-Id: " + request + "\r\n";
  if (aRequest.Field("X-Sycamorepost-Expected-Instance") != this->id) {
    return aChannel.Send(MakeResponse("421 Misdirected Request",
                                      echo + "X-Sycamorepost-Instance-Id: " + this->id +
                                        "\r\nX-Sycamorepost-Not-Executed: 1\r\n",
                                      ""));
  }
  if (request.empty()) {
    return aChannel.Send(MakeResponse("400 Bad Request", "X-Sycamorepost-Not-Executed: 1\r\n", ""));
  }
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    ++this->runs[request];
  }
  const Answer answer = this->work(aRequest);
  this->record.Line(this->id + " runs " + request + ": " + aRequest.Method() + " " +
                    aRequest.Path() + ", body of " + std::to_string(aRequest.body.size()));
  SleepMs(answer.workMs);
  const std::string body(aRequest.Method() == "HEAD" ? 0 : answer.bytes, 'z');
  std::string response = MakeResponse(
    "200 OK", echo + "X-Sycamorepost-Response-Signature: sig-" + this->id + "\r\n", body);
  const bool isSent = aChannel.Send(response);
  this->record.Line(this->id + (isSent ? " has answered " : " could not answer ") + request +
                    ": 200, body of " + std::to_string(body.size()));
  return isSent;
}

std::map<std::string, int>
Server::Runs()
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->runs;
}

LateReader::LateReader(Store& aStore, Record& aRecord, std::string aId, std::string aService)
  : record(aRecord)
  , id(std::move(aId))
  , listener([this](const HttpMessage& aRequest,
                    Channel& aChannel) { return this->Serve(aRequest, aChannel); },
             true,
             32 * 1024)
{
  KeepRegistered(aStore, this->id, aService, this->listener.Port());
}

bool
LateReader::Serve(const HttpMessage& aRequest, Channel& aChannel)
{
  const std::string request = aRequest.Field("X-Sycamorepost-Request-Id");
  const std::string echo = "X-Sycamorepost-Request-Id: " + request + "\r\n";
  if (aRequest.Field("X-Sycamorepost-Expected-Instance") != this->id) {
    aChannel.Send(MakeResponse("421 Misdirected Request",
                               echo + "X-Sycamorepost-Instance-Id: " + this->id +
                                 "\r\nX-Sycamorepost-Not-Executed: 1\r\n",
                               ""));
    return false;
  }
  std::size_t left = std::strtoul(aRequest.Field("Content-Length").c_str(), nullptr, 10);
  const std::int64_t readsAt = NowMs() + this->pauseMs;
  ++this->begun;
  this->record.Line(this->id + " runs " + request + " with a body of " + std::to_string(left) +
                    ", answers, and reads on after " + std::to_string(this->pauseMs) + " ms");
  bool isOpen = aChannel.Send("HTTP/1.1 200 OK\r\n" + echo +
                              "X-Sycamorepost-Response-Signature: sig-" + this->id +
                              "\r\nContent-Type: text/event-stream\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n");
  int event = 1;
  for (; isOpen && event <= kEvents; ++event) {
    if (NowMs() >= readsAt) {
      aChannel.TakeBody(left, kEventMs);
    }
    SleepMs(kEventMs);
    const std::string text = "id: " + std::to_string(event) + "\ndata: token\n\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
    isOpen = aChannel.Send(size + text + "\r\n");
  }
  isOpen = isOpen && aChannel.Send("0\r\n\r\n");
  this->record.Line(this->id + (isOpen ? " has sent all events of " : " lost the channel of ") +
                    request + "; " + std::to_string(left) + " bytes of the body were not read");
  return false;
}

std::string
MakeManifest(const std::vector<Route>& aRoutes, const std::vector<std::string>& aServices)
{
  std::string routes;
  for (const Route& route : aRoutes) {
    routes += (routes.empty() ? "" : ",") + std::string("{\"Name\":") + Quote(route.name) +
              ",\"Host\":\"quiz.example\",\"PathPrefix\":" + Quote(route.prefix) +
              ",\"Kind\":" + Quote(route.kind) +
              ",\"TimeoutMs\":" + std::to_string(route.timeoutMs) +
              ",\"TargetLatencyMs\":" + std::to_string(route.aimMs) +
              ",\"Priority\":1,\"Service\":" + Quote(route.service) +
              ",\"MaxAttempts\":2,\"Public\":false}";
  }
  std::string services;
  for (const std::string& service : aServices) {
    services += (services.empty() ? "" : ",") + std::string("{\"Name\":") + Quote(service) +
                ",\"HealthPath\":\"/healthz\",\"MaxConns\":4000,\"Protocol\":\"h1\",\"Tls\":false}";
  }
  return "{\"Version\":7,\"Routes\":[" + routes + "],\"Services\":[" + services +
         "],\"Limits\":{\"MaxHeaderBytes\":" + std::to_string(kMaxHeaderBytes) +
         ",\"MaxBodyBytes\":" + std::to_string(kMaxBodyBytes) +
         ",\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"hule930\","
         "\"ApiKeys\":[" +
         Quote(kKey) + "],\"Priority\":1}]}";
}

Entry::Entry(std::string aProgram, std::string aDirectory, int aNumber, const Store& aStore)
  : program(std::move(aProgram))
  , name("front-bag-a-" + std::to_string(aNumber))
  , settingsPath(aDirectory + "/" + this->name + ".toml")
  , logPath(aDirectory + "/" + this->name + ".log")
  , port(FreePort())
  , adminPort(FreePort())
{
  const auto address = [](int aPort) { return Quote("127.0.0.1:" + std::to_string(aPort)); };
  std::ofstream settings(this->settingsPath);
  settings << "[forward]\nname = " << Quote(this->name)
           << "\ndomain = \"bag-a\"\nhttp_address = " << address(this->port)
           << "\nadmin_address = " << address(this->adminPort)
           << "\npeer_address = " << address(FreePort())
           << "\nstore_address = " << Quote(aStore.Address())
           << "\ngrace = \"8s\"\ndescriptors = " << kMaxFds << "\nmemory = " << kMemoryMb
           << "\nretry_ratio = 0.2\nleave_bound = \"3000ms\"\nchange_bound = \"3000ms\"\n"
              "retry_slack = 128\ncold_overage = 1.5\ncold_slack = 5\n";
}

void
Entry::Start()
{
  const pid_t parent = getpid();
  this->process = fork();
  if (this->process < 0) {
    GiveUp("no process can be started");
  }
  if (this->process == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      std::_Exit(kCouldNotRun);
    }
    const int log = open(this->logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execl(this->program.c_str(),
          this->program.c_str(),
          "--config",
          this->settingsPath.c_str(),
          static_cast<char*>(nullptr));
    std::_Exit(127);
  }
}

void
Entry::Stop()
{
  kill(this->process, SIGTERM);
}

void
Entry::Kill()
{
  if (this->process > 0) {
    kill(this->process, SIGKILL);
    waitpid(this->process, nullptr, 0);
  }
  this->process = -1;
}

bool
Entry::IsRunning()
{
  if (this->process > 0 && waitpid(this->process, nullptr, WNOHANG) == this->process) {
    this->process = -1;
  }
  return this->process > 0;
}

int
Entry::ReadyStatus()
{
  Channel channel;
  HttpMessage response;
  const bool isAnswered = channel.Connect(this->adminPort) &&
                          channel.Send("GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n") &&
                          channel.Read(response, 1000) == Channel::Result::Ok;
  return isAnswered ? std::atoi(response.first.c_str() + 9) : 0;
}

void
Entry::AwaitReady()
{
  for (int i = 0; i < 200; ++i) {
    if (this->ReadyStatus() == 200) {
      return;
    }
    SleepMs(50);
  }
  GiveUp(this->name + " does not become ready");
}

std::string
MakeRequest(const std::string& aMethod,
            const std::string& aPath,
            const std::string& aId,
            int aDeadlineMs,
            const std::string& aBody,
            const std::string& aMoreFields)
{
  return aMethod + " " + aPath +
         " HTTP/1.1\r\nHost: quiz.example\r\nX-Sycamorepost-Request-Id: " + aId +
         "\r\nX-Sycamorepost-Deadline: " + std::to_string(aDeadlineMs) +
         "\r\nAuthorization: Bearer " + kKey + "\r\n" + aMoreFields +
         (aMethod == "POST" ? "Content-Length: " + std::to_string(aBody.size()) + "\r\n" : "") +
         "\r\n" + aBody;
}

} // namespace review
