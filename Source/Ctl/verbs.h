#ifndef CTL_VERBS_H_
#define CTL_VERBS_H_

#include <string>
#include <vector>

#include "Common/error.h"
#include "Ctl/api_client.h"
#include "Ctl/options.h"

namespace figflow::ctl {

// One verb of the command line.
struct Verb {
  // One or two words, such as "sheet check".
  std::string name;
  std::string arguments;
  std::string summary;
  // Options besides the common ones.
  std::vector<std::string> options;
  size_t min_arguments = 0;
  size_t max_arguments = 0;
  // The request changes state, so a lost answer leaves its outcome unknown.
  bool changes = false;
  Result<ApiCall> (*make_call)(const Options& options) = nullptr;
  // Member of the answer that holds the rows; empty when the answer itself is
  // the only row.
  std::string rows;
  // Empty: the answer is always printed as JSON.
  std::vector<std::string> columns;
  // For verbs that need no daemon, in place of make_call.
  Result<ApiAnswer> (*answer_here)(const Options& options) = nullptr;
};

const std::vector<Verb>& Verbs();

// The verb that `words` start with; null if there is none.
const Verb* FindVerb(const std::vector<std::string>& words);

}  // namespace figflow::ctl

#endif  // CTL_VERBS_H_
