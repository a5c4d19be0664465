#include <iostream>

#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include "Common/log.h"

int main() {
  figflow::InitLogging(figflow::LogLevel::kError);
  CppUnit::TestResult result;
  CppUnit::TestResultCollector collector;
  result.addListener(&collector);
  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.run(result);
  CppUnit::CompilerOutputter(&collector, std::cerr).write();
  // A program without tests must not count as a pass.
  if (collector.runTests() == 0) {
    std::cerr << "no tests ran\n";
    return 1;
  }
  return collector.wasSuccessful() ? 0 : 1;
}
