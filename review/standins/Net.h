// Blocking sockets, a minimal HTTP/1.1 reader and child processes, for the stand-ins and drivers of
// the review cases. Everything stays on loopback.
#ifndef REVIEW_STANDINS_NET_H_
#define REVIEW_STANDINS_NET_H_

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <random>
#include <string>
#include <string_view>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline std::int64_t
UnixMs()
{
  return std::chrono::duration_cast<milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

inline void
SleepMs(int aMs)
{
  std::this_thread::sleep_for(milliseconds(aMs));
}

struct Address
{
  std::string ip = "127.0.0.1";
  int port = 0;
  std::string Text() const { return this->ip + ":" + std::to_string(this->port); }
};

inline Address
ParseAddress(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  return { aText.substr(0, colon), std::atoi(aText.c_str() + colon + 1) };
}

inline sockaddr_in
SocketAddress(const Address& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aAddress.port));
  inet_pton(AF_INET, aAddress.ip.c_str(), &address.sin_addr);
  return address;
}

// Returns a free loopback port below the range from which the kernel takes those of outgoing
// connections.
inline int
FreePort()
{
  static std::mt19937 sRandom{ std::random_device{}() };
  while (true) {
    const int port = std::uniform_int_distribution<int>(10'000, 30'000)(sRandom);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = SocketAddress({ "127.0.0.1", port });
    const bool isFree = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    close(fd);
    if (isFree) {
      return port;
    }
  }
}

// Listens; aReceiveBuffer limits the window of the accepted connections, 0 leaves the default.
inline int
Listen(const Address& aAddress, int aReceiveBuffer = 0)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  if (aReceiveBuffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &aReceiveBuffer, sizeof(aReceiveBuffer));
  }
  sockaddr_in address = SocketAddress(aAddress);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(fd, 512) != 0) {
    std::perror("listen");
    std::exit(2);
  }
  return fd;
}

