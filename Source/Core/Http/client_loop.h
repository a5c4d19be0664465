#ifndef HTTP_CLIENT_LOOP_H_
#define HTTP_CLIENT_LOOP_H_

#include <curl/curl.h>

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "Common/clock.h"
#include "Common/metrics.h"
#include "Http/address_pool.h"
#include "Http/client_transfer.h"
#include "Http/http_client.h"
#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"

namespace figflow {

// One event thread of HttpClient: an epoll loop that drives libcurl.
class ClientLoop {
 public:
  ClientLoop(const HttpClientOptions& options, MetricsRegistry& metrics);
  ~ClientLoop();
  ClientLoop(const ClientLoop&) = delete;
  ClientLoop& operator=(const ClientLoop&) = delete;

  void Start(uint64_t id, TransferRequest request, TransferCallback done);
  void Cancel(uint64_t id);
  void CancelIfSilent(uint64_t id);
  void SetConnectionLimit(const std::string& address, int limit);
  // Open connections to `address`, idle ones included. Never lower than the
  // true number: a connection is counted before it is made and until it is
  // closed.
  int OpenConnections(const std::string& address) const;

  // Mean time from a command's posting until the thread has read it, since the
  // last call, or the time for which the oldest one has waited if that is more.
  MonoTime::duration TakeLag();

  // For ClientTransfer, on the thread of the loop.
  void OnSent(ClientTransfer& transfer, MonoTime now);
  void OnHead(ClientTransfer& transfer, MonoTime now);
  // For AddressPool, on the thread of the loop.
  void PublishOpenConnections(const AddressPool& pool);

 private:
  struct Command {
    enum class Kind {
      kStart,
      kCancel,
      kCancelIfSilent,
      kLimit
    } kind = Kind::kStart;
    uint64_t id = 0;
    TransferRequest request;
    TransferCallback done;
    std::string address;
    int limit = 0;
  };

  static MonoTime Now();
  static int OnSocket(CURL* easy,
                      curl_socket_t fd,
                      int what,
                      void* pool,
                      void* known);
  static int OnTimer(CURLM* multi, long timeout_ms, void* pool);

  void Post(Command command);
  void Run();
  void RunCommands(std::vector<Command>& commands);
  void RunTimers();
  void RunHousekeeping(MonoTime now);
  // Ends the transfers whose deadline has passed by `polled_at`. All that had
  // arrived by then has been read.
  void RunDeadlines(MonoTime polled_at);
  void SetDeadline(ClientTransfer& transfer, MonoTime at);
  int WaitMilliseconds();

  // Closes the pool's connections if there are more than its limit and none is
  // in use. Returns whether the pool was erased.
  bool EraseIfOverLimit(AddressPool& pool);
  void ErasePool(AddressPool& pool);

  AddressPool& PoolOf(const std::string& address);
  void SetTimer(AddressPool& pool, MonoTime at);
  void Launch(ClientTransfer* transfer, MonoTime now);
  void Attach(ClientTransfer* transfer, MonoTime now);
  void Detach(ClientTransfer* transfer);
  // Takes the results that libcurl has ready and starts waiting transfers.
  void Collect(AddressPool& pool);
  void LaunchWaiting(AddressPool& pool, MonoTime now);
  void Complete(ClientTransfer* transfer, TransferResult result);
  void CancelTransfer(uint64_t id);
  // Whether no byte of the response has come, or the transfer has ended.
  bool Silent(uint64_t id) const;

  const HttpClientOptions options_;
  Counter& transfers_;
  Counter& failures_;
  Counter& stale_connections_;
  int epoll_fd_ = -1;
  int wake_fd_ = -1;

  mutable absl::Mutex mutex_;
  absl::flat_hash_map<std::string, int> open_connections_
      ABSL_GUARDED_BY(mutex_);
  std::vector<Command> mailbox_ ABSL_GUARDED_BY(mutex_);
  // When the first command in the mailbox was posted.
  MonoTime mailbox_since_ ABSL_GUARDED_BY(mutex_);
  // Lateness of the batches read since the last TakeLag.
  MonoTime::duration lag_sum_ ABSL_GUARDED_BY(mutex_){0};
  int lag_count_ ABSL_GUARDED_BY(mutex_) = 0;
  // The thread is or will be awake and will read the mailbox.
  bool awake_ ABSL_GUARDED_BY(mutex_) = true;
  bool stop_ ABSL_GUARDED_BY(mutex_) = false;

  // Used by the thread of the loop only.
  absl::flat_hash_map<std::string, std::unique_ptr<AddressPool>> pools_;
  absl::flat_hash_map<std::string, int> limits_;
  absl::flat_hash_map<uint64_t, std::unique_ptr<ClientTransfer>>
      transfers_by_id_;
  std::vector<std::unique_ptr<ClientTransfer>> free_transfers_;
  std::set<std::pair<MonoTime, AddressPool*>> timers_;
  // Pool of each registered socket, indexed by descriptor.
  std::vector<AddressPool*> pool_by_fd_;
  // Transfers by the time at which they are given up. libcurl's own limit is
  // not used: it looks at the time before it reads the socket.
  std::set<std::pair<MonoTime, ClientTransfer*>> deadlines_;
  MonoTime next_housekeeping_;

  std::thread thread_;
};

}  // namespace figflow

#endif  // HTTP_CLIENT_LOOP_H_
