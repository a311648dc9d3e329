// A small deployment on loopback for the cases of this review: a store and servers as threads of
// this process, and the project's entry as a separate process, started with the command and the
// settings template of the deploy file. Uses POSIX calls only.
#ifndef REVIEW_COMMON_2_RIG_H_
#define REVIEW_COMMON_2_RIG_H_

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rig {

using Clock = std::chrono::steady_clock;

inline Clock::time_point&
StartTime()
{
  static Clock::time_point start = Clock::now();
  return start;
}

inline double
Seconds()
{
  return std::chrono::duration<double>(Clock::now() - StartTime()).count();
}

inline void
SleepMs(double aMs)
{
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(aMs));
}

// Threads with small stacks: hundreds of them serve connections.
inline void
Spawn(std::function<void()> aWork)
{
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
  pthread_attr_setstacksize(&attributes, 256 * 1024);
  pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
  auto* work = new std::function<void()>(std::move(aWork));
  pthread_t thread{};
  const int result = pthread_create(
    &thread,
    &attributes,
    [](void* aWork) -> void* {
      std::unique_ptr<std::function<void()>> owned(static_cast<std::function<void()>*>(aWork));
      (*owned)();
      return nullptr;
    },
    work);
  pthread_attr_destroy(&attributes);
  if (result != 0) {
    delete work;
  }
}

// ---- Record ----

class Record
{
public:
  explicit Record(const std::string& aPath)
    : file(std::fopen(aPath.c_str(), "w"))
  {
  }

  void Line(const char* aFormat, ...) __attribute__((format(printf, 2, 3)))
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::fprintf(this->file, "%8.3f ", Seconds());
    va_list arguments;
    va_start(arguments, aFormat);
    std::vfprintf(this->file, aFormat, arguments);
    va_end(arguments);
    std::fputc('\n', this->file);
    std::fflush(this->file);
  }

private:
  std::mutex mutex;
  std::FILE* file;
};

// ---- Sockets ----

struct Address
{
  std::string ip;
  int port = 0;
  std::string Text() const { return this->ip + ":" + std::to_string(this->port); }
};

inline sockaddr_in
ToSockaddr(const Address& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aAddress.port));
  inet_pton(AF_INET, aAddress.ip.c_str(), &address.sin_addr);
  return address;
}

struct DialOptions
{
  int receiveBytes = 0; // SO_RCVBUF; 0 for the system's choice.
  int segmentBytes = 0; // TCP_MAXSEG; 0 for the system's choice.
};

inline int
Dial(const Address& aTo, const DialOptions& aOptions = {}, const std::string& aFromIp = "")
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return -1;
  }
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  if (aOptions.receiveBytes > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &aOptions.receiveBytes, sizeof(int));
  }
  if (aOptions.segmentBytes > 0) {
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &aOptions.segmentBytes, sizeof(int));
  }
  if (!aFromIp.empty()) {
    const sockaddr_in from = ToSockaddr({ aFromIp, 0 });
    bind(fd, reinterpret_cast<const sockaddr*>(&from), sizeof(from));
  }
  const sockaddr_in to = ToSockaddr(aTo);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline bool
