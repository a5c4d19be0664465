#include "Process/tcp_relay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <deque>
#include <stdexcept>
#include <utility>
#include <vector>

namespace figflow::test {
namespace {

using std::chrono::steady_clock;

constexpr int kPollMs = 20;
// While delayed bytes wait.
constexpr int kDelayStepMs = 2;

sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int Connect(uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

bool SendAll(int to, const std::string& bytes) {
  for (size_t written = 0; written < bytes.size();) {
    const ssize_t step =
        send(to, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
    if (step <= 0) {
      return false;
    }
    written += static_cast<size_t>(step);
  }
  return true;
}

// Bytes on their way in one direction.
class Pipe {
 public:
  // Reads what has arrived at `from`. Returns false at its end.
  bool Receive(int from, steady_clock::time_point due) {
    std::array<char, 65536> buffer;
    const ssize_t count = read(from, buffer.data(), buffer.size());
    if (count <= 0) {
      return false;
    }
    chunks_.emplace_back(
        due, std::string(buffer.data(), static_cast<size_t>(count)));
    return true;
  }
  // Sends what is due.
  bool Deliver(int to, steady_clock::time_point now) {
    while (!chunks_.empty() && chunks_.front().first <= now) {
      if (!SendAll(to, chunks_.front().second)) {
        return false;
      }
      chunks_.pop_front();
    }
    return true;
  }
  void Clear() { chunks_.clear(); }
  bool empty() const { return chunks_.empty(); }

 private:
  std::deque<std::pair<steady_clock::time_point, std::string>> chunks_;
};

}  // namespace

// One connection through the relay; both ends are closed together.
struct TcpRelay::Link {
  int caller = -1;
  int target = -1;
  bool silent = false;
  Pipe requests;
  Pipe answers;

  // Returns false at the end of the connection.
  bool Pass(const pollfd& from_caller,
            const pollfd& from_target,
            const Faults& faults,
            steady_clock::time_point now) {
    bool open = from_caller.revents == 0 ||
                requests.Receive(caller, now + faults.delay);
    open = open && (from_target.revents == 0 ||
                    answers.Receive(target, now + faults.delay));
    if (silent) {
      requests.Clear();
      answers.Clear();
    }
    return open && (faults.hold_requests || requests.Deliver(target, now)) &&
           (faults.hold_answers || answers.Deliver(caller, now));
  }
  bool waits() const { return !requests.empty() || !answers.empty(); }
  void Close(bool with_reset) const {
    const linger at_once{1, 0};
    for (const int fd : {caller, target}) {
      if (fd >= 0 && with_reset) {
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
      }
      if (fd >= 0) {
        close(fd);
      }
    }
  }
};

TcpRelay::TcpRelay(uint16_t listen_port, uint16_t target_port)
    : target_port_(target_port) {
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = Loopback(listen_port);
  if (bind(listener_, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(listener_, SOMAXCONN) != 0) {
    throw std::runtime_error("relay cannot listen on port " +
                             std::to_string(listen_port));
  }
  thread_ = std::thread([this] { Run(); });
}

TcpRelay::~TcpRelay() {
  stopping_ = true;
  thread_.join();
  close(listener_);
}

void TcpRelay::SetFaults(const Faults& faults) {
  const std::lock_guard<std::mutex> lock(mutex_);
  faults_ = faults;
}

void TcpRelay::Run() {
  bool was_cut = false;
  while (!stopping_) {
    const bool cut = cut_;
    const bool reset = reset_.exchange(false);
    if (reset || (was_cut && !cut)) {
      for (const Link& link : links_) {
        link.Close(reset);
      }
      links_.clear();
    }
    was_cut = cut;
    const bool silence = silence_.exchange(false);
    Faults faults;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      faults = faults_;
    }

    std::vector<pollfd> fds{{listener_, POLLIN, 0}};
    bool waits = false;
    for (Link& link : links_) {
      link.silent = link.silent || silence;
      waits = waits || link.waits();
      if (!cut) {
        fds.push_back({link.caller, POLLIN, 0});
        fds.push_back({link.target, POLLIN, 0});
      }
    }
    poll(fds.data(), fds.size(), waits ? kDelayStepMs : kPollMs);

    const auto now = steady_clock::now();
    std::vector<Link> open;
    for (size_t i = 0; i < links_.size(); ++i) {
      if (cut || links_[i].Pass(fds[1 + 2 * i], fds[2 + 2 * i], faults, now)) {
        open.push_back(std::move(links_[i]));
      } else {
        links_[i].Close(false);
      }
    }
    links_.swap(open);
    if (fds[0].revents != 0) {
      Accept(cut);
    }
  }
  for (const Link& link : links_) {
    link.Close(false);
  }
}

void TcpRelay::Accept(bool cut) {
  Link link;
  link.caller = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
  link.target = cut ? -1 : Connect(target_port_);
  if (!cut && link.target < 0) {
    link.Close(false);
  } else {
    links_.push_back(std::move(link));
  }
}

}  // namespace figflow::test
