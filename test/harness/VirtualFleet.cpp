#include "harness/VirtualFleet.h"

#include <algorithm>

#include "sycamorepost/Message.h"

namespace sycamorepost::harness {

namespace {

constexpr Duration kDelayInDomain = std::chrono::milliseconds(1);
constexpr Duration kDelayBetweenDomains = std::chrono::milliseconds(5);
constexpr std::uint32_t kRealDomains = 5;

std::size_t
SizeOf(const std::string& aFrom, Message aMessage)
{
  Envelope envelope;
  envelope.from = aFrom;
  envelope.message = std::move(aMessage);
  return EncodeHeader(envelope).size();
}

} // namespace

VirtualFleet::VirtualFleet(const FleetOptions& aOptions,
                           VirtualEvents& aEvents,
                           EffectHandler aOnEffect,
                           SendObserver aOnSend)
  : options(aOptions)
  , events(aEvents)
  , onEffect(std::move(aOnEffect))
  , onSend(std::move(aOnSend))
{
  for (std::uint32_t i = 0; i < aOptions.entries; ++i) {
    Entry entry;
    entry.address = "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":1";
    const std::string name = "entry-" + std::to_string(i);
    entry.reducer =
      std::make_unique<ForwardReducer>(ForwardConfig{ .name = name,
                                                      .address = entry.address,
                                                      .domain = this->DomainOf(i),
                                                      .seed = aOptions.seed + i,
                                                      .learnPace = aOptions.learnPace });
    this->registered[name] = { entry.address, this->DomainOf(i) };
    this->indexByAddress[entry.address] = i;
    this->entries.push_back(std::move(entry));
  }
}

void
VirtualFleet::Begin(const std::shared_ptr<const RouteTable>& aTable,
                    const std::map<std::string, RegisteredTarget>& aTargets)
{
  for (std::uint32_t i = 0; i < this->Size(); ++i) {
    this->Step(i, RoutesChanged{ aTable });
    this->Step(i, TargetsChanged{ aTargets });
    this->Step(i, EntriesChanged{ this->registered });
    this->Step(i, Wake{});
  }
}

std::string
VirtualFleet::DomainOf(std::uint32_t aIndex) const
{
  return "domain-" + std::to_string(aIndex % std::max(1U, this->options.domains));
}

bool
VirtualFleet::Crosses(std::uint32_t aLeft, std::uint32_t aRight)
{
  return aLeft % kRealDomains != aRight % kRealDomains;
}

void
VirtualFleet::Step(std::uint32_t aEntry, const ForwardEvent& aEvent)
{
  Entry& entry = this->entries[aEntry];
  for (const ForwardEffect& effect : entry.reducer->Step(aEvent, this->events.now)) {
    if (const auto* broadcast = std::get_if<BroadcastLoad>(&effect)) {
      EntryLoad load{ broadcast->loads, broadcast->isSnapshot, 1 };
      const PeerLoadReport report{
        entry.address, 1, broadcast->loads, broadcast->isSnapshot, load.version
      };
      this->Send(aEntry, broadcast->recipients, SizeOf(entry.address, std::move(load)), report);
    } else if (const auto* domain = std::get_if<SendDomainLoad>(&effect)) {
      this->Send(aEntry, domain->recipients, SizeOf(entry.address, domain->report), domain->report);
    } else {
      this->onEffect(aEntry, effect);
    }
  }
  const Instant next = entry.reducer->NextWake().value_or(Instant::max());
  if (next < entry.wakeAt) {
    entry.wakeAt = next;
    this->events.At(std::max(next, this->events.now), [this, aEntry, next] {
      if (this->entries[aEntry].wakeAt == next) {
        this->entries[aEntry].wakeAt = Instant::max();
        this->Step(aEntry, Wake{});
      }
    });
  }
}

void
VirtualFleet::Send(std::uint32_t aFrom,
                   const std::vector<std::string>& aRecipients,
                   std::size_t aBytes,
                   const ForwardEvent& aEvent)
{
  const auto shared = std::make_shared<const ForwardEvent>(aEvent);
  for (const std::string& recipient : aRecipients) {
    const std::uint32_t to = this->indexByAddress.at(recipient);
    const bool crosses = Crosses(aFrom, to);
    if (this->onSend) {
      this->onSend(aFrom, aBytes, crosses);
    }
    this->events.At(this->events.now + (crosses ? kDelayBetweenDomains : kDelayInDomain),
                    [this, to, shared] { this->Step(to, *shared); });
  }
}

} // namespace sycamorepost::harness