SendAll(int aFd, const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t count = send(aFd, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

// Returns the number of bytes read, 0 at the end, -1 on an error, -2 when nothing came in time.
inline int
ReceiveSome(int aFd, std::string& aBuffer, std::size_t aMax, int aTimeoutMs)
{
  pollfd ready{ aFd, POLLIN, 0 };
  const int polled = poll(&ready, 1, aTimeoutMs);
  if (polled == 0) {
    return -2;
  }
  std::vector<char> bytes(aMax);
  const ssize_t count = recv(aFd, bytes.data(), bytes.size(), 0);
  if (count > 0) {
    aBuffer.append(bytes.data(), static_cast<std::size_t>(count));
  }
  return static_cast<int>(count);
}

// ---- HTTP ----

struct Message
{
  std::string startLine;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  std::string Field(const std::string& aName) const
  {
    for (const auto& [name, value] : this->fields) {
      if (strcasecmp(name.c_str(), aName.c_str()) == 0) {
        return value;
      }
    }
    return {};
  }

  std::string Method() const { return this->startLine.substr(0, this->startLine.find(' ')); }

  std::string Target() const
  {
    const std::size_t from = this->startLine.find(' ') + 1;
    return this->startLine.substr(from, this->startLine.find(' ', from) - from);
  }

  std::string Path() const { return this->Target().substr(0, this->Target().find('?')); }

  std::string Query(const std::string& aName) const
  {
    const std::string target = this->Target();
    const std::size_t mark = target.find('?');
    std::istringstream query(mark == std::string::npos ? "" : target.substr(mark + 1));
    for (std::string pair; std::getline(query, pair, '&');) {
      if (pair.compare(0, aName.size() + 1, aName + "=") == 0) {
        return pair.substr(aName.size() + 1);
      }
    }
    return {};
  }

  int Status() const
  {
    return this->startLine.size() > 12 ? std::atoi(this->startLine.c_str() + 9) : 0;
  }
};

// Parses a head that ends with an empty line.
inline Message
ParseHead(const std::string& aText)
{
  Message message;
  std::istringstream lines(aText);
  std::getline(lines, message.startLine);
  if (!message.startLine.empty() && message.startLine.back() == '\r') {
    message.startLine.pop_back();
  }
  for (std::string line; std::getline(lines, line);) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') {
        ++value;
      }
      message.fields.emplace_back(line.substr(0, colon), line.substr(value));
    }
  }
  return message;
}

// Reads one message with a Content-Length or without a body. Returns false at the end of the
// connection, on an error and when it does not arrive in time.
inline bool
ReadMessage(int aFd, std::string& aBuffer, Message& aMessage, int aTimeoutMs)
{
  const auto deadline = Clock::now() + std::chrono::milliseconds(aTimeoutMs);
  const auto receive = [&] {
    const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now()).count();
    return left > 0 && ReceiveSome(aFd, aBuffer, 64 * 1024, static_cast<int>(left)) > 0;
  };
  std::size_t end = 0;
  while ((end = aBuffer.find("\r\n\r\n")) == std::string::npos) {
    if (!receive()) {
      return false;
    }
  }
  aMessage = ParseHead(aBuffer.substr(0, end + 2));
  aBuffer.erase(0, end + 4);
  const std::string length = aMessage.Field("Content-Length");
  const std::size_t size = length.empty() ? 0 : std::strtoull(length.c_str(), nullptr, 10);
  while (aBuffer.size() < size) {
    if (!receive()) {
      return false;
    }
  }
  aMessage.body = aBuffer.substr(0, size);
  aBuffer.erase(0, size);
  return true;
}

// Serves each connection on a thread; the handler returns when the connection is to be closed.
class Listener
{
public:
  using Handler = std::function<void(int aFd)>;

  bool Start(const Address& aAddress, Handler aHandler)
  {
    this->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(this->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    const sockaddr_in address = ToSockaddr(aAddress);
    if (bind(this->fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
        listen(this->fd, 1024) != 0) {
      return false;
    }
    Spawn([this, handler = std::move(aHandler)] {
      while (true) {
        const int connection = accept4(this->fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0) {
          if (errno == EBADF || errno == EINVAL) {
            return;
          }
          SleepMs(5);
          continue;
        }
        const int nodelay = 1;
        setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &nodelay, sizeof(nodelay));
        Spawn([connection, handler] {
          handler(connection);
          close(connection);
        });
      }
    });
    return true;
  }

private:
  int fd = -1;
};

// ---- Store ----

// The part of the platform's store that entries use: topics of keyed records with one partition.
class Store
{
public:
  bool Start(const Address& aAddress)
  {
    return this->listener.Start(aAddress, [this](int aFd) { this->Serve(aFd); });
  }

  void Put(const std::string& aTopic, const std::string& aKey, const std::string& aValue)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->AppendLocked(aTopic, std::string(1, static_cast<char>(aKey.size())) + aKey + aValue);
  }

