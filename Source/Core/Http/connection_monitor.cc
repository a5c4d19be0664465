#include "Http/connection_monitor.h"

#include <microhttpd.h>
#include <sys/socket.h>

#include "Common/log.h"
#include "absl/strings/str_cat.h"
#include "absl/time/time.h"

namespace figflow {
namespace {

// While reading is paused or connections are many. A look at 1,500 connections
// takes some 20 us.
constexpr absl::Duration kShortInterval = absl::Milliseconds(20);
// Otherwise; the time limits are a second and more.
constexpr absl::Duration kInterval = absl::Milliseconds(250);

}  // namespace

ConnectionMonitor::ConnectionMonitor(size_t capacity, MetricsRegistry& metrics)
    : metrics_(metrics),
      reserved_(metrics.GetGauge("figflow_http_reserved_bytes")),
      paused_now_(metrics.GetGauge("figflow_http_paused_connections")),
      pauses_(metrics.GetCounter("figflow_http_pauses_total")),
      budget_(capacity) {
  thread_ = std::thread([this] { Run(); });
}

ConnectionMonitor::~ConnectionMonitor() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    wake_.Signal();
  }
  thread_.join();
}

int ConnectionMonitor::AddGroup(const std::string& name,
                                const ByteBudget::Group& group) {
  absl::MutexLock lock(&mutex_);
  groups_.push_back({name, false});
  return budget_.AddGroup(group);
}

void ConnectionMonitor::SetLimits(int group, const ArrivalLimits& limits) {
  absl::MutexLock lock(&mutex_);
  budget_.SetLimits(group, limits);
}

void ConnectionMonitor::StopGroup(int group) {
  absl::MutexLock lock(&mutex_);
  groups_[static_cast<size_t>(group)].stopped = true;
  for (auto& [id, connection] : connections_) {
    if (connection.group == group) {
      Resume(&connection);
    }
  }
}

ConnectionMonitor::Id ConnectionMonitor::Open(int group,
                                              size_t base,
                                              MHD_Connection* connection,
                                              int fd) {
  absl::MutexLock lock(&mutex_);
  const Id id = budget_.Open(group, base, clock_.Now());
  connections_[id] = {connection, fd, group, false};
  if (budget_.urgent()) {
    wake_.Signal();
  }
  return id;
}

void ConnectionMonitor::Close(Id id) {
  absl::MutexLock lock(&mutex_);
  budget_.Close(id);
  connections_.erase(id);
  if (budget_.paused() > 0) {
    wake_.Signal();
  }
}

bool ConnectionMonitor::Enter(Id id, ByteBudget::Phase phase) {
  absl::MutexLock lock(&mutex_);
  return budget_.Enter(id, phase, clock_.Now());
}

void ConnectionMonitor::Progress(Id id) {
  absl::MutexLock lock(&mutex_);
  budget_.Progress(id, clock_.Now());
}

void ConnectionMonitor::Charge(Id id, size_t bytes) {
  absl::MutexLock lock(&mutex_);
  budget_.Charge(id, bytes);
}

void ConnectionMonitor::Release(Id id) {
  absl::MutexLock lock(&mutex_);
  budget_.Release(id);
  if (budget_.paused() > 0) {
    wake_.Signal();
  }
}

bool ConnectionMonitor::ReserveOrPause(Id id, size_t bytes) {
  absl::MutexLock lock(&mutex_);
  Connection& connection = connections_.at(id);
  if (groups_[static_cast<size_t>(connection.group)].stopped) {
    budget_.Charge(id, bytes);
    return true;
  }
  if (budget_.Reserve(id, bytes, clock_.Now())) {
    return true;
  }
  connection.suspended = true;
  MHD_suspend_connection(connection.connection);
  pauses_.Add();
  wake_.Signal();
  return false;
}

void ConnectionMonitor::Resume(Connection* connection) {
  // Only this ends the suspension, so the connection still exists.
  if (connection->suspended) {
    connection->suspended = false;
    MHD_resume_connection(connection->connection);
  }
}

void ConnectionMonitor::Apply(const ByteBudget::Decisions& decisions) {
  for (const Id id : decisions.resume) {
    Resume(&connections_.at(id));
  }
  for (const auto& [id, cause] : decisions.close) {
    Connection& connection = connections_.at(id);
    // libmicrohttpd closes the connection when it reads the end.
    shutdown(connection.fd, SHUT_RDWR);
    Resume(&connection);
    const char* name = CloseCauseName(cause);
    metrics_
        .GetCounter(absl::StrCat(
            "figflow_http_connections_closed_total{cause=\"", name, "\"}"))
        .Add();
    // An idle connection is closed as a matter of course.
    if (cause != CloseCause::kIdle) {
      LogEvent(
          LogLevel::kWarning, LogCategory::kHttp, "connection_closed",
          {{"address", groups_[static_cast<size_t>(connection.group)].name},
           {"cause", name},
           {"reserved", absl::StrCat(budget_.reserved())}});
    }
  }
}

void ConnectionMonitor::Run() {
  absl::MutexLock lock(&mutex_);
  while (!stopping_) {
    Apply(budget_.Decide(clock_.Now()));
    reserved_.Set(static_cast<int64_t>(budget_.reserved()));
    paused_now_.Set(static_cast<int64_t>(budget_.paused()));
    wake_.WaitWithTimeout(&mutex_,
                          budget_.paused() > 0 ? kShortInterval : kInterval);
  }
}

}  // namespace figflow
