// Runs all suites of a test program, or the suite or test named by the first argument, and prints
// the name of each test. A test may be named without its suite.
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <iostream>
#include <string>

namespace {

// Returns the full name of the test whose last component is aName; aName itself if there is none.
std::string
FindTestName(const CppUnit::Test& aTest, const std::string& aName)
{
  if (aTest.getChildTestCount() == 0 && aTest.getName().ends_with("::" + aName)) {
    return aTest.getName();
  }
  for (int i = 0; i < aTest.getChildTestCount(); ++i) {
    std::string found = FindTestName(*aTest.getChildTestAt(i), aName);
    if (found != aName) {
      return found;
    }
  }
  return aName;
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  CppUnit::TestResult controller;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  controller.addListener(&collector);
  controller.addListener(&progress);
  CppUnit::TestRunner runner;
  CppUnit::Test* all = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
  runner.addTest(all);
  try {
    runner.run(controller, aArgumentCount > 1 ? FindTestName(*all, aArguments[1]) : "");
  } catch (const std::invalid_argument& error) {
    std::cerr << "no such test: " << error.what() << '\n';
    return 2;
  }
  CppUnit::CompilerOutputter(&collector, std::cerr).write();
  return collector.wasSuccessful() && collector.runTests() > 0 ? 0 : 1;
}
