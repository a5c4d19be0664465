#ifndef STANDINS_TARGET_TARGET_CONNECTION_H_
#define STANDINS_TARGET_TARGET_CONNECTION_H_

#include <atomic>
#include <string>

#include "StandIns/Target/target_state.h"

namespace figflow {

// Serves one connection with blocking reads and writes. Plain sockets, since
// the faults it plays cannot be made with an HTTP server library.
class TargetConnection {
 public:
  TargetConnection(int fd, StandInState& state);

  // Serves requests until either side closes.
  void Serve();
  // Lets the current request finish and then ends Serve. From any thread.
  void Stop();
  // True if the remote side has closed an idle connection.
  bool ClosedByPeer() const;

 private:
  struct Request {
    std::string method;
    std::string target;
    std::string key;
    std::string body;
    bool close = false;
  };

  // Returns false at the end of the stream or on a malformed request.
  bool ReadRequest(Request* request);
  bool ReadMore();
  bool ReadBody(size_t length, std::string* body);
  bool ReadChunks(std::string* body);
  bool ReadLine(std::string* line);
  // Returns false if the connection must be closed.
  bool Answer(const Request& request);
  bool AnswerControl(const Request& request);
  bool SendResponse(int status,
                    const std::string& fields,
                    const std::string& body,
                    size_t declared,
                    bool head);
  bool Write(const std::string& data);

  const int fd_;
  StandInState& state_;
  std::string buffer_;
  std::atomic<bool> stopping_{false};
};

}  // namespace figflow

#endif  // STANDINS_TARGET_TARGET_CONNECTION_H_
