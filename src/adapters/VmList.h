// Declares the client of the platform's list of live and draining VMs. The list lags behind the
// real state of the VMs.
#ifndef SYCAMOREPOST_ADAPTERS_VM_LIST_H_
#define SYCAMOREPOST_ADAPTERS_VM_LIST_H_

#include <map>
#include <string>

#include "net/Http.h"
#include "sycamorepost/Types.h"

namespace sycamorepost {

// Keeps a copy of the list; each poll fetches only the changes since the last one.
class VmList
{
public:
  explicit VmList(std::string aAddress)
    : address(std::move(aAddress))
  {
  }

  // Requests the changes once. Returns whether the list had a new version; on failure returns false
  // and keeps the view.
  asio::awaitable<bool> Poll();

  // Returns the fleet as of the last successful poll.
  const FleetView& View() const { return this->view; }

private:
  bool Apply(const std::string& aBody);
  void RebuildView();

  std::string address;
  std::uint64_t version = 0;
  std::map<std::string, TargetInfo> targets;
  std::map<std::string, std::string> entries;
  FleetView view;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_ADAPTERS_VM_LIST_H_