  bool Has(const std::string& aTopic, const std::string& aKey)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->topics[aTopic].newest.contains(aKey);
  }

  // Returns the number of keys with a prefix.
  std::size_t Count(const std::string& aTopic, const std::string& aPrefix)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto& newest = this->topics[aTopic].newest;
    return static_cast<std::size_t>(
      std::count_if(newest.begin(), newest.end(), [&](const auto& aItem) {
        return aItem.first.compare(0, aPrefix.size(), aPrefix) == 0;
      }));
  }

private:
  struct Topic
  {
    std::vector<std::string> records;
    std::map<std::string, std::size_t> newest;
  };

  static std::string BigEndian(std::uint64_t aNumber, int aBytes)
  {
    std::string bytes;
    for (int shift = (aBytes - 1) * 8; shift >= 0; shift -= 8) {
      bytes.push_back(static_cast<char>((aNumber >> shift) & 0xff));
    }
    return bytes;
  }

  static std::string Base64(const std::string& aBytes)
  {
    static const char* kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < aBytes.size(); i += 3) {
      std::uint32_t group = 0;
      for (std::size_t j = 0; j < 3; ++j) {
        group =
          (group << 8) | (i + j < aBytes.size() ? static_cast<unsigned char>(aBytes[i + j]) : 0);
      }
      for (std::size_t j = 0; j < 4; ++j) {
        text += i + j <= aBytes.size() ? kDigits[(group >> (18 - 6 * j)) & 63] : '=';
      }
    }
    return text;
  }

  void AppendLocked(const std::string& aTopic, const std::string& aRecord)
  {
    Topic& topic = this->topics[aTopic];
    topic.records.push_back(aRecord);
    const auto length = static_cast<unsigned char>(aRecord[0]);
    const std::string key = aRecord.substr(1, length);
    if (aRecord.size() > length + 1U) {
      topic.newest[key] = topic.records.size() - 1;
    } else {
      topic.newest.erase(key);
    }
    this->changed.notify_all();
  }

  void Serve(int aFd)
  {
    std::string buffer;
    Message request;
    while (ReadMessage(aFd, buffer, request, 60'000)) {
      const std::string path = request.Path();
      std::string type = "application/json";
      std::string body;
      int status = 200;
      std::unique_lock<std::mutex> lock(this->mutex);
      Topic& topic = this->topics[request.Query("Topic")];
      if (path == "/log-append") {
        const std::size_t offset = topic.records.size();
        std::size_t at = 0;
        while (at + 4 <= request.body.size()) {
          std::size_t length = 0;
          for (int i = 0; i < 4; ++i) {
            length = (length << 8) | static_cast<unsigned char>(request.body[at + i]);
          }
          this->AppendLocked(request.Query("Topic"), request.body.substr(at + 4, length));
          at += 4 + length;
        }
        body = "{\"Offset\":" + std::to_string(offset) +
               ",\"End\":" + std::to_string(topic.records.size()) + "}";
      } else if (path == "/log-read") {
        const std::size_t from = std::strtoull(request.Query("From").c_str(), nullptr, 10);
        const int wait = std::atoi(request.Query("WaitMs").c_str());
        this->changed.wait_for(
          lock, std::chrono::milliseconds(wait), [&] { return topic.records.size() > from; });
        const std::string kb = request.Query("MaxKb");
        const std::size_t max = 1024 * (kb.empty() ? 1024 : std::strtoull(kb.c_str(), nullptr, 10));
        if (from > topic.records.size()) {
          status = 410;
          body = "{\"First\":0}";
        } else {
          type = "application/octet-stream";
          body = BigEndian(topic.records.size(), 8) + BigEndian(0, 8);
          for (std::size_t i = from; i < topic.records.size(); ++i) {
            if (i > from && body.size() + topic.records[i].size() > max) {
              break;
            }
            body += BigEndian(topic.records[i].size(), 4) + topic.records[i];
          }
        }
      } else if (path == "/log-newest") {
        body = "{\"Entries\":[";
        const char* comma = "";
        for (const auto& [key, offset] : topic.newest) {
          body += std::string(comma) + "{\"Key\":\"" + key + "\",\"Value\":\"" +
                  Base64(topic.records[offset].substr(1 + key.size())) +
                  "\",\"Offset\":" + std::to_string(offset) + "}";
          comma = ",";
        }
        body += "],\"MorePages\":false,\"End\":" + std::to_string(topic.records.size()) + "}";
      } else {
        status = 404;
        body = "{}";
      }
      lock.unlock();
      const std::string head =
        "HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Type: " + type +
        "\r\nStore-Era: 1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
      if (!SendAll(aFd, head + body) || request.Field("Connection") == "close") {
        return;
      }
    }
  }

  Listener listener;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Topic> topics;
};