inline int
Connect(const Address& aAddress, int aTimeoutMs = 30'000)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  const timeval timeout{ aTimeoutMs / 1000, (aTimeoutMs % 1000) * 1000 };
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
  sockaddr_in address = SocketAddress(aAddress);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline bool
SendAll(int aFd, std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const ssize_t sent = send(aFd, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      if (sent < 0 && errno == EINTR) {
        continue;
      }
      return false;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

// The head of a request or response.
struct Head
{
  std::string first;
  std::vector<std::pair<std::string, std::string>> fields;

  std::string Field(const char* aName) const
  {
    for (const auto& [name, value] : this->fields) {
      if (strcasecmp(name.c_str(), aName) == 0) {
        return value;
      }
    }
    return "";
  }
  std::string Word(int aIndex) const
  {
    std::size_t from = 0;
    for (int i = 0; i < aIndex && from != std::string::npos; ++i) {
      from = this->first.find(' ', from);
      from = from == std::string::npos ? from : from + 1;
    }
    return from == std::string::npos ? ""
                                     : this->first.substr(from, this->first.find(' ', from) - from);
  }
  int Status() const { return std::atoi(this->Word(1).c_str()); }
};

// How a read from a connection ended.
enum class End
{
  Ok,
  Closed, // The peer closed the connection in order.
  Reset,
  Timeout,
};

// Buffers what is read from one connection.
class Reader
{
public:
  explicit Reader(int aFd)
    : fd(aFd)
  {
  }

  End Fill()
  {
    char bytes[16384];
    while (true) {
      const ssize_t size = recv(this->fd, bytes, sizeof(bytes), 0);
      if (size > 0) {
        this->buffer.append(bytes, static_cast<std::size_t>(size));
        return End::Ok;
      }
      if (size == 0) {
        return End::Closed;
      }
      if (errno != EINTR) {
        return errno == EAGAIN || errno == EWOULDBLOCK ? End::Timeout : End::Reset;
      }
    }
  }

  End ReadHead(Head& aHead)
  {
    std::size_t end = 0;
    while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
      const End result = this->Fill();
      if (result != End::Ok) {
        return result;
      }
    }
    const std::string text = this->buffer.substr(0, end);
    this->buffer.erase(0, end + 4);
    std::size_t from = text.find("\r\n");
    aHead.first = text.substr(0, from);
    aHead.fields.clear();
    while (from != std::string::npos) {
      from += 2;
      const std::size_t next = text.find("\r\n", from);
      const std::string line = text.substr(from, next - from);
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        aHead.fields.emplace_back(line.substr(0, colon),
                                  value == std::string::npos ? "" : line.substr(value));
      }
      from = next;
    }
    return End::Ok;
  }

  End ReadExact(std::size_t aSize, std::string& aBytes)
  {
    while (this->buffer.size() < aSize) {
      const End result = this->Fill();
      if (result != End::Ok) {
        aBytes += std::exchange(this->buffer, {});
        return result;
      }
    }
    aBytes += this->buffer.substr(0, aSize);
    this->buffer.erase(0, aSize);
    return End::Ok;
  }

  End ReadLine(std::string& aLine)
  {
    std::size_t end = 0;
    while ((end = this->buffer.find("\r\n")) == std::string::npos) {
      const End result = this->Fill();
      if (result != End::Ok) {
        return result;
      }
    }
    aLine = this->buffer.substr(0, end);
    this->buffer.erase(0, end + 2);
    return End::Ok;
  }

  // Reads a body by its length or chunks; without either, up to the end of the connection.
  // aComplete tells whether HTTP says that the body is whole.
  End ReadBody(const Head& aHead, bool aIsResponse, std::string& aBody, bool& aComplete)
  {
    aComplete = false;
    if (strcasecmp(aHead.Field("Transfer-Encoding").c_str(), "chunked") == 0) {
      while (true) {
        std::string line;
        End end = this->ReadLine(line);
        if (end != End::Ok) {
          return end;
        }
        const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
        if (size == 0) {
          aComplete = this->ReadLine(line) == End::Ok;
          return End::Ok;
        }
        end = this->ReadExact(size, aBody);
        end = end == End::Ok ? this->ReadLine(line) : end;
        if (end != End::Ok) {
          return end;
        }
      }
    }
    const std::string length = aHead.Field("Content-Length");
    if (!length.empty()) {
      const End end = this->ReadExact(std::strtoul(length.c_str(), nullptr, 10), aBody);
      aComplete = end == End::Ok;
      return end;
    }
    if (!aIsResponse) {
      aComplete = true;
      return End::Ok;
    }
    End end = End::Ok;
    while (end == End::Ok) {
      end = this->Fill();
    }
    aBody += std::exchange(this->buffer, {});
    aComplete = end == End::Closed;
    return end;
  }

private:
  int fd;
  std::string buffer;
};

struct Reply
{
  End end = End::Reset; // How the read of the response ended.
  bool connected = false;
  Head head;
  std::string body;
  bool complete = false;
};

// Sends one request over a new connection and reads the response.
inline Reply
Call(const Address& aAddress, const std::string& aHead, const std::string& aBody, int aTimeoutMs)
{
  Reply reply;
  const int fd = Connect(aAddress, aTimeoutMs);
  if (fd < 0) {
    return reply;
  }
  reply.connected = true;
  SendAll(fd, aHead);
  SendAll(fd, aBody);
  Reader reader(fd);
  reply.end = reader.ReadHead(reply.head);
  if (reply.end == End::Ok) {
    reply.end = reader.ReadBody(reply.head, true, reply.body, reply.complete);
  }
  close(fd);
  return reply;
}

inline std::string
MakeRequest(const std::string& aMethod,
            const std::string& aTarget,
            const std::vector<std::pair<std::string, std::string>>& aFields,
            std::size_t aBodySize)
{
  std::string text = aMethod + " " + aTarget + " HTTP/1.1\r\n";
  for (const auto& [name, value] : aFields) {
    text += name + ": " + value + "\r\n";
  }
  if (aBodySize > 0 || aMethod == "POST") {
    text += "Content-Length: " + std::to_string(aBodySize) + "\r\n";
  }
  return text + "\r\n";
}

// Starts a program whose output goes to a descriptor. It ends with this process.
inline pid_t
StartInto(const std::vector<std::string>& aCommand, int aOutput)
{
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid != 0) {
    return pid;
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) {
    _exit(2);
  }
  dup2(aOutput, 1);
  dup2(aOutput, 2);
  std::vector<char*> arguments;
  for (const std::string& word : aCommand) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  execv(arguments[0], arguments.data());
  _exit(2);
}

// Starts a program; its output is appended to a file. It ends with this process.
inline pid_t
Start(const std::vector<std::string>& aCommand, const std::string& aLog)
{
  const int log = open(aLog.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  const pid_t pid = StartInto(aCommand, log);
  close(log);
  return pid;
}

// Returns whether a child still runs. When it has ended, aStatus has its wait status.
inline bool
IsRunning(pid_t aPid, int& aStatus)
{
  return waitpid(aPid, &aStatus, WNOHANG) == 0;
}

inline void
Stop(pid_t aPid)
{
  if (aPid > 0 && kill(aPid, SIGKILL) == 0) {
    waitpid(aPid, nullptr, 0);
  }
}

} // namespace review

#endif // REVIEW_STANDINS_NET_H_
