// Tests of the compression of texts that processes send to each other.
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "net/Compression.h"

namespace sycamorepost {
namespace {

constexpr std::size_t kMiB = 1024 * 1024;

class CompressionTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CompressionTest);
  CPPUNIT_TEST(AnyTextComesBack);
  CPPUNIT_TEST(RepetitiveTextBecomesSmall);
  CPPUNIT_TEST(TextOfAnEarlierVersionIsTakenAsItIs);
  CPPUNIT_TEST(MalformedInputIsRejected);
  CPPUNIT_TEST(TextThatGrowsOverTheLimitIsRejected);
  CPPUNIT_TEST_SUITE_END();

public:
  void AnyTextComesBack()
  {
    CPPUNIT_ASSERT(rc::check("any text comes back", [](const std::string& aText) {
      RC_ASSERT(Decompress(Compress(aText), kMiB) == aText);
    }));
    std::string large;
    for (int i = 0; i < 100'000; ++i) {
      large += std::to_string(i * 7919) + ',';
    }
    CPPUNIT_ASSERT(Decompress(Compress(large), kMiB) == large);
  }

  // Guards against copies of a large configuration that fill the link of a small VM.
  void RepetitiveTextBecomesSmall()
  {
    std::string routes;
    for (int i = 0; i < 1'500; ++i) {
      routes +=
        R"({"Name":"r-)" + std::to_string(i) + R"(","Kind":"streaming","TimeoutMs":10000},)";
    }
    CPPUNIT_ASSERT(Compress(routes).size() < routes.size() / 8);
  }

  void TextOfAnEarlierVersionIsTakenAsItIs()
  {
    CPPUNIT_ASSERT(Decompress("{\"Version\":1}", kMiB) == "{\"Version\":1}");
    CPPUNIT_ASSERT(!Decompress(std::string(20, 'x'), 10));
  }

  // Guards against a truncated or damaged copy that is taken for a whole one, or that does not end.
  void MalformedInputIsRejected()
  {
    const std::string whole = Compress("a text of which a part is missing");
    for (std::size_t size = whole.size() - 1; size >= 5; --size) {
      CPPUNIT_ASSERT(!Decompress(whole.substr(0, size), kMiB));
    }
    CPPUNIT_ASSERT(rc::check("any bytes behind the marker end", [](const std::string& aBytes) {
      const auto text = Decompress("zlib\n" + aBytes, kMiB);
      RC_ASSERT(!text || text->size() <= kMiB);
    }));
  }

  // Guards against a small message that takes all memory.
  void TextThatGrowsOverTheLimitIsRejected()
  {
    const std::string bytes = Compress(std::string(10 * kMiB, 'x'));
    CPPUNIT_ASSERT(bytes.size() < kMiB);
    CPPUNIT_ASSERT(!Decompress(bytes, kMiB));
    CPPUNIT_ASSERT(Decompress(bytes, 10 * kMiB).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CompressionTest);

} // namespace
} // namespace sycamorepost
