// Stand-ins of the platform, its servers and its clients, for the cases of the third review. They
// use loopback sockets and the real clock; the entries are separate processes.
#ifndef SYCAMOREPOST_REVIEW_COMMON_3_WORLD_H_
#define SYCAMOREPOST_REVIEW_COMMON_3_WORLD_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <utility>
#include <vector>

namespace review {

// The limits of the site sahaj-kathmandu-grown: its sheet and its example of a manifest.
inline constexpr int kMemoryMb = 160;
inline constexpr int kMaxFds = 4100;
inline constexpr std::int64_t kGraceMs = 8000;
inline constexpr int kMaxHeaderBytes = 16384;
inline constexpr int kMaxBodyBytes = 4194304;
inline constexpr const char* kKey = "k3f9a71c20b84";

// The exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

// Returns the milliseconds since the start of this process.
std::int64_t
NowMs();

void
SleepMs(std::int64_t aMs);

// Ends the process as a case that could not run.
[[noreturn]] void
GiveUp(const std::string& aReason);

// The record of what was sent, answered and run.
class Record
{
public:
  explicit Record(const std::string& aPath);
  void Line(const std::string& aText);

private:
  std::mutex mutex;
  std::ofstream file;
};

// Returns a free port of 127.0.0.1.
int
FreePort();

struct HttpMessage
{
  std::string first; // The request line or status line.
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  std::string Field(const std::string& aName) const;
  std::string Method() const;
  std::string Path() const; // Without the query.
  std::string Query(const std::string& aName) const;
};

// A connection. Its reads wait for a time limit at most.
class Channel
{
public:
  enum class Result
  {
    Ok,
    Closed, // The peer has closed or reset the connection before the message was complete.
    TimedOut,
    Malformed, // What arrived is no message.
  };

  explicit Channel(int aDescriptor = -1)
    : descriptor(aDescriptor)
  {
  }
  Channel(Channel&& aOther) noexcept;
  Channel& operator=(Channel&& aOther) noexcept;
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;
  ~Channel() { this->Close(); }

  bool Connect(int aPort);
  bool Send(const std::string& aBytes);
  // Reads a message whose body has a length or comes in chunks. aIsHeadOnly: it has no body.
  Result Read(HttpMessage& aMessage, std::int64_t aTimeoutMs, bool aIsHeadOnly = false);
  // Reads a body in chunks, behind its head, and appends it to aBody.
  Result ReadChunks(std::string& aBody, std::int64_t aTimeoutMs);
  // Reads what has arrived and is left of a body of aBytes, and lowers aBytes by it.
  void TakeBody(std::size_t& aBytes, std::int64_t aTimeoutMs);
  bool IsOpen() const { return this->descriptor >= 0; }
  void Close();

private:
  Result ReadMore(std::int64_t aUntilMs);

  int descriptor;
  std::string buffer;
};

const char*
ToString(Channel::Result aResult);

// Accepts connections, and serves each on a thread of its own until its handler returns false.
class Listener
{
public:
  using Handler = std::function<bool(const HttpMessage&, Channel&)>;
  // With a receive buffer of aReceiveBytes, if that is not 0. aReadsHeadsOnly: the handler is
  // called behind the head of a request and reads its body.
  explicit Listener(Handler aHandler, bool aReadsHeadsOnly = false, int aReceiveBytes = 0);
  int Port() const { return this->port; }

private:
  int port = 0;
  Handler handler;
};

// The platform's store: topics of keyed records.
class Store
{
public:
  Store();
  void Put(const std::string& aTopic, const std::string& aKey, const std::string& aValue);
  std::string Address() const { return "127.0.0.1:" + std::to_string(this->listener.Port()); }

private:
  struct Topic
  {
    std::vector<std::string> records;
    std::map<std::string, std::size_t> newest;
  };

  void Append(Topic& aTopic, std::string aRecord);
  bool Serve(const HttpMessage& aRequest, Channel& aChannel);

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Topic> topics;
  Listener listener;
};

// A sound server of a service. It registers itself, answers 421 to requests for another instance,
// and runs each other request for the time that the case sets.
class Server
{
public:
  struct Answer
  {
    std::int64_t workMs = 15;
    std::size_t bytes = 800;
  };
  using Work = std::function<Answer(const HttpMessage&)>;

  Server(Store& aStore, Record& aRecord, std::string aId, std::string aService, Work aWork);

  // Returns how often requests with an id began to run.
  std::map<std::string, int> Runs();

private:
  bool Serve(const HttpMessage& aRequest, Channel& aChannel);

  Record& record;
  std::string id;
  Work work;
  std::mutex mutex;
  std::map<std::string, int> runs;
  Listener listener;
};

// A sound server that answers with a stream of events before it has read the body of a request, and
// reads on later.
class LateReader
{
public:
  LateReader(Store& aStore, Record& aRecord, std::string aId, std::string aService);

  static constexpr int kEvents = 12;
  static constexpr std::int64_t kEventMs = 500;

  // How long a body is not read any further.
  std::atomic<std::int64_t> pauseMs{ 0 };
  std::atomic<int> begun{ 0 }; // Requests of which a run began.

private:
  bool Serve(const HttpMessage& aRequest, Channel& aChannel);

  Record& record;
  std::string id;
  Listener listener;
};

// Registers a server in the store, again at each heartbeat.
void
KeepRegistered(Store& aStore, const std::string& aId, const std::string& aService, int aPort);

// A route of the manifest.
struct Route
{
  std::string name;
  std::string prefix;
  std::string kind;
  std::string service;
  int timeoutMs = 10000;
  int aimMs = 120;
};

std::string
MakeManifest(const std::vector<Route>& aRoutes, const std::vector<std::string>& aServices);

// An entry of the project, started with the command of the deploy file.
class Entry
{
public:
  Entry(std::string aProgram, std::string aDirectory, int aNumber, const Store& aStore);
  ~Entry() { this->Kill(); }
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  void Start();
  // Sends SIGTERM.
  void Stop();
  void Kill();
  // Returns whether the process runs; notices its end.
  bool IsRunning();
  // Waits until /readyz responds with 200.
  void AwaitReady();
  // Returns the status of /readyz; 0 without an answer within a second.
  int ReadyStatus();
  const std::string& Name() const { return this->name; }
  int Port() const { return this->port; }

private:
  std::string program;
  std::string name;
  std::string settingsPath;
  std::string logPath;
  int port;
  int adminPort;
  pid_t process = -1;
};

// Returns a request as a client sends it, with the length of its body.
std::string
MakeRequest(const std::string& aMethod,
            const std::string& aPath,
            const std::string& aId,
            int aDeadlineMs,
            const std::string& aBody = "",
            const std::string& aMoreFields = "");

// What a case gets from its command line.
struct Arguments
{
  std::string program;
  std::string directory; // A temporary folder.
  std::string recordPath;
  bool hasTrouble = true;
};

[[noreturn]] void
RunLateReadCase(const Arguments& aArguments);
[[noreturn]] void
RunSmuggleCase(const Arguments& aArguments);

} // namespace review

#endif // SYCAMOREPOST_REVIEW_COMMON_3_WORLD_H_
