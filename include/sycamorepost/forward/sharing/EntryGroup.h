// The entries of the deployment by failure domain, and which of them exchange load reports
// directly.
#ifndef SYCAMOREPOST_FORWARD_SHARING_ENTRY_GROUP_H_
#define SYCAMOREPOST_FORWARD_SHARING_ENTRY_GROUP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sycamorepost {

// An entry as registered in the store.
struct RegisteredEntry
{
  std::string address; // Where its peers reach it, "ip:port".
  std::string domain;  // Its failure domain; empty when it did not register one.

  bool operator==(const RegisteredEntry&) const = default;
};

// Entries of one failure domain report every change of their load to each other. Of another domain
// an entry knows the sum, which reporters of that domain send now and then to one entry of each
// other domain; that entry relays it to its neighbours. So the messages of an entry grow with the
// entries of its domain only, and few cross domains.
class EntryGroup
{
public:
  // aAddress and aDomain are those of this entry.
  EntryGroup(std::string aAddress, std::string aDomain)
    : address(std::move(aAddress))
    , domain(std::move(aDomain))
  {
  }

  // Replaces the registered entries, which are given by name.
  void SetEntries(const std::map<std::string, RegisteredEntry>& aEntries);

  // Returns the addresses of the entries to which this one reports its load: the others of its
  // domain, and those that registered no domain.
  const std::vector<std::string>& DirectPeers() const { return this->directPeers; }

  // Returns the addresses of the other entries of this entry's domain.
  const std::vector<std::string>& Neighbours() const { return this->neighbours; }

  // Returns the addresses of all other entries.
  std::set<std::string> AllPeers() const;

  // Return whether an entry is known to be in this entry's domain, or in another one.
  bool IsNeighbour(const std::string& aAddress) const;
  bool IsRemote(const std::string& aAddress) const;

  // Returns whether entries of another domain with this name are registered.
  bool IsOtherDomain(const std::string& aDomain) const { return this->remotes.contains(aDomain); }

  // Returns how many entries of this domain that satisfy aIsLive come before this one in an order
  // that all of them agree on.
  std::size_t Rank(const std::function<bool(const std::string& aAddress)>& aIsLive) const;

  // Returns an entry of each other domain, by turns, so that a lost one costs a single report.
  std::vector<std::string> TakeRelays();

  // Returns the number of entries of a domain that is not this entry's.
  std::size_t CountOf(const std::string& aDomain) const;

private:
  std::string address;
  std::string domain;
  std::vector<std::string> directPeers;
  std::vector<std::string> neighbours;
  std::map<std::string, std::vector<std::string>> remotes; // Addresses by domain.
  std::size_t turn = 0;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_FORWARD_SHARING_ENTRY_GROUP_H_
