#ifndef HTTP_ADDRESS_POOL_H_
#define HTTP_ADDRESS_POOL_H_

#include <curl/curl.h>

#include <deque>
#include <string>
#include <vector>

#include "Common/clock.h"

namespace figflow {

class ClientLoop;
class ClientTransfer;

// Connections and transfers of one address. Each address has a multi handle of
// its own, because libcurl's connection limit is the same for all hosts of a
// multi handle. Used on the thread of its loop only.
struct AddressPool {
  ClientLoop* loop = nullptr;
  std::string address;
  CURLM* multi = nullptr;
  int limit = 0;
  int active = 0;
  std::deque<ClientTransfer*> waiting;
  // Next time libcurl wants to run; MonoTime::max() for none.
  MonoTime timer = MonoTime::max();
  MonoTime last_used;

  struct Socket {
    curl_socket_t fd = CURL_SOCKET_BAD;
    // 0 until it is looked up.
    int local_port = 0;
  };
  std::vector<Socket> sockets;

  // The open socket with this local port, CURL_SOCKET_BAD if there is none.
  curl_socket_t FindSocket(int local_port);

  // For CURLOPT_OPENSOCKETFUNCTION and CURLOPT_CLOSESOCKETFUNCTION; `pool` is
  // the AddressPool.
  static curl_socket_t OnOpen(void* pool,
                              curlsocktype purpose,
                              curl_sockaddr* address);
  static int OnClose(void* pool, curl_socket_t fd);
};

}  // namespace figflow

#endif  // HTTP_ADDRESS_POOL_H_
