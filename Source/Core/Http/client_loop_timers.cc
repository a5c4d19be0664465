// Deadlines of transfers, and the times at which libcurl wants to run.
#include <algorithm>

#include "Http/client_loop.h"

namespace figflow {
void ClientLoop::OnSent(ClientTransfer& transfer, MonoTime now) {
  if (transfer.answer_time().count() > 0) {
    transfer.set_deadline(now + transfer.answer_time());
  }
  SetDeadline(transfer, transfer.AttemptDeadline());
}

void ClientLoop::OnHead(ClientTransfer& transfer, MonoTime now) {
  if (transfer.streams()) {
    SetDeadline(transfer, now + transfer.stall_time());
  }
}

void ClientLoop::SetDeadline(ClientTransfer& transfer, MonoTime at) {
  if (transfer.expires != MonoTime::max()) {
    deadlines_.erase({transfer.expires, &transfer});
  }
  transfer.expires = at;
  if (at != MonoTime::max()) {
    deadlines_.insert({at, &transfer});
  }
}

void ClientLoop::RunDeadlines(MonoTime polled_at) {
  std::vector<uint64_t> late;
  for (const auto& [at, transfer] : deadlines_) {
    if (at > polled_at) {
      break;
    }
    late.push_back(transfer->id());
  }
  for (const uint64_t id : late) {
    // The end of an earlier one may have launched or ended it.
    const auto it = transfers_by_id_.find(id);
    if (it == transfers_by_id_.end() || it->second->expires > polled_at) {
      continue;
    }
    ClientTransfer* transfer = it->second.get();
    AddressPool& pool = *transfer->pool;
    if (transfer->queued) {
      Detach(transfer);
      Complete(transfer,
               transfer->MakeFailure(ErrorCode::kDeadlineExceeded,
                                     "no free connection before the deadline"));
      continue;
    }
    // The rest of a response may be there as well.
    if (transfer->TakeProgress()) {
      if (transfer->streams()) {
        SetDeadline(*transfer, Now() + transfer->stall_time());
      }
      continue;
    }
    Detach(transfer);
    Complete(transfer, transfer->MakeTimeout(Now()));
    LaunchWaiting(pool, Now());
  }
}

void ClientLoop::SetTimer(AddressPool& pool, MonoTime at) {
  if (pool.timer == at) {
    return;
  }
  if (pool.timer != MonoTime::max()) {
    timers_.erase({pool.timer, &pool});
  }
  pool.timer = at;
  if (at != MonoTime::max()) {
    timers_.insert({at, &pool});
  }
}

void ClientLoop::RunTimers() {
  if (timers_.empty()) {
    return;
  }
  const MonoTime now = Now();
  while (!timers_.empty() && timers_.begin()->first <= now) {
    AddressPool* pool = timers_.begin()->second;
    SetTimer(*pool, MonoTime::max());
    int running = 0;
    curl_multi_socket_action(pool->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    Collect(*pool);
  }
}

int ClientLoop::OnTimer(CURLM* /*multi*/, long timeout_ms, void* pool) {
  auto* address = static_cast<AddressPool*>(pool);
  address->loop->SetTimer(
      *address, timeout_ms < 0 ? MonoTime::max()
                               : Now() + std::chrono::milliseconds(timeout_ms));
  return 0;
}

int ClientLoop::WaitMilliseconds() {
  // Rounded up: waking before the timer would only wait again.
  const MonoTime now = Now();
  MonoTime wake = next_housekeeping_;
  if (!timers_.empty()) {
    wake = std::min(wake, timers_.begin()->first);
  }
  if (!deadlines_.empty()) {
    wake = std::min(wake, deadlines_.begin()->first);
  }
  const auto wait = std::chrono::ceil<std::chrono::milliseconds>(wake - now);
  int milliseconds = static_cast<int>(std::max<int64_t>(0, wait.count()));
  return milliseconds;
}

}  // namespace figflow
