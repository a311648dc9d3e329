#include "sycamorepost/forward/admission/RouteTable.h"

#include <algorithm>
#include <sstream>

namespace sycamorepost {

namespace {

std::string
ToLowerHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.find(':')));
  std::transform(host.begin(), host.end(), host.begin(), [](unsigned char aChar) {
    return static_cast<char>(aChar >= 'A' && aChar <= 'Z' ? aChar - 'A' + 'a' : aChar);
  });
  return host;
}

void
FormatRoute(const RouteRule& aRoute, std::uint64_t aVersion, std::ostream& aText)
{
  aText << "route " << aRoute.name << " host=" << aRoute.host << " path=" << aRoute.pathPrefix
        << " kind=" << kRouteKindNames.at(static_cast<std::size_t>(aRoute.kind)) << " services=";
  const char* comma = "";
  for (const WeightedService& share : aRoute.services) {
    aText << comma << share.service << ":" << share.weight;
    comma = ",";
  }
  aText << " timeout=" << ToMillis(aRoute.timeout) << "ms objective=" << ToMillis(aRoute.objective)
        << "ms gap=" << ToMillis(aRoute.gapObjective) << "ms priority=" << aRoute.priority
        << " attempts=" << aRoute.maxAttempts << " open=" << (aRoute.allowsAnonymous ? "yes" : "no")
        << " resumable=" << (aRoute.isResumable ? "yes" : "no") << "  # operator: version "
        << aVersion << "\n";
}

} // namespace

void
RouteTable::AddRoute(RouteRule aRoute)
{
  if (aRoute.gapObjective > Duration::zero()) {
    this->gapObjectives.insert(aRoute.gapObjective);
  }
  std::string key = ToLowerHost(aRoute.host) + aRoute.pathPrefix;
  this->routes.emplace(std::move(key), std::move(aRoute));
}

void
RouteTable::AddAccount(RouteAccount aAccount, const std::vector<std::string>& aKeys)
{
  this->accounts.push_back(std::move(aAccount));
  for (const std::string& key : aKeys) {
    this->accountIndexByKey.emplace(key, this->accounts.size() - 1);
  }
}

const RouteRule*
RouteTable::FindRoute(std::string_view aHost, std::string_view aPath) const
{
  const std::string_view path = aPath.substr(0, aPath.find_first_of("?#"));
  const std::string host = ToLowerHost(aHost);
  std::size_t end = path.rfind('/');
  while (end != std::string_view::npos) {
    const auto found = this->routes.find(host + std::string(path.substr(0, end + 1)));
    if (found != this->routes.end()) {
      return &found->second;
    }
    end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1);
  }
  return nullptr;
}

const RouteAccount*
RouteTable::FindAccountByKey(const std::string& aKey) const
{
  const auto found = this->accountIndexByKey.find(aKey);
  return found == this->accountIndexByKey.end() ? nullptr : &this->accounts[found->second];
}

const std::string*
RouteTable::FindKeyOf(const std::string& aAccountName) const
{
  const auto found = std::find_if(
    this->accountIndexByKey.begin(), this->accountIndexByKey.end(), [&](const auto& aEntry) {
      return this->accounts[aEntry.second].name == aAccountName;
    });
  return found == this->accountIndexByKey.end() ? nullptr : &found->first;
}

const ServiceTraits*
RouteTable::FindService(const std::string& aName) const
{
  const auto found = this->services.find(aName);
  return found == this->services.end() ? nullptr : &found->second;
}

Duration
RouteTable::MinGapObjective() const
{
  // Without any stream no gap has to be kept short.
  return this->gapObjectives.empty() ? Duration(std::chrono::seconds(1))
                                     : *this->gapObjectives.begin();
}

Duration
RouteTable::RelaxedGapObjective() const
{
  const Duration shortest = this->MinGapObjective();
  const auto next = this->gapObjectives.upper_bound(shortest * 3 / 2);
  return next == this->gapObjectives.end() ? shortest : *next;
}

std::string
RouteTable::Format() const
{
  std::map<std::string_view, const RouteRule*> byName;
  for (const auto& [key, route] : this->routes) {
    byName.emplace(route.name, &route);
  }
  std::ostringstream text;
  for (const auto& [name, route] : byName) {
    FormatRoute(*route, this->version, text);
  }
  for (const RouteAccount& account : this->accounts) {
    text << "account " << account.name << "  # operator: version " << this->version << "\n";
  }
  return text.str();
}

} // namespace sycamorepost
