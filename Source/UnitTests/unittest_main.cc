#include <cstdlib>
#include <iostream>
#include <set>
#include <string>

#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include "Common/log.h"
#include "known_red.h"

namespace {

// Whether all failed tests are listed in KNOWN-RED.txt. Prints those that are.
bool OnlyKnownRedFailed(const CppUnit::TestResultCollector& collector) {
  const std::set<std::string> known =
      figflow::test::ReadKnownRed(FIGFLOW_KNOWN_RED);
  bool only_known = true;
  for (const CppUnit::TestFailure* failure : collector.failures()) {
    const std::string name = failure->failedTestName();
    if (figflow::test::IsKnownRed(known, name)) {
      std::cerr << "known red: " << name << "\n";
    } else {
      only_known = false;
    }
  }
  return only_known;
}

}  // namespace

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
  return OnlyKnownRedFailed(collector) ? 0 : 1;
}
