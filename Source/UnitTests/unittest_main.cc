#include <cstdlib>
#include <iostream>

#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include "Common/log.h"

// With an argument, runs only the tests whose path begins with it, such as
// "figflow::(anonymous namespace)::MetricsTest::QuantileIsWithinOneBucket".
// FIGFLOW_TEST_LOG=1 shows the log.
int main(int argc, char** argv) {
  const bool verbose = std::getenv("FIGFLOW_TEST_LOG") != nullptr;
  figflow::InitLogging(verbose ? figflow::LogLevel::kInfo
                               : figflow::LogLevel::kError);
  CppUnit::TestResult result;
  CppUnit::TestResultCollector collector;
  result.addListener(&collector);
  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.run(result, argc > 1 ? argv[1] : "");
  CppUnit::CompilerOutputter(&collector, std::cerr).write();
  // A program without tests must not count as a pass.
  if (collector.runTests() == 0) {
    std::cerr << "no tests ran\n";
    return 1;
  }
  return collector.wasSuccessful() ? 0 : 1;
}
