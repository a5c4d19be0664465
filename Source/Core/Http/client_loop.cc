#include "Http/client_loop.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>

namespace figflow {
namespace {

constexpr int kTransferEvents = 128;
// Idle easy handles kept for reuse; each holds a 16 KB receive buffer.
constexpr size_t kFreeTransfers = 64;
constexpr std::chrono::milliseconds kHousekeepingInterval{1000};

}  // namespace

MonoTime ClientLoop::Now() {
  return SystemClock().Now();
}

ClientLoop::ClientLoop(const HttpClientOptions& options,
                       MetricsRegistry& metrics)
    : options_(options),
      transfers_(metrics.GetCounter("figflow_http_transfers_total")),
      failures_(metrics.GetCounter("figflow_http_transfer_failures_total")),
      stale_connections_(
          metrics.GetCounter("figflow_http_stale_connections_total")),
      epoll_fd_(epoll_create1(EPOLL_CLOEXEC)),
      wake_fd_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.fd = wake_fd_;
  epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, wake_fd_, &event);
  thread_ = std::thread([this] { Run(); });
}

ClientLoop::~ClientLoop() {
  {
    absl::MutexLock lock(&mutex_);
    stop_ = true;
  }
  eventfd_write(wake_fd_, 1);
  thread_.join();
  close(wake_fd_);
  close(epoll_fd_);
}

void ClientLoop::Start(uint64_t id,
                       TransferRequest request,
                       TransferCallback done) {
  Command command;
  command.id = id;
  command.request = std::move(request);
  command.done = std::move(done);
  Post(std::move(command));
}

void ClientLoop::Cancel(uint64_t id) {
  Command command;
  command.kind = Command::Kind::kCancel;
  command.id = id;
  Post(std::move(command));
}

void ClientLoop::CancelIfSilent(uint64_t id) {
  Command command;
  command.kind = Command::Kind::kCancelIfSilent;
  command.id = id;
  Post(std::move(command));
}

void ClientLoop::SetConnectionLimit(const std::string& address, int limit) {
  Command command;
  command.kind = Command::Kind::kLimit;
  command.address = address;
  command.limit = limit;
  Post(std::move(command));
}

void ClientLoop::Post(Command command) {
  bool wake = false;
  {
    absl::MutexLock lock(&mutex_);
    if (mailbox_.empty()) {
      mailbox_since_ = Now();
    }
    mailbox_.push_back(std::move(command));
    wake = !awake_;
    awake_ = true;
  }
  if (wake) {
    eventfd_write(wake_fd_, 1);
  }
}

