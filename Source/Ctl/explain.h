#ifndef CTL_EXPLAIN_H_
#define CTL_EXPLAIN_H_

#include <istream>
#include <string>
#include <vector>

#include "Common/error.h"
#include "Common/json.h"
#include "Ctl/api_client.h"
#include "Ctl/log_line.h"
#include "Ctl/options.h"

namespace figflow::ctl {

// A log line and the instance, or else the file, that it comes from.
struct SourcedLine {
  std::string source;
  LogLine line;
};

// Appends the structured lines of `input` to `lines`.
void ReadLog(std::istream& input,
             const std::string& source,
             std::vector<SourcedLine>* lines);

// What the logs say of the request, job or task `id`, in the order of time: the
// lines that name it, and around them those of its pool, of the workers that
// its tasks were given to, and of the daemons' dependencies. Each row holds
// time, source, about ("id", "pool", "worker" or "daemon"), event and details.
// Empty if no line names `id`.
nlohmann::json Explain(const std::string& id, std::vector<SourcedLine> lines);

// Answers the verb "explain": its arguments are the id and the files to read,
// or standard input.
Result<ApiAnswer> ExplainId(const Options& options);

}  // namespace figflow::ctl

#endif  // CTL_EXPLAIN_H_
