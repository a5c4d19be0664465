#ifndef REVIEW_STANDIN_2_STORE_H_
#define REVIEW_STANDIN_2_STORE_H_

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "http.h"

namespace standin {

// The platform's store: keys with revisions, watches and leases.
class Store {
 public:
  Store();
  std::string address() const { return server_.address(); }

  // Writes of the operator and of the executors.
  void Put(const std::string& key, const json& value);
  void Remove(const std::string& key);
  // Value of a key, decoded from base64; empty if there is none.
  std::string Get(const std::string& key);
  // While the store is down it answers nothing and leases pause.
  void SetDown(bool down);
  bool IsDown();

 private:
  struct Item {
    std::string value;  // base64
    uint64_t revision = 0;
    uint64_t created = 0;
    uint64_t lease = 0;
  };
  struct Event {
    std::string key;
    Item item;
    bool removed = false;
  };
  struct Lease {
    int64_t ttl = 0;
    int64_t ends = 0;
  };

  Response Handle(const Request& request);
  Response Carry(const Request& request, std::unique_lock<std::mutex>& lock);
  Response Watch(const Request& request, std::unique_lock<std::mutex>& lock);
  Response Commit(const json& body);
  void Write(const std::string& key,
             const std::string& value,
             uint64_t lease,
             uint64_t revision);
  void Erase(const std::string& key, uint64_t revision);
  void ExpireLeases();
  static json Row(const std::string& key, const Item& item);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::vector<Event> history_;
  std::map<uint64_t, Lease> leases_;
  uint64_t revision_ = 1000;
  uint64_t next_lease_ = 70000;
  bool down_ = false;
  int64_t down_since_ = 0;
  int outages_ = 0;
  Server server_;
};

std::string Base64(const std::string& text);
std::string FromBase64(const std::string& text);

}  // namespace standin

#endif  // REVIEW_STANDIN_2_STORE_H_
