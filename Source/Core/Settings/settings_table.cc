#include "Settings/settings_table.h"

namespace figflow {
namespace {

constexpr double kDayMs = 24.0 * 3600 * 1000;

std::vector<SettingInfo> MakeTable() {
  return {
      {"entry", &Settings::entry, 0, 0, 0, true,
       "Id of this entry instance, unique in the fleet."},
      {"data_centre", &Settings::data_centre, 0, 0, 0, true,
       "Data centre of this instance, as in the sheet."},
      {"listen.callers", &Settings::caller_listen, 0, 0, 0, true,
       "Address for callers."},
      {"listen.admin", &Settings::admin_listen, 0, 0, 0, true,
       "Address of the administration API."},
      {"listen.peers", &Settings::peer_listen, 0, 0, 0, true,
       "Address for other daemons."},
      {"peers.seeds", &Settings::peer_seeds, 0, 0, 0, true,
       "Peer addresses to contact first; others are learnt. May be empty."},
      {"peers.credential", &Settings::shared_credential, 0, 0, 0, true,
       "Secret shared by all daemons, at least 16 characters."},
      {"admin.credential", &Settings::operator_credential, 0, 0, 0, true,
       "Bearer credential of operators, at least 16 characters."},
      {"platform.address", &Settings::platform_address, 0, 0, 0, true,
       "Address of the platform's service."},
      {"platform.timeout_ms", &Settings::platform_timeout, 1000, 10, 60000,
       false, "Longest wait for one call of the platform."},
      {"platform.watch_ms", &Settings::watch_wait, 10000, 100, 600000, false,
       "Longest time one watch stays open."},
      {"requests.default_deadline_ms", &Settings::default_deadline, 10000, 1,
       3600000, false, "Deadline of a request that names none."},
      {"requests.max_deadline_ms", &Settings::max_deadline, 60000, 1, 3600000,
       false, "Longest deadline that a request may name."},
      {"requests.max_body_bytes", &Settings::max_body_bytes, 900000, 0, 900000,
       false,
       "Largest request body. Bounded by the inner protocol's message size."},
      {"requests.max_answer_bytes", &Settings::max_answer_bytes, 900000, 1024,
       900000, false,
       "Largest response body. Bounded by the inner protocol's message size."},
      {"requests.max_queue", &Settings::max_queue, 10000, 1, 1000000, false,
       "Queued requests per pool and size class."},
      {"requests.max_open", &Settings::max_open_requests, 20000, 1, 1000000,
       false, "Caller connections that may be open at once."},
      {"requests.claim_retention_ms", &Settings::claim_retention, 3600000, 1000,
       30 * kDayMs, false,
       "How long a caller's idempotency key is remembered. Longer needs more "
       "room in the store: 768,000 keys fit."},
      {"requests.ticket_lifetime_ms", &Settings::ticket_lifetime, 3600000, 1000,
       kDayMs, false, "How long a ticket can be redeemed."},
      {"drain_timeout_ms", &Settings::drain_timeout, 60000, 0, 3600000, false,
       "Longest time that requests in flight may take after SIGTERM."},
      {"control.interval_ms", &Settings::control_interval, 250, 10, 10000,
       false, "Time between two rounds of the control loop."},
      {"maintenance.drain_timeout_ms", &Settings::instance_drain_timeout,
       120000, 0, 3600000, false,
       "Longest drain of an instance before maintenance."},
      {"maintenance.reboot_timeout_ms", &Settings::reboot_timeout, 600000, 0,
       7200000, false, "Longest reboot of an instance."},
      {"platform.kind", &Settings::platform_kind, 0, 0, 0, false,
       "Empty for the platform API of docs/platform-api.md; fleet for a "
       "platform with a transactional store and a registry of workers."},
      {"platform.instances_address", &Settings::instances_address, 0, 0, 0,
       false, "Address of the API for instances (kind fleet)."},
      {"platform.policy_address", &Settings::policy_address, 0, 0, 0, false,
       "Address of the placement policy service (kind fleet)."},
      {"platform.max_value_bytes", &Settings::max_value_bytes, 1'048'576,
       65'536, 1e9, false,
       "Largest value that the platform's store takes; no record is larger "
       "(kind fleet)."},
      {"listen.metrics", &Settings::metrics_listen, 0, 0, 0, false,
       "Address of /metrics alone, without credential (kind fleet)."},
      {"workers.longest_lease_ms", &Settings::max_lease, 6000, 1000, 600000,
       false, "Longest lease that a worker grants."},
      {"workers.stop_ms", &Settings::stop_time, 500, 0, 60000, false,
       "Longest time that a worker takes to stop a task."},
      {"workers.gang_wait_ms", &Settings::gang_wait, 3000, 100, 600000, false,
       "How long a member of a gang waits for the others."},
      {"workers.far_factor", &Settings::far_factor, 2, 1, 1000, false,
       "How many times as long a task takes away from its data."},
      {"workers.connections", &Settings::worker_connections, 5, 2, 64, false,
       "Connections to one worker or peer (kind fleet)."},
      {"limits.processor_cores", &Settings::processor_cores, 1, 0.01, 1024,
       false,
       "Processor cores that this daemon may use; daemons with more of them "
       "own more pools (kind fleet)."},
      {"limits.memory_mb", &Settings::memory_mb, kDefaultMemoryMb, 0, 1e6,
       false,
       "Memory of the instance; 0 for the default, otherwise at least 32. Two "
       "fifths of it bound what is buffered for callers and peers, with their "
       "connections, and a quarter what accepted jobs take: beyond it, further "
       "ones are refused (kind fleet)."},
      {"stop.grace_s", &Settings::stop_grace_s, 60, 1, 3600, false,
       "Time from SIGTERM until the platform kills the process (kind fleet)."},
      {"jobs.status_retention_s", &Settings::status_retention_s, 120, 1, 1e7,
       false, "How long a finished job can be asked for."},
      {"jobs.early_start_ms", &Settings::early_start, 0, 0, 60000, false,
       "How far before its time a scheduled run may start."},
      {"jobs.unavailable_notice_ms", &Settings::unavailable_notice, 4500, 0,
       600000, false,
       "A perpetual task not at work for this long counts as unavailable."},
      {"jobs.harm_ms", &Settings::harm_time, 4000, 100, 600000, false,
       "How long fillers may keep a serving task over its target."},
      {"jobs.plan_apply_ms", &Settings::plan_apply, 2000, 300, 600000, false,
       "Time within which an acknowledged plan has to be in force (kind "
       "fleet)."},
      {"jobs.plan_rollback_slack_ms", &Settings::plan_rollback_slack, 250, 0,
       600000, false,
       "Calls that come this much after one that a plan has decided are not "
       "decided by an earlier plan (kind fleet)."},
      {"customers.key_withdrawal_ms", &Settings::key_withdrawal, 0, 0, 600000,
       false,
       "Time from the acknowledgement of a plan that withdraws a key after "
       "which no daemon carries out a request with it, in touch with the store "
       "or not; 0 for no such limit (kind fleet)."},
      {"customers.cap_overage", &Settings::cap_overage, 0.1, 0, 10, false,
       "Fraction by which a customer may exceed its cap (kind fleet)."},
      {"customers.submission_window_s", &Settings::submission_window_s, 5, 0.1,
       3600, false,
       "Span over which a customer's rate of submissions is measured (kind "
       "fleet)."},
      {"customers.submission_burst", &Settings::submission_burst, 20, 0, 1e6,
       false,
       "Jobs that a customer may submit in such a span beyond its rate (kind "
       "fleet)."},
      {"customers.fair_shares", &Settings::fair_shares, 0, 0, 1, false,
       "1: customers share a full pool by their weights; 0: the work of all "
       "goes by its deadlines (kind fleet)."},
      {"instances.move_s", &Settings::instance_move_s, 1.5, 0, 3600, false,
       "Time that an instance takes to move to another pool."},
      {"instances.maintenance_s", &Settings::instance_maintenance_s, 2, 0,
       86400, false, "Time that the maintenance of an instance takes."},
      {"instances.holder_interval_ms", &Settings::holder_interval, 3000, 0,
       600000, false,
       "Least time between orders of two daemons for one instance."},
      {"threads.callers", &Settings::caller_threads, 2, 1, 64, false,
       "Threads that serve callers."},
      {"threads.targets", &Settings::target_threads, 2, 1, 64, false,
       "Threads that talk to targets."},
  };
}

}  // namespace

const std::vector<SettingInfo>& SettingsTable() {
  static const std::vector<SettingInfo>* const table =
      new std::vector<SettingInfo>(MakeTable());
  return *table;
}

}  // namespace figflow
