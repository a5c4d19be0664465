#include "Process/tcp_relay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>
#include <vector>

namespace figflow::test {
namespace {

constexpr int kPollMs = 20;

// One connection through the relay; both ends are closed together.
struct Link {
  int caller = -1;
  int target = -1;
};

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

bool Copy(int from, int to) {
  std::array<char, 65536> buffer;
  const ssize_t count = read(from, buffer.data(), buffer.size());
  if (count <= 0) {
    return false;
  }
  for (ssize_t written = 0; written < count;) {
    const ssize_t step =
        send(to, buffer.data() + written, static_cast<size_t>(count - written),
             MSG_NOSIGNAL);
    if (step <= 0) {
      return false;
    }
    written += step;
  }
  return true;
}

void CloseLink(Link& link) {
  close(link.caller);
  if (link.target >= 0) {
    close(link.target);
  }
}

}  // namespace

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

void TcpRelay::Run() {
  std::vector<Link> links;
  bool was_cut = false;
  while (!stopping_) {
    const bool cut = cut_;
    if (was_cut && !cut) {
      for (Link& link : links) {
        CloseLink(link);
      }
      links.clear();
    }
    was_cut = cut;

    std::vector<pollfd> fds{{listener_, POLLIN, 0}};
    if (!cut) {
      for (const Link& link : links) {
        fds.push_back({link.caller, POLLIN, 0});
        fds.push_back({link.target, POLLIN, 0});
      }
    }
    poll(fds.data(), fds.size(), kPollMs);

    std::vector<Link> open;
    for (size_t i = 0; i < links.size(); ++i) {
      const bool polled = fds.size() > 1;
      bool alive = true;
      if (polled && fds[1 + 2 * i].revents != 0) {
        alive = Copy(links[i].caller, links[i].target);
      }
      if (polled && alive && fds[2 + 2 * i].revents != 0) {
        alive = Copy(links[i].target, links[i].caller);
      }
      if (alive) {
        open.push_back(links[i]);
      } else {
        CloseLink(links[i]);
      }
    }
    links.swap(open);

    if (fds[0].revents != 0) {
      Link link;
      link.caller = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      link.target = cut ? -1 : Connect(target_port_);
      if (!cut && link.target < 0) {
        close(link.caller);
      } else {
        links.push_back(link);
      }
    }
  }
  for (Link& link : links) {
    CloseLink(link);
  }
}

}  // namespace figflow::test
