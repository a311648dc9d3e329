#include "adapters/VmList.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace sycamorepost {

namespace {

constexpr Duration kPollTimeout = std::chrono::seconds(2);

} // namespace

asio::awaitable<bool>
VmList::Poll()
{
  HttpCall call;
  call.address = this->address;
  call.method = "GET";
  call.target = "/vms?since=" + std::to_string(this->version);
  call.timeout = kPollTimeout;
  const HttpReply reply = co_await Fetch(std::move(call));
  if (!reply.Ok() || reply.body.empty()) {
    co_return false;
  }
  co_return this->Apply(reply.body);
}

bool
VmList::Apply(const std::string& aBody)
{
  try {
    const nlohmann::json json = nlohmann::json::parse(aBody);
    const auto newVersion = json.at("version").get<std::uint64_t>();
    if (newVersion == this->version) {
      return false;
    }
    for (const nlohmann::json& vm : json.at("vms")) {
      const auto name = vm.at("vm").get<std::string>();
      const auto state = vm.at("state").get<std::string>();
      const auto role = vm.at("role").get<std::string>();
      this->targets.erase(name);
      this->entries.erase(name);
      if (state == "gone") {
        continue;
      }
      const auto vmAddress = vm.at("address").get<std::string>();
      if (role == "entry") {
        this->entries[name] = vmAddress;
        continue;
      }
      TargetInfo target;
      target.name = name;
      target.address = vmAddress;
      target.domain = vm.at("domain").get<std::string>();
      target.pool = vm.at("serves").get<std::string>();
      target.kind = role == "service" ? TargetKind::Service : TargetKind::Engine;
      target.draining = state == "leaving";
      this->targets[name] = std::move(target);
    }
    this->version = newVersion;
  } catch (const nlohmann::json::exception& error) {
    LOG(WARNING) << "[fleet] ignored a malformed VM list, keeping the last one: " << error.what();
    return false;
  }
  this->RebuildView();
  return true;
}

void
VmList::RebuildView()
{
  this->view = {};
  for (const auto& [name, target] : this->targets) {
    this->view.targets.push_back(target);
  }
  for (const auto& [name, entry] : this->entries) {
    this->view.entries.push_back(entry);
  }
}

} // namespace sycamorepost
