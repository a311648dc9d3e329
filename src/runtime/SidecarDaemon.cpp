#include "runtime/SidecarDaemon.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include "adapters/ServiceClient.h"

namespace sycamorepost {

namespace {

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr Duration kDrainPollInterval = std::chrono::milliseconds(50);
constexpr Duration kFlushDelay = std::chrono::milliseconds(200);

} // namespace

SidecarDaemon::SidecarDaemon(const SidecarSettings& aSettings)
  : settings(aSettings)
  , node(aSettings.node,
         NodeHooks{
           [this](Envelope aEnvelope) { this->Step(MessageReceived{ std::move(aEnvelope) }); },
           [this](const PeerUnreachable& aPeer) { this->Step(aPeer); },
           [this](RulesChanged aChanged) {
             this->rulesKnown = true;
             this->Step(aChanged);
           },
           [this](FleetChanged aChanged) { this->Step(aChanged); },
           [this] {
             if (!this->draining) {
               this->draining = true;
               this->Step(DrainRequested{});
               asio::co_spawn(this->node.Context(), this->Drain(), asio::detached);
             }
           },
           [this] { return this->rulesKnown && !this->draining; },
           [this] { return this->reducer.Dump(Now()); } })
  , reducer(SidecarConfig{ .name = aSettings.name,
                           .address = aSettings.node.address,
                           .domain = aSettings.node.domain,
                           .pool = aSettings.pool,
                           .kind = aSettings.kind,
                           .incarnation = this->node.Incarnation(),
                           .maxRunning = aSettings.maxRunning })
  , engine(this->node.Context(), aSettings.targetAddress, [this](const SidecarEvent& aEvent) {
    this->Step(aEvent);
  })
{
}

int
SidecarDaemon::Run()
{
  std::string reason;
  if (!this->node.Start(reason)) {
    LOG(ERROR) << "[sidecar] " << reason;
    return 1;
  }
  LOG(INFO) << "[sidecar] " << this->settings.name << " is the sidecar of target "
            << this->settings.targetAddress;
  this->Step(Wake{});
  this->node.Run();
  LOG(INFO) << "[sidecar] stopped";
  return 0;
}

void
SidecarDaemon::Step(const SidecarEvent& aEvent)
{
  for (SidecarEffect& effect : this->reducer.Step(aEvent, Now())) {
    std::visit([this](auto& aEffect) { this->Execute(aEffect); }, effect);
  }
  this->node.ArmWake(this->reducer.NextWake(), [this] { this->Step(Wake{}); });
}

template<typename Effect>
void
SidecarDaemon::Execute(Effect& aEffect)
{
  this->node.Execute(aEffect);
}

void
SidecarDaemon::Execute(EngineRun& aRun)
{
  this->engine.Run(std::move(aRun));
}

void
SidecarDaemon::Execute(EngineCancel& aCancel)
{
  this->engine.Cancel(aCancel.run);
}

void
SidecarDaemon::Execute(EngineImport& aImport)
{
  this->engine.ImportKvCache(std::move(aImport));
}

void
SidecarDaemon::Execute(EngineFree& aFree)
{
  this->engine.FreeKvCache(aFree.reservation);
}

void
SidecarDaemon::Execute(EngineCheck& /*aCheck*/)
{
  this->engine.RequestLoadReport();
}

void
SidecarDaemon::Execute(ServiceCall& aCall)
{
  asio::co_spawn(this->node.Context(), this->CallTarget(std::move(aCall)), asio::detached);
}

void
SidecarDaemon::Execute(LogAppend& aAppend)
{
  asio::co_spawn(this->node.Context(), this->AppendRecord(std::move(aAppend)), asio::detached);
}

void
SidecarDaemon::Execute(LogRead& aRead)
{
  asio::co_spawn(this->node.Context(), this->ReadRecords(std::move(aRead)), asio::detached);
}

asio::awaitable<void>
SidecarDaemon::CallTarget(ServiceCall aCall)
{
  const ServiceEnded ended = co_await CallService(this->settings.targetAddress, std::move(aCall));
  this->Step(ended);
}

asio::awaitable<void>
SidecarDaemon::AppendRecord(LogAppend aAppend)
{
  const AppendReply reply =
    co_await this->node.Log().Append(aAppend.stream, aAppend.recordId, std::move(aAppend.data));
  this->node.ProcessMetrics().Count("log_appends", "");
  this->Step(LogAppendEnded{ aAppend.stream, aAppend.recordId, reply.kind, reply.offset });
}

asio::awaitable<void>
SidecarDaemon::ReadRecords(LogRead aRead)
{
  LogPage page = co_await this->node.Log().Read(aRead.stream, aRead.from, aRead.wait);
  LogReadEnded ended;
  ended.stream = aRead.stream;
  ended.ok = page.ok;
  ended.next = page.nextOffset;
  ended.atEnd = page.nextOffset >= page.endOffset;
  for (LogRecord& record : page.records) {
    ended.records.push_back(std::move(record.data));
  }
  this->Step(ended);
}

asio::awaitable<void>
SidecarDaemon::Drain()
{
  asio::steady_timer timer(this->node.Context());
  while (!this->reducer.Drained()) {
    timer.expires_after(kDrainPollInterval);
    co_await timer.async_wait(kTuple);
  }
  timer.expires_after(kFlushDelay);
  co_await timer.async_wait(kTuple);
  this->node.Stop();
}

} // namespace sycamorepost
