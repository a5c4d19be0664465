#include "known_red.h"

#include <algorithm>
#include <fstream>

#include "absl/strings/match.h"
#include "absl/strings/strip.h"

namespace figflow::test {
namespace {

constexpr char kTestField[] = "test: ";

}  // namespace

std::set<std::string> ReadKnownRed(const std::string& path) {
  std::set<std::string> known;
  std::ifstream file(path);
  std::string line;
  while (std::getline(file, line)) {
    absl::string_view name = line;
    if (absl::ConsumePrefix(&name, kTestField) && !name.empty()) {
      known.emplace(name);
    }
  }
  return known;
}

bool IsKnownRed(const std::set<std::string>& known, const std::string& test) {
  return std::any_of(known.begin(), known.end(), [&](const std::string& name) {
    return test == name || absl::EndsWith(test, "::" + name);
  });
}

}  // namespace figflow::test
