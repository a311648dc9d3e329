// Declares the events and effects that the entry's and the sidecar's reducers have in common.
#ifndef SYCAMOREPOST_EFFECTS_H_
#define SYCAMOREPOST_EFFECTS_H_

#include <cstdint>
#include <memory>
#include <string>

#include "sycamorepost/Message.h"
#include "sycamorepost/Rules.h"
#include "sycamorepost/Types.h"

namespace sycamorepost {

// Event: a message from a peer was received.
struct MessageReceived
{
  Envelope envelope;
};

// Event: a message to a peer could not be delivered before the send timeout.
struct PeerUnreachable
{
  std::string peer;
};

// Event: another version of the rules is in force.
struct RulesChanged
{
  std::uint64_t version = 0;
  std::shared_ptr<const RuleSet> rules;
};

// Event: the platform's VM list has changed.
struct FleetChanged
{
  FleetView fleet;
};

// Event: the timer that NextWake returned has expired.
struct Wake
{};

// Effect: send a message to a peer.
struct SendMessage
{
  std::string to;
  std::uint64_t toIncarnation = 0;
  Message message;
  SharedBody body;
};

// Effect: close the connection to an unresponsive peer and reconnect.
struct ResetConnection
{
  std::string peer;
};

// Effect: add an amount to a counter metric.
struct CountEvent
{
  std::string name;
  std::string label;
  std::uint64_t amount = 1;
};

// Effect: write one line to the process's log.
struct LogLine
{
  std::string text;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_EFFECTS_H_