// ---- Servers ----

// A server that has registered itself. What it does with a request is up to the case.
class Server
{
public:
  using Handler = std::function<void(Server& aServer, const Message& aRequest, int aFd)>;

  bool Start(Store& aStore,
             const Address& aAddress,
             std::string aId,
             std::string aService,
             std::string aZone,
             int aSlots,
             Handler aHandler)
  {
    this->id = std::move(aId);
    this->handler = std::move(aHandler);
    const std::int64_t born = std::chrono::duration_cast<std::chrono::milliseconds>(
                                std::chrono::system_clock::now().time_since_epoch())
                                .count();
    const bool started = this->listener.Start(aAddress, [this](int aFd) { this->Serve(aFd); });
    if (!started) {
      return false;
    }
    Spawn([this, &aStore, aAddress, aService, aZone, aSlots, born] {
      for (int sequence = 1;; ++sequence) {
        aStore.Put(
          "keyed.servers",
          this->id,
          "{\"Service\":\"" + aService + "\",\"Address\":\"" + aAddress.Text() + "\",\"Zone\":\"" +
            aZone + "\",\"Version\":\"v1\",\"Slots\":" + std::to_string(aSlots) +
            ",\"State\":\"ready\",\"ColdRemainingMs\":0,\"Seq\":" + std::to_string(sequence) +
            ",\"born\":" + std::to_string(born) + "}");
        SleepMs(1200); // HeartbeatMs.
      }
    });
    return true;
  }

  const std::string& Id() const { return this->id; }

