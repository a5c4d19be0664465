#include "Ownership/pool_layout.h"

#include <algorithm>
#include <utility>

#include "Common/json.h"

#include <xxhash.h>

#include "Common/cbor.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

using nlohmann::json;

constexpr char kLayoutStep[] = "owner.layout";
constexpr char kPartSeparator = '/';
// A part of this size orders up to 400 starts a second at a peak of short
// tasks, which 0.12 cores carry. Smaller parts waste room: large jobs and
// limits per worker need several workers.
constexpr int kInstancesPerPart = 25;
// Bounds the owners' keys, and with them what each daemon follows.
constexpr int kMostParts = 64;
// Keeps the parts of jobs and instances independent of other hashes.
constexpr uint64_t kSeed = 0x706c;

int PartOf(absl::string_view text, int parts) {
  const uint64_t hash = XXH64(text.data(), text.size(), kSeed);
  return static_cast<int>(hash % static_cast<uint64_t>(parts));
}

}  // namespace

std::string PoolLayout::Scope(absl::string_view pool, int part) const {
  return parts == 1 ? std::string(pool)
                    : absl::StrCat(pool, std::string(1, kPartSeparator), part);
}

std::string PoolLayout::ScopeOfJob(absl::string_view pool,
                                   absl::string_view job,
                                   bool perpetual) const {
  const auto part = perpetual_parts.find(pool);
  return perpetual && part != perpetual_parts.end()
             ? Scope(pool, part->second)
             : Scope(pool, PartOf(job, parts));
}

std::vector<std::string> PoolLayout::ScopesOfJob(absl::string_view pool,
                                                 absl::string_view job) const {
  // Most jobs are not perpetual.
  std::vector<std::string> scopes = {ScopeOfJob(pool, job, false)};
  std::string perpetual = ScopeOfJob(pool, job, true);
  if (perpetual != scopes.front()) {
    scopes.push_back(std::move(perpetual));
  }
  return scopes;
}

std::string PoolLayout::ScopeOfInstance(absl::string_view pool,
                                        absl::string_view instance) const {
  return Scope(pool, PartOfInstance(instance));
}

int PoolLayout::PartOfInstance(absl::string_view instance) const {
  return PartOf(instance, parts);
}

std::vector<std::string> PoolLayout::ScopesOf(absl::string_view pool) const {
  std::vector<std::string> scopes;
  scopes.reserve(parts);
  for (int part = 0; part < parts; ++part) {
    scopes.push_back(Scope(pool, part));
  }
  return scopes;
}

std::string PoolLayout::PoolOf(absl::string_view scope) const {
  return std::string(parts == 1 ? scope
                                : scope.substr(0, scope.rfind(kPartSeparator)));
}

PoolLayout LayoutFor(int instances, const std::vector<std::string>& pools) {
  PoolLayout layout;
  const int count = std::max(1, static_cast<int>(pools.size()));
  layout.parts =
      std::clamp(instances / count / kInstancesPerPart, 1, kMostParts);
  if (layout.parts > 1) {
    int next = 0;
    for (const std::string& pool : pools) {
      layout.perpetual_parts[pool] = next++ % layout.parts;
    }
  }
  return layout;
}

std::string FormatPoolLayout(const PoolLayout& layout) {
  return FormatCbor(json::array({layout.parts, layout.perpetual_parts}));
}

Result<PoolLayout> ParsePoolLayout(absl::string_view bytes) {
  return ParseCbor<PoolLayout>(
      bytes, kLayoutStep, [](const json& row) -> Result<PoolLayout> {
        PoolLayout layout;
        layout.parts = row.at(0).get<int>();
        if (layout.parts < 1 || layout.parts > kMostParts) {
          return Fail(ErrorCode::kInvalid, kLayoutStep, "",
                      "the number of parts is out of range");
        }
        // Layouts of earlier versions have none.
        if (row.size() > 1) {
          for (const auto& [pool, part] : row.at(1).items()) {
            layout.perpetual_parts[pool] = part.get<int>();
            if (part.get<int>() < 0 || part.get<int>() >= layout.parts) {
              return Fail(ErrorCode::kInvalid, kLayoutStep, "",
                          "a part is out of range");
            }
          }
        }
        return layout;
      });
}

}  // namespace figflow
