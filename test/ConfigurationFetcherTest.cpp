// Unit tests of ConfigurationFetcher: when an entry requests the configuration from a peer, and
// from which.
#include <cppunit/extensions/HelperMacros.h>

#include "sycamorepost/forward/sharing/ConfigurationFetcher.h"

namespace sycamorepost {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kChangeBound{ 2'000 };

class ConfigurationFetcherTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConfigurationFetcherTest);
  CPPUNIT_TEST(ReportsOfManyPeersLeadToOneRequest);
  CPPUNIT_TEST(VersionThatTheStoreDeliversIsNotRequested);
  CPPUNIT_TEST(RequestWithoutResponseGoesToAnotherPeer);
  CPPUNIT_TEST(ResponseWithoutNewVersionGoesToAnotherPeer);
  CPPUNIT_TEST(RequestsStartAtOnceWhileTheStoreIsUnreachable);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against one request per report, which made entries decode hundreds of copies.
  void ReportsOfManyPeersLeadToOneRequest()
  {
    for (int report = 0; report < 200; ++report) {
      this->fetcher.RecordPeerVersion("peer-" + std::to_string(report % 20), 2, this->now);
      this->Advance(milliseconds(5));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->requests.size());

    // The version is applied, and reports of it that were under way change nothing.
    this->fetcher.RecordApplied(2, this->now);
    this->fetcher.RecordPeerVersion("peer-1", 2, this->now);
    this->Advance(kChangeBound * 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->requests.size());
  }

  // Guards against transfers between entries that all read the same versions from the store.
  void VersionThatTheStoreDeliversIsNotRequested()
  {
    for (std::uint64_t version = 2; version < 30; ++version) {
      this->fetcher.RecordPeerVersion("peer-1", version, this->now);
      this->Advance(milliseconds(300));
      this->fetcher.RecordStoreRead(true, this->now);
      this->fetcher.RecordApplied(version, this->now);
    }
    CPPUNIT_ASSERT(this->requests.empty());

    // A lag that reads of the store make up for, version by version, is no reason either.
    this->fetcher.RecordPeerVersion("peer-1", 40, this->now);
    for (std::uint64_t version = 30; version <= 40; ++version) {
      this->Advance(milliseconds(300));
      this->fetcher.RecordStoreRead(true, this->now);
      this->fetcher.RecordApplied(version, this->now);
    }
    CPPUNIT_ASSERT(this->requests.empty());
  }

  void RequestWithoutResponseGoesToAnotherPeer()
  {
    this->fetcher.RecordPeerVersion("peer-1", 2, this->now);
    this->fetcher.RecordPeerVersion("peer-2", 2, this->now);
    this->Advance(kChangeBound);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->requests.size());
    CPPUNIT_ASSERT(this->requests[0] != this->requests[1]);

    // Both are silent. The next report of one of them leads to another request.
    this->Advance(kChangeBound);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->requests.size());
    this->fetcher.RecordPeerVersion("peer-1", 2, this->now);
    this->Advance(kChangeBound / 2);
    CPPUNIT_ASSERT_EQUAL(std::string("peer-1"), this->requests.at(2));
  }

  void ResponseWithoutNewVersionGoesToAnotherPeer()
  {
    this->fetcher.RecordPeerVersion("peer-1", 2, this->now);
    this->fetcher.RecordPeerVersion("peer-2", 2, this->now);
    this->Advance(kChangeBound / 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->requests.size());
    this->fetcher.RecordResponse(this->requests.front(), this->now);
    this->Advance(kChangeBound / 4);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->requests.size());

    // A late response of the first peer does not end the request to the second.
    this->fetcher.RecordResponse(this->requests.front(), this->now);
    this->Advance(kChangeBound / 4);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->requests.size());
  }

  void RequestsStartAtOnceWhileTheStoreIsUnreachable()
  {
    this->fetcher.RecordStoreRead(false, this->now);
    for (std::uint64_t version = 2; version < 6; ++version) {
      this->fetcher.RecordPeerVersion("peer-1", version, this->now);
      this->Advance(kChangeBound / 8);
      CPPUNIT_ASSERT_EQUAL(std::size_t(version - 1), this->requests.size());
      this->fetcher.RecordApplied(version, this->now);
    }

    // Once the store responds again, it gets time to deliver a version.
    this->fetcher.RecordStoreRead(true, this->now);
    this->fetcher.RecordPeerVersion("peer-1", 6, this->now);
    this->Advance(kChangeBound / 8);
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), this->requests.size());
  }

private:
  // Lets time pass in small steps, and collects the requests that become due.
  void Advance(milliseconds aDuration)
  {
    static constexpr milliseconds kStep{ 5 };
    for (milliseconds passed{ 0 }; passed < aDuration; passed += kStep) {
      this->now += kStep;
      if (auto peer = this->fetcher.TakeDueRequest(this->now)) {
        this->requests.push_back(std::move(*peer));
      }
    }
  }

  ConfigurationFetcher fetcher{ kChangeBound, 1 };
  Instant now{ std::chrono::hours(1) };
  std::vector<std::string> requests; // The peers, in the order of the requests.
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationFetcherTest);

} // namespace
} // namespace sycamorepost
