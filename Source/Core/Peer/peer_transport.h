#ifndef PEER_PEER_TRANSPORT_H_
#define PEER_PEER_TRANSPORT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "Common/error.h"

namespace figflow {

// One WebSocket connection of this process. Never reused.
using LinkId = uint64_t;

// Close codes of the inner protocol, in the range for applications.
enum class LinkCloseCode : uint16_t {
  kGoingAway = 1001,
  kTooBig = 1009,
  kMalformed = 4000,
  kUnknownVersion = 4001,
  // A message that is not allowed in the current state of the link.
  kUnexpected = 4002,
  kStaleIncarnation = 4003,
  // Another link to the same peer is kept.
  kDuplicate = 4004,
  kHelloTimeout = 4005,
  kSelf = 4006,
  // Nothing was received for too long.
  kUnresponsive = 4007,
};

struct LinkCloseInfo {
  // Close codes of this side and of the peer; 1006 when the connection broke.
  uint16_t local_code = 0;
  uint16_t remote_code = 0;
  std::string reason;
};

struct OutgoingMessage {
  std::string payload;
  // A caller's request or answer, counted apart from control messages.
  bool is_relay = false;
  // Asked immediately before the message is handed to the connection; false
  // drops it. May be empty.
  std::function<bool()> may_send;
  // Called instead of sending when the link is closed or its buffer is full:
  // no byte of the message has left. May be empty.
  std::function<void()> on_not_sent;
};

// Calls are serial for one link. None may block.
class LinkHandler {
 public:
  virtual ~LinkHandler() = default;
  // `address` is the dialled address; empty for an accepted link.
  virtual void OnLinkOpened(LinkId link, const std::string& address) = 0;
  // `wire_bytes` includes the WebSocket frame header.
  virtual void OnLinkMessage(LinkId link,
                             std::string payload,
                             size_t wire_bytes) = 0;
  virtual void OnLinkSent(LinkId link, bool is_relay, size_t wire_bytes) = 0;
  // Control frames show that the peer's process runs.
  virtual void OnLinkControlFrame(LinkId link) = 0;
  virtual void OnLinkClosed(LinkId link, const LinkCloseInfo& closed) = 0;
  // The link to `address` did not open. `refused`: wrong credential.
  virtual void OnDialFailed(const std::string& address,
                            bool refused,
                            const std::string& reason) = 0;
  // A caller with a wrong credential was answered with 401.
  virtual void OnCredentialRefused() = 0;
};

struct PeerTransportSettings {
  // "ip:port"; port 0 picks a free port.
  std::string listen_address;
  // Sent and expected in the handshake's Authorization header. Empty refuses
  // all incoming links.
  std::string credential;
  int io_threads = 2;
  size_t max_links = 1024;
  // Bytes that may wait for one link. A full buffer refuses messages.
  size_t max_buffered_bytes = size_t{8} << 20U;
};

// Opens, accepts and closes WebSocket links on a few threads of its own.
class PeerTransport {
 public:
  // `handler` must outlive the transport.
  PeerTransport(PeerTransportSettings settings, LinkHandler* handler);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  // Listens and starts the threads.
  Result<void> Start();
  // "ip:port" of the listener.
  const std::string& address() const;

  // The following return at once and may be called from any thread.
  void Dial(const std::string& address);
  void Send(LinkId link, OutgoingMessage message);
  void Ping(LinkId link);
  void Close(LinkId link, LinkCloseCode code, const std::string& reason);
  // Runs `task` once on an I/O thread; Stop runs the tasks that are left, and
  // after Stop tasks run at once. Tasks do not run concurrently.
  void PostTask(std::function<void()> task);
  // The task is dropped by Stop.
  void PostDelayedTask(std::chrono::nanoseconds delay,
                       std::function<void()> task);

  // Accepts no further links.
  void StopAccepting();
  // Joins the threads and drops all links without telling the handler. Not to
  // be called from an I/O thread.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace figflow

#endif  // PEER_PEER_TRANSPORT_H_
