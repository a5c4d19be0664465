#ifndef FLEETCONFIG_CONFIG_DOCUMENTS_H_
#define FLEETCONFIG_CONFIG_DOCUMENTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Common/error.h"
#include "FleetConfig/fleet_configuration.h"
#include "Peer/peer_service.h"
#include "absl/strings/string_view.h"

namespace figflow {

// Contents of `config/head`. The snapshot and the steps after it make up the
// configuration at `revision`. Steps may begin before the snapshot, for
// daemons that are a few revisions behind.
struct HeadDocument {
  uint64_t revision = 0;
  std::string hash;
  std::string apply_id;
  WallTime applied_at;
  // An empty key stands for the empty configuration at revision 0.
  uint64_t snapshot_revision = 0;
  std::string snapshot_key;
  // Consecutive; the last leads to `revision`.
  std::vector<ConfigStep> steps;
  std::vector<ApplyRecord> applies;
};

// The head of a store that never held a configuration.
HeadDocument EmptyHead();

std::string EncodeHead(const HeadDocument& head);
// kInvalid if the text is malformed or its revisions do not fit together.
Result<HeadDocument> DecodeHead(absl::string_view text);

// Contents of `config/snapshot/...`, also the whole configuration for peers.
std::string EncodeConfiguration(const FleetConfiguration& configuration);
// Checks the hash.
Result<FleetConfiguration> DecodeConfiguration(absl::string_view text);

// What a peer sent: the whole configuration or consecutive steps.
struct PeerPayload {
  std::optional<FleetConfiguration> whole;
  std::vector<ConfigStep> steps;
};

ConfigDelta EncodeSteps(const std::vector<ConfigStep>& steps);
ConfigDelta EncodeWhole(const FleetConfiguration& configuration);
Result<PeerPayload> DecodePayload(absl::string_view payload);

// Bytes of a step in a head or a payload.
size_t EncodedSize(const ConfigStep& step);

}  // namespace figflow

#endif  // FLEETCONFIG_CONFIG_DOCUMENTS_H_
