#ifndef PEER_PEER_TRANSPORT_H_
#define PEER_PEER_TRANSPORT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "Common/error.h"

namespace figflow {

// Identifies a WebSocket connection of this process. Never reused.
using LinkId = uint64_t;

// WebSocket close codes used between daemons. Codes from 4000 are in the range
// for applications.
enum class LinkCloseCode : uint16_t {
  kGoingAway = 1001,
  kTooBig = 1009,
  kMalformed = 4000,
  kUnknownVersion = 4001,
  // The message is not allowed in the current state of the link.
  kUnexpected = 4002,
  kStaleIncarnation = 4003,
  // Another link to the same peer is used.
  kDuplicate = 4004,
  kHelloTimeout = 4005,
  kSelf = 4006,
  // Nothing was received from the peer within the timeout.
  kUnresponsive = 4007,
};

struct LinkCloseInfo {
  // Close codes sent by this side and by the peer; 1006 when the connection
  // failed without a close frame.
  uint16_t local_code = 0;
  uint16_t remote_code = 0;
  std::string reason;
};

struct OutgoingMessage {
  std::string payload;
  // True for a caller's request or its response, which are counted separately
  // from control messages.
  bool is_relay = false;
  // Called immediately before the message is passed to the connection;
  // returning false drops the message. May be empty.
  std::function<bool()> may_send;
  // Called instead of sending when the link is closed or its buffer is full: no
  // byte of the message was sent. May be empty.
  std::function<void()> on_not_sent;
};

// Receives the events of links. Calls for one link are serialized;
// implementations must not block.
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
  // A ping or pong frame arrived, which shows that the peer's process is
  // running.
  virtual void OnLinkControlFrame(LinkId link) = 0;
  virtual void OnLinkClosed(LinkId link, const LinkCloseInfo& closed) = 0;
  // The link to `address` could not be opened. `refused` is true if the peer
  // rejected the credential.
  virtual void OnDialFailed(const std::string& address,
                            bool refused,
                            const std::string& reason) = 0;
  // An incoming connection with a wrong credential was rejected with status
  // 401.
  virtual void OnCredentialRefused() = 0;
};

struct PeerTransportSettings {
  // Listen address as "ip:port"; port 0 selects a free port.
  std::string listen_address;
  // Sent and expected in the Authorization header of the handshake. If empty,
  // all incoming links are rejected.
  std::string credential;
  int io_threads = 2;
  size_t max_links = 1024;
  // Maximum number of bytes buffered for one link. Messages beyond it are not
  // sent.
  size_t max_buffered_bytes = size_t{8} << 20U;
};

// Opens, accepts and closes WebSocket links on its own I/O threads.
class PeerTransport {
 public:
  // `handler` must outlive the transport.
  PeerTransport(PeerTransportSettings settings, LinkHandler* handler);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  // Starts to listen and starts the threads.
  Result<void> Start();
  // Returns the "ip:port" of the listener.
  const std::string& address() const;

  // The following methods do not block and may be called from any thread.
  void Dial(const std::string& address);
  void Send(LinkId link, OutgoingMessage message);
  void Ping(LinkId link);
  void Close(LinkId link, LinkCloseCode code, const std::string& reason);
  // Runs `task` once on an I/O thread. Stop runs the remaining tasks on its own
  // thread; after Stop, tasks run in the calling thread. Tasks on the I/O
  // threads do not run concurrently.
  void PostTask(std::function<void()> task);
  // Runs `task` on an I/O thread after `delay`. Stop drops pending tasks.
  void PostDelayedTask(std::chrono::nanoseconds delay,
                       std::function<void()> task);

  // Stops accepting links; open links stay open.
  void StopAccepting();
  // Joins the threads and drops all links without notifying the handler. Must
  // not be called from an I/O thread.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace figflow

#endif  // PEER_PEER_TRANSPORT_H_
