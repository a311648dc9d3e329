#include "sycamorepost/forward/sharing/EntryGroup.h"

#include <algorithm>

#include "sycamorepost/Hash.h"

namespace sycamorepost {

void
EntryGroup::SetEntries(const std::map<std::string, RegisteredEntry>& aEntries)
{
  this->directPeers.clear();
  this->neighbours.clear();
  this->remotes.clear();
  for (const auto& [name, entry] : aEntries) {
    if (entry.address == this->address) {
      continue;
    }
    if (entry.domain.empty()) {
      this->directPeers.push_back(entry.address);
    } else if (entry.domain == this->domain) {
      this->directPeers.push_back(entry.address);
      this->neighbours.push_back(entry.address);
    } else {
      this->remotes[entry.domain].push_back(entry.address);
    }
  }
}

std::set<std::string>
EntryGroup::AllPeers() const
{
  std::set<std::string> addresses(this->directPeers.begin(), this->directPeers.end());
  for (const auto& [name, members] : this->remotes) {
    addresses.insert(members.begin(), members.end());
  }
  return addresses;
}

bool
EntryGroup::IsNeighbour(const std::string& aAddress) const
{
  return std::find(this->neighbours.begin(), this->neighbours.end(), aAddress) !=
         this->neighbours.end();
}

bool
EntryGroup::IsRemote(const std::string& aAddress) const
{
  return std::any_of(this->remotes.begin(), this->remotes.end(), [&](const auto& aItem) {
    return std::find(aItem.second.begin(), aItem.second.end(), aAddress) != aItem.second.end();
  });
}

std::size_t
EntryGroup::Rank(const std::function<bool(const std::string& aAddress)>& aIsLive) const
{
  const std::uint64_t key = HashText(this->domain);
  const std::uint64_t ownWeight = RendezvousWeight(key, this->address);
  const auto isAhead = [&](const std::string& aPeer) {
    return RendezvousWeight(key, aPeer) > ownWeight && aIsLive(aPeer);
  };
  return static_cast<std::size_t>(
    std::count_if(this->neighbours.begin(), this->neighbours.end(), isAhead));
}

std::vector<std::string>
EntryGroup::TakeRelays()
{
  ++this->turn;
  std::vector<std::string> relays;
  for (const auto& [name, addresses] : this->remotes) {
    relays.push_back(addresses[(this->turn + HashText(this->address)) % addresses.size()]);
  }
  return relays;
}

std::size_t
EntryGroup::CountOf(const std::string& aDomain) const
{
  const auto found = this->remotes.find(aDomain);
  return found == this->remotes.end() ? 0 : found->second.size();
}

} // namespace sycamorepost
