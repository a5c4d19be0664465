#ifndef CTL_OPTIONS_H_
#define CTL_OPTIONS_H_

#include <chrono>
#include <string>
#include <vector>

#include "Common/error.h"

namespace figflow::ctl {

struct Options {
  // Base URL without a trailing slash.
  std::string server;
  std::string token;
  std::chrono::milliseconds timeout{0};
  bool json = false;
  bool help = false;

  std::string project;
  std::string pool;
  std::string team;
  std::string data_centre;
  std::string state;
  std::string id;
  std::string priority;
  std::string cores;
  std::string memory_mb;
  std::string accelerators;
  std::string apply_id;

  // Arguments that are not options.
  std::vector<std::string> arguments;
};

// What ParseOptions fills from text; the rest of Options follows from it.
struct RawOptions : Options {
  std::string server_text;
  std::string token_file;
  std::string timeout_text;
};

// Parses `args`, which holds no program or verb name, into `options`. Accepts
// the common options and the options in `names`. With `stop_at_argument`,
// everything from the first argument on is left in `arguments` unparsed.
Result<void> ParseOptions(const std::vector<std::string>& args,
                          const std::vector<std::string>& names,
                          bool stop_at_argument,
                          RawOptions* options);

// Help text for the common options and those in `names`.
std::string OptionsHelp(const std::string& usage,
                        const std::vector<std::string>& names);

// Applies the environment (FIGFLOW_SERVER, FIGFLOW_TOKEN) and defaults, reads
// the token file and checks the values.
Result<void> FinishOptions(RawOptions* options);

}  // namespace figflow::ctl

#endif  // CTL_OPTIONS_H_
