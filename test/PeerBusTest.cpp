// Tests on loopback of PeerBus: the limit of what waits for a silent peer, malformed frames, and
// messages to several peers.
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/push.h>

#include "net/PeerBus.h"

namespace sycamorepost {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr const char* kSender = "127.0.0.1:17921";
constexpr const char* kReceiver = "127.0.0.1:17922";
constexpr const char* kSilent = "127.0.0.1:17923"; // Nothing listens there.

class PeerBusTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PeerBusTest);
  CPPUNIT_TEST(MessageReachesAllPeers);
  CPPUNIT_TEST(QueueOfSilentPeerIsLimited);
  CPPUNIT_TEST(MalformedFramesAreCounted);
  CPPUNIT_TEST_SUITE_END();

public:
  void MessageReachesAllPeers()
  {
    PeerBus sender = this->MakeBus(kSender);
    PeerBus receiver = this->MakeBus(kReceiver);
    this->Listen(receiver, kReceiver);
    sender.SendToAll({ kReceiver, kSilent }, AbortNotice{ 7 });
    this->context.run_for(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->received.size());
    CPPUNIT_ASSERT_EQUAL(std::string(kSender), this->received.front().from);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(7),
                         std::get<AbortNotice>(this->received.front().message).fingerprint);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), sender.Connections());
  }

  // Guards against memory that grows with the messages for a peer which does not take them.
  void QueueOfSilentPeerIsLimited()
  {
    PeerBus sender = this->MakeBus(kSender);
    const SharedBody body = MakeBody(std::string(1024 * 1024, 'x'));
    for (int i = 0; i < 40; ++i) {
      sender.Send(kSilent, 0, RulesResponse{ 1, 0 }, body);
    }
    CPPUNIT_ASSERT(sender.QueuedBytes(kSilent) <= PeerBus::kMaxQueuedBytes);
    CPPUNIT_ASSERT(sender.Dropped() >= 30);
  }

  void MalformedFramesAreCounted()
  {
    PeerBus receiver = this->MakeBus(kReceiver);
    this->Listen(receiver, kReceiver);
    nng_socket socket{};
    CPPUNIT_ASSERT_EQUAL(0, nng_push0_open(&socket));
    CPPUNIT_ASSERT_EQUAL(0,
                         nng_dial(socket, ("tcp://" + std::string(kReceiver)).c_str(), nullptr, 0));
    for (std::string frame : { std::string("ab"), std::string("\x02\x00\x00\x00xy", 6) }) {
      CPPUNIT_ASSERT_EQUAL(0, nng_send(socket, frame.data(), frame.size(), 0));
    }
    this->context.run_for(milliseconds(300));
    nng_close(socket);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), receiver.Malformed());
    CPPUNIT_ASSERT(this->received.empty());
  }

private:
  PeerBus MakeBus(const char* aAddress)
  {
    return PeerBus(
      this->context,
      aAddress,
      1,
      [this](Envelope aEnvelope) { this->received.push_back(std::move(aEnvelope)); },
      [](const std::string& /*aPeer*/) {});
  }

  void Listen(PeerBus& aBus, const char* aAddress)
  {
    std::string reason;
    CPPUNIT_ASSERT_MESSAGE(reason, aBus.Listen(aAddress, reason));
  }

  asio::io_context context{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> work{ this->context.get_executor() };
  std::vector<Envelope> received;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerBusTest);

} // namespace
} // namespace sycamorepost
