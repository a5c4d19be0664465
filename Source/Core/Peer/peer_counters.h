#ifndef PEER_PEER_COUNTERS_H_
#define PEER_PEER_COUNTERS_H_

#include "Common/metrics.h"

namespace figflow {

// Metrics of the protocol between daemons. Sizes are in bytes on the wire.
struct PeerCounters {
  explicit PeerCounters(MetricsRegistry* metrics)
      : malformed(metrics->GetCounter("figflow_peer_malformed_total")),
        unknown_version(
            metrics->GetCounter("figflow_peer_unknown_version_total")),
        oversized(metrics->GetCounter("figflow_peer_oversized_total")),
        unexpected(metrics->GetCounter("figflow_peer_unexpected_total")),
        stale_incarnation(
            metrics->GetCounter("figflow_peer_stale_incarnation_total")),
        credential_refused(
            metrics->GetCounter("figflow_peer_credential_refused_total")),
        dials_failed(metrics->GetCounter("figflow_peer_dials_failed_total")),
        relays_sent(metrics->GetCounter("figflow_peer_relays_sent_total")),
        relays_served(metrics->GetCounter("figflow_peer_relays_served_total")),
        relays_refused(
            metrics->GetCounter("figflow_peer_relays_refused_total")),
        responses_late(metrics->GetCounter("figflow_peer_answers_late_total")),
        responses_unmatched(
            metrics->GetCounter("figflow_peer_answers_unmatched_total")),
        responses_dropped(
            metrics->GetCounter("figflow_peer_answers_dropped_total")),
        control_sent(
            metrics->GetCounter("figflow_peer_control_sent_bytes_total")),
        control_received(
            metrics->GetCounter("figflow_peer_control_received_bytes_total")),
        relay_sent(metrics->GetCounter("figflow_peer_relay_sent_bytes_total")),
        relay_received(
            metrics->GetCounter("figflow_peer_relay_received_bytes_total")) {}

  Counter& malformed;
  Counter& unknown_version;
  Counter& oversized;
  Counter& unexpected;
  Counter& stale_incarnation;
  Counter& credential_refused;
  Counter& dials_failed;
  Counter& relays_sent;
  Counter& relays_served;
  // Relays from peers rejected as not run: too many in flight, or this daemon
  // is stopping.
  Counter& relays_refused;
  // Responses to relays that had already ended.
  Counter& responses_late;
  // Responses with an unused id or from another peer or incarnation.
  Counter& responses_unmatched;
  // Responses that could not be sent because their link had closed or its
  // buffer was full.
  Counter& responses_dropped;
  Counter& control_sent;
  Counter& control_received;
  Counter& relay_sent;
  Counter& relay_received;
};

}  // namespace figflow

#endif  // PEER_PEER_COUNTERS_H_
