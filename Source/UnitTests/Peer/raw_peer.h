#ifndef PEER_RAW_PEER_H_
#define PEER_RAW_PEER_H_

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cstdint>
#include <string>

#include "Peer/peer_message.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace figflow::test {

// Fake peer on a plain socket, so that a test can violate the protocol at any
// point.
class RawPeer {
 public:
  explicit RawPeer(const std::string& address)
      : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    const timeval timeout{5, 0};
    setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    sockaddr_in to{};
    uint32_t port = 0;
    const size_t colon = address.find(':');
    (void)absl::SimpleAtoi(address.substr(colon + 1), &port);
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    (void)connect(fd_, reinterpret_cast<sockaddr*>(&to), sizeof(to));
  }
  ~RawPeer() { Disconnect(); }
  RawPeer(const RawPeer&) = delete;
  RawPeer& operator=(const RawPeer&) = delete;

  // Closes the connection without a close frame.
  void Disconnect() {
    if (fd_ >= 0) {
      close(fd_);
      fd_ = -1;
    }
  }

  // Returns the HTTP status code of the response; 0 if the connection ended.
  int Handshake(const std::string& authorization) {
    Write(absl::StrCat(
        "GET /figflow/peer HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n"
        "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
        "Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n",
        authorization.empty() ? "" : "Authorization: " + authorization + "\r\n",
        "\r\n"));
    std::string header;
    while (header.size() < 4 ||
           header.substr(header.size() - 4) != "\r\n\r\n") {
      const std::string byte = Read(1);
      if (byte.empty()) {
        return 0;
      }
      header += byte;
    }
    return header.size() > 12 ? std::stoi(header.substr(9, 3)) : 0;
  }

  bool Hello(const std::string& entry, uint64_t incarnation) {
    return Handshake("Bearer peer-secret") == 101 &&
           Send(HelloMessage{PeerEndpoint{EntryId(entry), incarnation,
                                          DataCentreId("dc"), "127.0.0.1:9"},
                             {}});
  }

  bool Send(const PeerMessage& message) {
    return SendFrame(*FormatPeerMessage(message));
  }
  bool SendFrame(const std::string& payload, uint8_t opcode = 2) {
    std::string frame(1, static_cast<char>(0x80U | opcode));
    if (payload.size() < 126) {
      frame += static_cast<char>(0x80U | payload.size());
    } else {
      frame += static_cast<char>(0x80U | 127U);
      for (int shift = 56; shift >= 0; shift -= 8) {
        frame += static_cast<char>((payload.size() >> shift) & 0xFFU);
      }
    }
    // A mask of zeros leaves the payload unchanged.
    return Write(frame + std::string(4, '\0') + payload);
  }

  // Returns the next message of the type and skips others; a default message if
  // the connection ended.
  template <typename Message>
  Message Receive() {
    for (;;) {
      uint8_t opcode = 0;
      const std::string payload = ReceiveFrame(&opcode);
      if (opcode == 0) {
        return Message();
      }
      const Result<PeerMessage> message = ParsePeerMessage(payload);
      if (message && std::holds_alternative<Message>(*message)) {
        return std::get<Message>(*message);
      }
    }
  }

  // Reads up to the close frame and returns its code; 0 if the connection ended
  // without one.
  int ReceiveCloseCode() {
    for (;;) {
      uint8_t opcode = 0;
      const std::string payload = ReceiveFrame(&opcode);
      if (opcode == 0) {
        return 0;
      }
      if (opcode == 8 && payload.size() >= 2) {
        return static_cast<uint8_t>(payload[0]) * 256 +
               static_cast<uint8_t>(payload[1]);
      }
    }
  }

 private:
  std::string ReceiveFrame(uint8_t* opcode) {
    const std::string header = Read(2);
    if (header.empty()) {
      return "";
    }
    *opcode = static_cast<uint8_t>(header[0]) & 0x0FU;
    size_t size = static_cast<uint8_t>(header[1]) & 0x7FU;
    if (size >= 126) {
      const std::string length = Read(size == 126 ? 2 : 8);
      size = 0;
      for (const char c : length) {
        size = size * 256 + static_cast<uint8_t>(c);
      }
    }
    return Read(size);
  }

  bool Write(const std::string& bytes) {
    size_t done = 0;
    while (done < bytes.size()) {
      const ssize_t n =
          send(fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      done += static_cast<size_t>(n);
    }
    return true;
  }

  // Returns an empty string when the connection ended.
  std::string Read(size_t size) {
    std::string bytes(size, '\0');
    size_t done = 0;
    while (done < size) {
      const ssize_t n = recv(fd_, &bytes[done], size - done, 0);
      if (n <= 0) {
        return "";
      }
      done += static_cast<size_t>(n);
    }
    return bytes;
  }

  int fd_;
};

}  // namespace figflow::test

#endif  // PEER_RAW_PEER_H_
