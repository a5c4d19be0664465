#ifndef ROUTING_SIZE_CLASS_H_
#define ROUTING_SIZE_CLASS_H_

#include <cstddef>

namespace figflow {

// Class of requests by service time. Each class has its own queue.
enum class SizeClass { kShort, kLong };

inline constexpr size_t kSizeClasses = 2;

inline constexpr size_t Index(SizeClass size_class) {
  return static_cast<size_t>(size_class);
}

}  // namespace figflow

#endif  // ROUTING_SIZE_CLASS_H_
