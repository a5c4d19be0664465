#ifndef REVIEW_STANDIN_STORE_H_
#define REVIEW_STANDIN_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "net.h"

namespace review {

// The platform's store. Values are kept as the base64 text that travels.
class Store {
 public:
  Store();

  Response Handle(const Request& request);
  // Writes of the platform, its operator and the executors.
  void Put(const std::string& key, const nlohmann::json& value);
  void Remove(const std::string& key);

 private:
  struct Lease {
    int64_t ttl = 0;
    int64_t ends = 0;
  };

  Response Watch(const Request& request);
  Response Commit(const nlohmann::json& body);
  Response LeaseCall(const Request& request);
  void PutLocked(const std::string& key,
                 const std::string& value,
                 uint64_t lease);
  void RemoveLocked(const std::string& key);
  void ExpireLeases();

  std::mutex mutex_;
  std::condition_variable changed_;
  uint64_t revision_ = 1;
  uint64_t next_lease_ = 1;
  std::map<std::string, nlohmann::json> items_;
  std::vector<nlohmann::json> history_;
  std::map<uint64_t, Lease> leases_;
};

}  // namespace review

#endif  // REVIEW_STANDIN_STORE_H_
