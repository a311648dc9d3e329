// Declares the sidecar process. It passes messages from entries to SidecarReducer, which makes all
// decisions, and executes its effects: calls to the target, log operations and messages.
#ifndef SYCAMOREPOST_RUNTIME_SIDECAR_DAEMON_H_
#define SYCAMOREPOST_RUNTIME_SIDECAR_DAEMON_H_

#include "adapters/EngineClient.h"
#include "runtime/Node.h"
#include "sycamorepost/SidecarReducer.h"

namespace sycamorepost {

// The sidecar daemon.
class SidecarDaemon
{
public:
  explicit SidecarDaemon(const SidecarSettings& aSettings);

  // Runs until SIGTERM or SIGINT, then drains. Returns the exit status of the process.
  int Run();

private:
  void Step(const SidecarEvent& aEvent);
  template<typename Effect>
  void Execute(Effect& aEffect);
  void Execute(EngineRun& aRun);
  void Execute(EngineCancel& aCancel);
  void Execute(EngineImport& aImport);
  void Execute(EngineFree& aFree);
  void Execute(EngineCheck& aCheck);
  void Execute(ServiceCall& aCall);
  void Execute(LogAppend& aAppend);
  void Execute(LogRead& aRead);
  asio::awaitable<void> CallTarget(ServiceCall aCall);
  asio::awaitable<void> AppendRecord(LogAppend aAppend);
  asio::awaitable<void> ReadRecords(LogRead aRead);
  asio::awaitable<void> Drain();

  SidecarSettings settings;
  Node node;
  SidecarReducer reducer;
  EngineClient engine;
  bool rulesKnown = false;
  bool draining = false;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_RUNTIME_SIDECAR_DAEMON_H_