void ClientLoop::Run() {
  epoll_event events[kTransferEvents];
  std::vector<Command> commands;
  while (true) {
    int wait_ms = 0;
    {
      absl::MutexLock lock(&mutex_);
      if (stop_) {
        break;
      }
      commands.swap(mailbox_);
      awake_ = !commands.empty();
      if (!commands.empty()) {
        lag_sum_ += Now() - mailbox_since_;
        ++lag_count_;
      }
    }
    RunCommands(commands);
    RunTimers();
    wait_ms = commands.empty() ? WaitMilliseconds() : 0;
    commands.clear();
    const MonoTime polled_at = Now();
    const int count = epoll_wait(epoll_fd_, events, kTransferEvents, wait_ms);
    for (int i = 0; i < count; ++i) {
      const int fd = events[i].data.fd;
      if (fd == wake_fd_) {
        eventfd_t ignored = 0;
        eventfd_read(wake_fd_, &ignored);
        continue;
      }
      // An earlier event of this round may have closed the socket.
      AddressPool* pool = static_cast<size_t>(fd) < pool_by_fd_.size()
                              ? pool_by_fd_[fd]
                              : nullptr;
      if (pool == nullptr) {
        continue;
      }
      int flags = 0;
      flags |= (events[i].events & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0;
      flags |= (events[i].events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0;
      flags |= (events[i].events & (EPOLLERR | EPOLLHUP)) != 0
                   ? CURL_CSELECT_ERR
                   : 0;
      int running = 0;
      curl_multi_socket_action(pool->multi, fd, flags, &running);
      Collect(*pool);
    }
    // More sockets may be ready if the events did not fit.
    if (count < kTransferEvents) {
      RunDeadlines(polled_at);
    }
    RunHousekeeping(Now());
  }

  std::vector<uint64_t> left;
  for (const auto& [id, transfer] : transfers_by_id_) {
    left.push_back(id);
  }
  for (const uint64_t id : left) {
    CancelTransfer(id);
  }
  {
    absl::MutexLock lock(&mutex_);
    commands.swap(mailbox_);
  }
  for (Command& command : commands) {
    if (command.kind == Command::Kind::kStart) {
      TransferResult result;
      result.response = Fail(ErrorCode::kCancelled, "http.connect",
                             command.request.address, "the client stops");
      command.done(std::move(result));
    }
  }
  for (auto& [address, pool] : pools_) {
    curl_multi_cleanup(pool->multi);
  }
}

void ClientLoop::RunCommands(std::vector<Command>& commands) {
  for (Command& command : commands) {
    switch (command.kind) {
      case Command::Kind::kStart: {
        std::unique_ptr<ClientTransfer> transfer;
        if (free_transfers_.empty()) {
          transfer = std::make_unique<ClientTransfer>(options_);
        } else {
          transfer = std::move(free_transfers_.back());
          free_transfers_.pop_back();
        }
        transfers_.Add();
        transfer->Assign(command.id, std::move(command.request),
                         std::move(command.done));
        ClientTransfer* raw = transfer.get();
        transfers_by_id_.emplace(command.id, std::move(transfer));
        Launch(raw, Now());
        break;
      }
      case Command::Kind::kCancel:
        CancelTransfer(command.id);
        break;
      case Command::Kind::kCancelIfSilent:
        if (Silent(command.id)) {
          CancelTransfer(command.id);
        }
        break;
      case Command::Kind::kLimit: {
        limits_[command.address] = command.limit;
        auto it = pools_.find(command.address);
        if (it != pools_.end()) {
          AddressPool& pool = *it->second;
          pool.limit = command.limit;
          curl_multi_setopt(pool.multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                            static_cast<long>(pool.limit));
          curl_multi_setopt(pool.multi, CURLMOPT_MAXCONNECTS,
                            static_cast<long>(pool.limit));
          if (!EraseIfOverLimit(pool)) {
            LaunchWaiting(pool, Now());
          }
        }
        break;
      }
    }
  }
}

MonoTime::duration ClientLoop::TakeLag() {
  absl::MutexLock lock(&mutex_);
  const auto waiting =
      mailbox_.empty() ? MonoTime::duration(0) : Now() - mailbox_since_;
  const auto mean =
      lag_count_ == 0 ? MonoTime::duration(0) : lag_sum_ / lag_count_;
  lag_sum_ = MonoTime::duration(0);
  lag_count_ = 0;
  return std::max(mean, waiting);
}

int ClientLoop::OpenConnections(const std::string& address) const {
  absl::MutexLock lock(&mutex_);
  auto it = open_connections_.find(address);
  return it == open_connections_.end() ? 0 : it->second;
}

void ClientLoop::PublishOpenConnections(const AddressPool& pool) {
  absl::MutexLock lock(&mutex_);
  if (pool.sockets.empty()) {
    open_connections_.erase(pool.address);
  } else {
    open_connections_[pool.address] = static_cast<int>(pool.sockets.size());
  }
}

bool ClientLoop::EraseIfOverLimit(AddressPool& pool) {
  if (pool.active > 0 || !pool.waiting.empty() ||
      pool.sockets.size() <= static_cast<size_t>(pool.limit)) {
    return false;
  }
  ErasePool(pool);
  return true;
}

void ClientLoop::ErasePool(AddressPool& pool) {
  curl_multi_cleanup(pool.multi);
  SetTimer(pool, MonoTime::max());
  pools_.erase(pool.address);
}

AddressPool& ClientLoop::PoolOf(const std::string& address) {
  std::unique_ptr<AddressPool>& pool = pools_[address];
  if (pool == nullptr) {
    pool = std::make_unique<AddressPool>();
    auto limit = limits_.find(address);
    pool->loop = this;
    pool->address = address;
    pool->limit = limit == limits_.end() ? options_.connections_per_address
                                         : limit->second;
    pool->multi = curl_multi_init();
    curl_multi_setopt(pool->multi, CURLMOPT_SOCKETFUNCTION, &OnSocket);
    curl_multi_setopt(pool->multi, CURLMOPT_SOCKETDATA, pool.get());
    curl_multi_setopt(pool->multi, CURLMOPT_TIMERFUNCTION, &OnTimer);
    curl_multi_setopt(pool->multi, CURLMOPT_TIMERDATA, pool.get());
    curl_multi_setopt(pool->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                      static_cast<long>(pool->limit));
    curl_multi_setopt(pool->multi, CURLMOPT_MAXCONNECTS,
                      static_cast<long>(pool->limit));
  }
  return *pool;
}

void ClientLoop::Launch(ClientTransfer* transfer, MonoTime now) {
  AddressPool& pool = PoolOf(transfer->address());
  transfer->pool = &pool;
  pool.last_used = now;
  if (transfer->answer_time().count() > 0) {
    transfer->set_deadline(now + transfer->answer_time());
  }
  if (pool.active >= pool.limit) {
    transfer->queued = true;
    pool.waiting.push_back(transfer);
    SetDeadline(*transfer, transfer->deadline());
    return;
  }
  Attach(transfer, now);
}

void ClientLoop::Attach(ClientTransfer* transfer, MonoTime now) {
  if (now >= transfer->deadline()) {
    Complete(transfer, transfer->MakeFailure(ErrorCode::kDeadlineExceeded,
                                             "the deadline has passed"));
    return;
  }
  if (!transfer->Prepare(now)) {
    Complete(transfer, transfer->MakeFailure(
                           ErrorCode::kInvalid,
                           "the request holds characters that HTTP forbids"));
    return;
  }
  ++transfer->pool->active;
  SetDeadline(*transfer, transfer->AttemptDeadline());
  // Sets a timer for now, which RunTimers serves before the next wait.
  curl_multi_add_handle(transfer->pool->multi, transfer->easy());
}

void ClientLoop::Detach(ClientTransfer* transfer) {
  if (transfer->queued) {
    auto& waiting = transfer->pool->waiting;
    waiting.erase(std::find(waiting.begin(), waiting.end(), transfer));
    transfer->queued = false;
    return;
  }
  curl_multi_remove_handle(transfer->pool->multi, transfer->easy());
  --transfer->pool->active;
}

bool ClientLoop::Silent(uint64_t id) const {
  const auto it = transfers_by_id_.find(id);
  return it == transfers_by_id_.end() || it->second->silent();
}

void ClientLoop::CancelTransfer(uint64_t id) {
  auto it = transfers_by_id_.find(id);
  if (it == transfers_by_id_.end()) {
    return;
  }
  ClientTransfer* transfer = it->second.get();
  AddressPool& pool = *transfer->pool;
  Detach(transfer);
  Complete(transfer, transfer->MakeFailure(ErrorCode::kCancelled,
                                           "the transfer was cancelled"));
  LaunchWaiting(pool, Now());
}

void ClientLoop::Complete(ClientTransfer* transfer, TransferResult result) {
  if (!result.response) {
    failures_.Add();
  }
  SetDeadline(*transfer, MonoTime::max());
  const TransferCallback done = transfer->TakeCallback();
  auto it = transfers_by_id_.find(transfer->id());
  std::unique_ptr<ClientTransfer> owned = std::move(it->second);
  transfers_by_id_.erase(it);
  if (free_transfers_.size() < kFreeTransfers) {
    free_transfers_.push_back(std::move(owned));
  }
  done(std::move(result));
}

void ClientLoop::Collect(AddressPool& pool) {
  int left = 0;
  while (CURLMsg* message = curl_multi_info_read(pool.multi, &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    const CURLcode code = message->data.result;
    ClientTransfer* transfer = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
    const MonoTime now = Now();
    Detach(transfer);
    if (transfer->TakeStaleConnection()) {
      stale_connections_.Add();
      Attach(transfer, now);
      continue;
    }
    Complete(transfer, transfer->MakeResult(code, now));
    pool.last_used = now;
  }
  if (!pool.waiting.empty()) {
    LaunchWaiting(pool, Now());
  }
}

void ClientLoop::LaunchWaiting(AddressPool& pool, MonoTime now) {
  while (!pool.waiting.empty() && pool.active < pool.limit) {
    ClientTransfer* transfer = pool.waiting.front();
    pool.waiting.pop_front();
    transfer->queued = false;
    Attach(transfer, now);
  }
}

void ClientLoop::RunHousekeeping(MonoTime now) {
  if (now < next_housekeeping_) {
    return;
  }
  next_housekeeping_ = now + kHousekeepingInterval;
  // An address without transfers for the idle time gives up its connections.
  for (auto it = pools_.begin(); it != pools_.end();) {
    AddressPool& pool = *it++->second;
    const bool idle = pool.active == 0 && pool.waiting.empty() &&
                      now - pool.last_used >= options_.idle_timeout;
    if (idle) {
      ErasePool(pool);
    } else {
      EraseIfOverLimit(pool);
    }
  }
}

int ClientLoop::OnSocket(CURL* /*easy*/,
                         curl_socket_t fd,
                         int what,
                         void* pool,
                         void* known) {
  auto* address = static_cast<AddressPool*>(pool);
  ClientLoop* loop = address->loop;
  if (what == CURL_POLL_REMOVE) {
    epoll_ctl(loop->epoll_fd_, EPOLL_CTL_DEL, fd, nullptr);
    loop->pool_by_fd_[fd] = nullptr;
    return 0;
  }
  epoll_event event{};
  event.data.fd = fd;
  event.events |= (what & CURL_POLL_IN) != 0 ? EPOLLIN : 0U;
  event.events |= (what & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U;
  if (known != nullptr) {
    epoll_ctl(loop->epoll_fd_, EPOLL_CTL_MOD, fd, &event);
    return 0;
  }
  if (static_cast<size_t>(fd) >= loop->pool_by_fd_.size()) {
    loop->pool_by_fd_.resize(fd + 1, nullptr);
  }
  loop->pool_by_fd_[fd] = address;
  curl_multi_assign(address->multi, fd, address);
  epoll_ctl(loop->epoll_fd_, EPOLL_CTL_ADD, fd, &event);
  return 0;
}

}  // namespace figflow