  // The fields that each answer of the server bears.
  std::string AnswerFields(const Message& aRequest) const
  {
    return "X-Sycamorepost-Request-Id: " + aRequest.Field("X-Sycamorepost-Request-Id") +
           "\r\nX-Sycamorepost-Response-Signature: " + this->id + ".1\r\n";
  }

private:
  void Serve(int aFd)
  {
    std::string buffer;
    Message request;
    while (ReadMessage(aFd, buffer, request, 15'000)) {
      if (request.Path() == "/healthz") {
        SendAll(aFd,
                "HTTP/1.1 200 OK\r\nX-Sycamorepost-Instance-Id: " + this->id +
                  "\r\nContent-Length: 0\r\n\r\n");
      } else if (request.Field("X-Sycamorepost-Expected-Instance") != this->id) {
        SendAll(aFd,
                "HTTP/1.1 421 x\r\n" + this->AnswerFields(request) +
                  "X-Sycamorepost-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      } else {
        this->handler(*this, request, aFd);
      }
      if (request.Field("Connection") == "close") {
        return;
      }
    }
  }

  Listener listener;
  std::string id;
  Handler handler;
};

inline std::string
Chunk(const std::string& aBytes)
{
  char size[32];
  std::snprintf(size, sizeof(size), "%zx\r\n", aBytes.size());
  return size + aBytes + "\r\n";
}

// ---- The entry ----

// The fields of the platform's settings that the template names.
struct Machine
{
  std::string name;
  std::string zone;
  std::string ip;
  Address store;
  int memoryMb = 112;
  int maxFds = 2870;
  int graceS = 8;
};

inline Address
Front(const Machine& aMachine)
{
  return { aMachine.ip, 8227 };
}

inline Address
Ready(const Machine& aMachine)
{
  return { aMachine.ip, 8220 };
}

// Fills in the template of the deploy file. Sections are for bounds that these settings lack.
inline std::string
FillTemplate(const std::string& aTemplate, const Machine& aMachine)
{
  const std::map<std::string, std::string> values{
    { "NodeName", aMachine.name },
    { "Zone", aMachine.zone },
    { "Ip", aMachine.ip },
    { "Listen.Front", Front(aMachine).Text() },
    { "Listen.Ready", Ready(aMachine).Text() },
    { "PortRange.0", "7340" },
    { "Platform.Address", aMachine.store.Text() },
    { "Bounds.GraceS", std::to_string(aMachine.graceS) },
    { "Limits.MaxFds", std::to_string(aMachine.maxFds) },
    { "Limits.MemoryMb", std::to_string(aMachine.memoryMb) },
    { "Bounds.RetryBudgetRatio", "0.2" },
    { "Bounds.DrainMs", "3000" },
    { "Bounds.ConfigApplyMs", "3000" },
    { "Bounds.BudgetSlack", "212" },
  };
  std::ifstream file(aTemplate);
  std::string text;
  for (std::string line; std::getline(file, line);) {
    if (line.compare(0, 3, "{{#") == 0) {
      continue;
    }
    for (const auto& [name, value] : values) {
      const std::string placeholder = "{{" + name + "}}";
      for (std::size_t at = 0; (at = line.find(placeholder)) != std::string::npos;) {
        line.replace(at, placeholder.size(), value);
      }
    }
    text += line + "\n";
  }
  return text;
}

class Entry
{
public:
  ~Entry() { this->Kill(); }

  // Starts the program of the deploy file in the repository's root.
  bool Start(const std::string& aRoot, const std::string& aFolder, const Machine& aMachine)
  {
    const std::string config = aFolder + "/" + aMachine.name + ".toml";
    std::ofstream(config) << FillTemplate(aRoot + "/deploy/entry.toml.template", aMachine);
    const std::string log = aFolder + "/" + aMachine.name + ".log";
    const std::string program = aRoot + "/target/build/bin/sycamorepost-entry";
    if (access(program.c_str(), X_OK) != 0) {
      return false;
    }
    this->pid = fork();
    if (this->pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL); // The entry ends with the case.
      const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(file, 1);
      dup2(file, 2);
      execl(program.c_str(), program.c_str(), "--config", config.c_str(), nullptr);
      _exit(127);
    }
    return this->pid > 0;
  }

  int Pid() const { return this->pid; }

  // Returns whether the process still runs; aStatus gets its wait status otherwise.
  bool IsRunning(int* aStatus = nullptr)
  {
    if (this->pid <= 0) {
      return false;
    }
    int status = 0;
    if (waitpid(this->pid, &status, WNOHANG) == this->pid) {
      this->pid = -1;
      if (aStatus) {
        *aStatus = status;
      }
      return false;
    }
    return true;
  }

  void Signal(int aSignal)
  {
    if (this->pid > 0) {
      kill(this->pid, aSignal);
    }
  }

  void Kill()
  {
    if (this->pid > 0) {
      kill(this->pid, SIGKILL);
      waitpid(this->pid, nullptr, 0);
      this->pid = -1;
    }
  }

  // Returns a value in KiB of the status of the process.
  long StatusKiB(const std::string& aName) const
  {
    std::ifstream file("/proc/" + std::to_string(this->pid) + "/status");
    for (std::string word; file >> word;) {
      if (word == aName) {
        long value = 0;
        file >> value;
        return value;
      }
    }
    return -1;
  }

private:
  pid_t pid = -1;
};

inline bool
AwaitReady(const Machine& aMachine, double aTimeoutS)
{
  const auto deadline = Clock::now() + std::chrono::duration<double>(aTimeoutS);
  while (Clock::now() < deadline) {
    const int fd = Dial(Ready(aMachine));
    if (fd >= 0) {
      std::string buffer;
      Message answer;
      SendAll(fd, "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
      const bool ready = ReadMessage(fd, buffer, answer, 1000) && answer.Status() == 200;
      close(fd);
      if (ready) {
        return true;
      }
    }
    SleepMs(50);
  }
  return false;
}

inline std::string
FetchText(const Address& aAddress, const std::string& aPath)
{
  const int fd = Dial(aAddress);
  std::string buffer;
  Message answer;
  if (fd >= 0) {
    SendAll(fd, "GET " + aPath + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    ReadMessage(fd, buffer, answer, 2000);
    close(fd);
  }
  return answer.body;
}

// A network of its own for each run, so that addresses are free.
inline std::string
NetworkOf(pid_t aPid)
{
  return "127." + std::to_string(64 + aPid % 120) + "." + std::to_string(1 + aPid / 120 % 250) +
         ".";
}

// The manifest of the cases: the routes, kinds and limits of the sheet.
inline std::string
Manifest(int aVersion, const std::string& aRoutes, const std::string& aServices)
{
  return "{\"Version\":" + std::to_string(aVersion) + ",\"Routes\":[" + aRoutes +
         "],\"Services\":[" + aServices +
         "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
         "\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"hule930\",\"ApiKeys\":[\"key-1\"],"
         "\"Priority\":1}]}";
}

inline std::string
Route(const std::string& aName,
      const std::string& aKind,
      const std::string& aService,
      int aTimeoutMs,
      int aTargetMs,
      bool aResumable,
      int aGapMs)
{
  std::string text =
    "{\"Name\":\"" + aName + "\",\"Host\":\"site.example\",\"PathPrefix\":\"/" + aName +
    "/\",\"Kind\":\"" + aKind + "\",\"TimeoutMs\":" + std::to_string(aTimeoutMs) +
    ",\"TargetLatencyMs\":" + std::to_string(aTargetMs) + ",\"Priority\":1,\"Service\":\"" +
    aService +
    "\",\"MaxAttempts\":2,\"Public\":false,\"Resumable\":" + (aResumable ? "true" : "false");
  if (aGapMs > 0) {
    text += ",\"Sticky\":true,\"TargetGapMs\":" + std::to_string(aGapMs);
  }
  return text + "}";
}

inline std::string
EngineService(const std::string& aName)
{
  return "{\"Name\":\"" + aName +
         "\",\"HealthPath\":\"/healthz\",\"MaxConns\":608,\"Protocol\":\"h1\",\"Tls\":false,"
         "\"Engine\":{\"Slots\":12,\"KvCapacityTokens\":344250,\"Stride\":38,\"Models\":[{\"Name\":"
         "\"m\"}],\"step_ms\":1.31,\"per_seq_ms\":0.000917,\"context_per_k\":0.00213,"
         "\"read_per_s\":154000.0,\"pairs_per_m\":0.162,\"chunk\":2048,\"report_lag_ms\":200.0}}";
}

inline std::string
PlainService(const std::string& aName)
{
  return "{\"Name\":\"" + aName +
         "\",\"HealthPath\":\"/healthz\",\"MaxConns\":370,\"Protocol\":\"h1\",\"Tls\":false}";
}

// Parses a chunked body as it arrives.
class ChunkedReader
{
public:
  // Returns the bytes of the body that became available.
  std::string Feed(const std::string& aBytes)
  {
    this->buffer += aBytes;
    std::string body;
    while (!this->ended && !this->malformed) {
      const std::size_t line = this->buffer.find("\r\n");
      if (line == std::string::npos) {
        break;
      }
      char* end = nullptr;
      const std::size_t size = std::strtoull(this->buffer.c_str(), &end, 16);
      if (end == this->buffer.c_str()) {
        this->malformed = true;
        break;
      }
      if (this->buffer.size() < line + 2 + size + 2) {
        break;
      }
      this->ended = size == 0;
      body += this->buffer.substr(line + 2, size);
      this->buffer.erase(0, line + 2 + size + 2);
    }
    return body;
  }

  bool HasEnded() const { return this->ended; }
  bool IsMalformed() const { return this->malformed; }

private:
  std::string buffer;
  bool ended = false;
  bool malformed = false;
};

// Sets what a case needs of the process: no signal for closed connections, enough descriptors.
inline void
Prepare()
{
  std::signal(SIGPIPE, SIG_IGN);
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
  StartTime();
}

// Ends the entry and then this process, without waiting for its threads.
[[noreturn]] inline void
Finish(Entry& aEntry, int aStatus)
{
  aEntry.Kill();
  _exit(aStatus);
}

inline bool
HasTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

} // namespace rig

#endif // REVIEW_COMMON_2_RIG_H_
