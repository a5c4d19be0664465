#ifndef HTTP_CONNECTION_LIMITS_H_
#define HTTP_CONNECTION_LIMITS_H_

#include <cstddef>
#include <cstdint>

namespace figflow {

// What one connection costs while it is open: libmicrohttpd's block and what
// the kernel has received.
inline constexpr size_t kReceiveBufferBytes = size_t{32} << 10;

// Parts of an instance's memory and descriptors that callers and peers may use.
struct ConnectionLimits {
  // Of all that is buffered, in bytes.
  size_t budget = 0;
  // Connections that may be open.
  size_t callers = 0;
  size_t peers = 0;
};

struct InstanceLimits {
  int64_t memory_mb = 0;
  // Of the process.
  uint64_t descriptors = 0;
  // That the settings allow.
  size_t callers = 0;
  size_t peers = 0;
};

// Two fifths of the memory are for what is buffered: memory that was freed in
// pieces cost a quarter more in a test with 64 MB. Half of that is for
// connections as such: three fifths for callers, two for peers. Callers use at
// most two fifths of the descriptors and peers an eighth, so that the
// connections to the store and to workers keep theirs.
ConnectionLimits ConnectionLimitsFor(const InstanceLimits& instance,
                                     size_t bytes_per_connection);

}  // namespace figflow

#endif  // HTTP_CONNECTION_LIMITS_H_
