// Runs all suites of a test program, or the suite or test named by the first argument, and prints
// the name of each test.
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <iostream>

int
main(int aArgumentCount, char** aArguments)
{
  CppUnit::TestResult controller;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  controller.addListener(&collector);
  controller.addListener(&progress);
  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  try {
    runner.run(controller, aArgumentCount > 1 ? aArguments[1] : "");
  } catch (const std::invalid_argument& error) {
    std::cerr << "no such test: " << error.what() << '\n';
    return 2;
  }
  CppUnit::CompilerOutputter(&collector, std::cerr).write();
  return collector.wasSuccessful() && collector.runTests() > 0 ? 0 : 1;
}
