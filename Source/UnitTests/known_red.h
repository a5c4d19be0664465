#ifndef UNITTESTS_KNOWN_RED_H_
#define UNITTESTS_KNOWN_RED_H_

#include <set>
#include <string>

namespace figflow::test {

// Names of the tests that KNOWN-RED.txt lists, one in each line that begins
// with "test: ". Empty if there is no such file.
std::set<std::string> ReadKnownRed(const std::string& path);

// True if one of the listed names is the end of `test`, as in
// "EndsTest::DoneIsKept" for "figflow::(anonymous namespace)::EndsTest::...".
bool IsKnownRed(const std::set<std::string>& known, const std::string& test);

}  // namespace figflow::test

#endif  // UNITTESTS_KNOWN_RED_H_
