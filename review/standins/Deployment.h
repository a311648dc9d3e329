// A small deployment of the review cases: a store, engines and one entry, each a process of its
// own, with the settings that deploy/entry.toml.template yields.
#ifndef REVIEW_STANDINS_DEPLOYMENT_H_
#define REVIEW_STANDINS_DEPLOYMENT_H_

#include <fstream>
#include <mutex>

#include "Net.h"

namespace review {

// What was sent, answered and run, by the second.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : file(aPath)
    , startedAt(Clock::now())
  {
  }

  void Write(const std::string& aText)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto ms =
      std::chrono::duration_cast<milliseconds>(Clock::now() - this->startedAt).count();
    this->file << ms << " ms  " << aText << std::endl;
  }

private:
  std::mutex mutex;
  std::ofstream file;
  Clock::time_point startedAt;
};

inline std::string
Environment(const char* aName, const std::string& aDefault)
{
  const char* value = std::getenv(aName);
  return value ? value : aDefault;
}

// Whether the disruption is applied.
inline bool
HasTrouble()
{
  return Environment("TROUBLE", "1") != "0";
}

inline std::string
MakeRoute(const std::string& aName,
          const std::string& aPath,
          const std::string& aKind,
          const std::string& aService,
          int aTimeoutMs,
          int aMaxAttempts,
          int aTargetGapMs = 1000)
{
  return "{\"Name\":\"" + aName + "\",\"Host\":\"quiz.example\",\"PathPrefix\":\"" + aPath +
         "\",\"Kind\":\"" + aKind + "\",\"TimeoutMs\":" + std::to_string(aTimeoutMs) +
         ",\"TargetLatencyMs\":1000,\"Priority\":1,\"Service\":\"" + aService +
         "\",\"MaxAttempts\":" + std::to_string(aMaxAttempts) +
         ",\"Public\":false,\"Resumable\":true,\"TargetGapMs\":" + std::to_string(aTargetGapMs) +
         "}";
}

class Deployment
{
public:
  Deployment(const std::string& aDirectory, const std::string& aBinaries)
    : directory(aDirectory)
    , binaries(aBinaries)
  {
    this->store.port = FreePort();
    this->storePid = Start({ this->binaries + "/store", this->store.Text() }, this->Log("store"));
    this->pids.push_back(this->storePid);
    this->AwaitPort(this->store);
  }

  ~Deployment()
  {
    for (const pid_t pid : this->pids) {
      Stop(pid);
    }
  }

  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  std::string Log(const std::string& aName) const { return this->directory + "/" + aName + ".log"; }

  // Writes the operator's configuration into the store.
  void Publish(int aVersion, const std::string& aRoutes, const std::string& aServices)
  {
    const std::string text =
      "{\"Version\":" + std::to_string(aVersion) + ",\"Routes\":[" + aRoutes + "],\"Services\":[" +
      aServices + "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":" +
      std::to_string(this->maxBodyBytes) +
      ",\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"derwent\","
      "\"ApiKeys\":[\"key-1\"],\"Priority\":1}]}";
    std::string record = std::string(1, '\x06') + "config" + text;
    std::string body;
    for (int shift = 24; shift >= 0; shift -= 8) {
      body.push_back(static_cast<char>((record.size() >> shift) & 0xff));
    }
    body += record;
    const Reply reply =
      Call(this->store,
           MakeRequest(
             "POST", "/log-append?Topic=keyed.op&part=0", { { "Host", "store" } }, body.size()),
           body,
           5000);
    if (reply.head.Status() != 200) {
      std::fprintf(stderr, "the store did not accept the configuration\n");
      std::exit(2);
    }
  }

  // Starts an engine; see engine.cpp for its options.
  pid_t StartEngine(const std::string& aName,
                    const std::string& aService,
                    const std::string& aMode,
                    const Address& aAddress)
  {
    const pid_t pid = Start({ this->binaries + "/engine",
                              aAddress.Text(),
                              this->store.Text(),
                              aName,
                              aService,
                              this->directory + "/effects",
                              aMode },
                            this->Log(aName));
    this->pids.push_back(pid);
    return pid;
  }

  // Starts the entry again with the same settings, as the platform does after its end.
  void RestartEntry(const std::string& aProgram)
  {
    this->entryPid =
      Start({ aProgram, "--config", this->directory + "/entry.toml" }, this->Log("entry"));
    this->pids.push_back(this->entryPid);
  }

  // Starts the entry and waits until it is ready and knows aTargets targets.
  pid_t StartEntry(const std::string& aProgram, int aTargets)
  {
    this->entry.port = FreePort();
    this->admin.port = FreePort();
    const Address peer{ "127.0.0.1", FreePort() };
    const std::string path = this->directory + "/entry.toml";
    std::ofstream(path) << "[forward]\nname = \"front-hobart-1\"\ndomain = \"hobart\"\n"
                        << "http_address = \"" << this->entry.Text() << "\"\nadmin_address = \""
                        << this->admin.Text() << "\"\npeer_address = \"" << peer.Text()
                        << "\"\nstore_address = \"" << this->store.Text()
                        << "\"\ngrace = \"8s\"\ndescriptors = 4200\nretry_ratio = 0.2\n"
                        << "leave_bound = \"2000ms\"\nchange_bound = \"2000ms\"\n"
                        << "retry_slack = 102\n";
    this->entryPid = this->logPipe < 0 ? Start({ aProgram, "--config", path }, this->Log("entry"))
                                       : StartInto({ aProgram, "--config", path }, this->logPipe);
    this->pids.push_back(this->entryPid);
    for (int i = 0; i < 100; ++i) {
      const Reply reply =
        Call(this->admin, MakeRequest("GET", "/readyz", { { "Host", "x" } }, 0), "", 1000);
      if (reply.head.Status() == 200 && this->KnownTargets() >= aTargets) {
        return this->entryPid;
      }
      SleepMs(100);
    }
    std::fprintf(stderr, "the entry did not become ready\n");
    std::exit(2);
  }

  // Returns the number of targets that the entry lists on its page.
  int KnownTargets() const
  {
    const Reply reply =
      Call(this->admin, MakeRequest("GET", "/dump", { { "Host", "x" } }, 0), "", 1000);
    int count = 0;
    for (std::size_t at = reply.body.find("\"draining\""); at != std::string::npos;
         at = reply.body.find("\"draining\"", at + 1)) {
      ++count;
    }
    return count;
  }

  bool EntryRuns(int& aStatus) const { return IsRunning(this->entryPid, aStatus); }

  std::string directory;
  std::string binaries;
  std::size_t maxBodyBytes = 4'194'304;
  int logPipe = -1; // Where the entry writes its log, if not into a file.
  Address store;
  Address entry;
  Address admin;
  pid_t entryPid = 0;
  pid_t storePid = 0;

private:
  void AwaitPort(const Address& aAddress) const
  {
    for (int i = 0; i < 100; ++i) {
      const int fd = Connect(aAddress, 1000);
      if (fd >= 0) {
        close(fd);
        return;
      }
      SleepMs(20);
    }
    std::fprintf(stderr, "nothing listens at %s\n", aAddress.Text().c_str());
    std::exit(2);
  }

  std::vector<pid_t> pids;
};

} // namespace review

#endif // REVIEW_STANDINS_DEPLOYMENT_H_
