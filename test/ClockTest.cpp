// Tests that the process's clock advances while the VM is suspended, and that timers, which do not,
// expire soon enough after a resume.
#include <ctime>

#include <cppunit/extensions/HelperMacros.h>

#include "net/Clock.h"

namespace sycamorepost {
namespace {

class ClockTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ClockTest);
  CPPUNIT_TEST(TheClockAdvancesDuringSuspension);
  CPPUNIT_TEST(TimersExpireEarlyEnoughToDetectASuspension);
  CPPUNIT_TEST_SUITE_END();

public:
  void TheClockAdvancesDuringSuspension()
  {
    const auto before = this->ReadSystemClock();
    const Duration time = Now().time_since_epoch();
    CPPUNIT_ASSERT(before <= time);
    CPPUNIT_ASSERT(time <= this->ReadSystemClock());
  }

  void TimersExpireEarlyEnoughToDetectASuspension()
  {
    using std::chrono::seconds;
    boost::asio::io_context context;
    boost::asio::steady_timer timer(context);
    const auto durationUntil = [&timer](Instant aAt) {
      ArmTimer(timer, aAt);
      return timer.expiry() - std::chrono::steady_clock::now();
    };
    CPPUNIT_ASSERT(durationUntil(Now() + seconds(3600)) <= seconds(1));
    CPPUNIT_ASSERT(durationUntil(Instant::max()) <= seconds(1));
    CPPUNIT_ASSERT(durationUntil(Now() - seconds(1)) <= seconds(0));
  }

private:
  // Returns the system clock that includes the time of suspension.
  Duration ReadSystemClock()
  {
    timespec time{};
    CPPUNIT_ASSERT_EQUAL(0, clock_gettime(CLOCK_BOOTTIME, &time));
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) +
                                                std::chrono::nanoseconds(time.tv_nsec));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClockTest);

} // namespace
} // namespace sycamorepost
