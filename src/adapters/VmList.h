// Offers the platform's lagging list of live and leaving VMs.
#ifndef SYCAMOREPOST_ADAPTERS_VM_LIST_H_
#define SYCAMOREPOST_ADAPTERS_VM_LIST_H_

#include <map>
#include <string>

#include "net/Http.h"
#include "sycamorepost/Types.h"

namespace sycamorepost {

// Follows the list: each poll fetches only what changed since the last one.
class VmList
{
public:
  explicit VmList(std::string aAddress)
    : address(std::move(aAddress))
  {
  }

  // Asks once. Returns true when the view has changed.
  asio::awaitable<bool> Poll();

  // Returns the view of the last successful poll.
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
