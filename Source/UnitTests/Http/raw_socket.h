#ifndef UNITTESTS_HTTP_RAW_SOCKET_H_
#define UNITTESTS_HTTP_RAW_SOCKET_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace figflow {

// A client connection to a port on loopback that sends any bytes.
class RawClient {
 public:
  explicit RawClient(uint16_t port);
  ~RawClient();
  bool connected() const { return connected_; }
  void Send(const std::string& data) const;
  // Reads until the text holds `end`, the server closes, or 3 s have passed.
  std::string ReadUntil(const std::string& end) const;
  // Ends the sending side only.
  void EndSending() const;
  void Close();

 private:
  int fd_ = -1;
  bool connected_ = false;
};

// Answers each connection with the same bytes and closes it.
class RawServer {
 public:
  explicit RawServer(std::string response);
  // Pauses after each of the pieces.
  RawServer(std::vector<std::string> pieces, std::chrono::milliseconds pause);
  ~RawServer();
  // "127.0.0.1:port"
  const std::string& address() const { return address_; }

 private:
  void Run();
  const std::vector<std::string> pieces_;
  const std::chrono::milliseconds pause_;
  int fd_ = -1;
  std::string address_;
  std::thread thread_;
};

}  // namespace figflow

#endif  // UNITTESTS_HTTP_RAW_SOCKET_H_
