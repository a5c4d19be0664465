#ifndef PROCESS_RAW_CROWD_H_
#define PROCESS_RAW_CROWD_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace figflow::test {

// A chunked POST request whose body is `bytes` long, in chunks of `chunk`
// bytes. Unless `ends`, the chunk that ends the body is missing.
std::string ChunkedRequest(const std::string& host,
                           const std::string& target,
                           size_t bytes,
                           size_t chunk,
                           bool ends);

// A request whose header goes on for `bytes` bytes in fields of `field` bytes
// and does not end.
std::string EndlessHeader(const std::string& host, size_t bytes, size_t field);

// Connections to one address that send any bytes side by side and stay open
// until the crowd is destroyed or the server closes them. They never read.
class RawCrowd {
 public:
  explicit RawCrowd(uint16_t port) : port_(port) {}
  ~RawCrowd();
  RawCrowd(const RawCrowd&) = delete;
  RawCrowd& operator=(const RawCrowd&) = delete;

  // Opens `count` connections that each send `data`.
  void Add(int count, const std::string& data);
  // Sends until all is sent or nothing moves for `stall`, as when the server
  // has stopped reading; at most `bound`.
  void Send(std::chrono::milliseconds stall, std::chrono::milliseconds bound);

  size_t bytes_sent() const { return bytes_sent_; }

 private:
  struct Connection {
    int fd = -1;
    std::shared_ptr<const std::string> data;
    size_t sent = 0;
  };

  // Returns whether any byte was taken.
  bool SendSome(Connection& connection);

  const uint16_t port_;
  std::vector<Connection> connections_;
  size_t bytes_sent_ = 0;
};

}  // namespace figflow::test

#endif  // PROCESS_RAW_CROWD_H_
