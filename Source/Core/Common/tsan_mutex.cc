// Tells ThreadSanitizer about absl::Mutex and absl::CondVar. Debian's Abseil is
// built without the annotations for it, so every section under a lock would be
// reported as a race. The linker sends the calls of figflow's own objects here
// (--wrap, see CMakeLists.txt); used in builds for ThreadSanitizer only.
#include <sanitizer/tsan_interface.h>

#include "absl/time/time.h"

// The names are those that the linker option gives: a member function takes
// its object as the first argument.
// NOLINTBEGIN(bugprone-reserved-identifier,readability-identifier-naming)
// NOLINTBEGIN(bugprone-macro-parentheses)
#define FIGFLOW_REAL(symbol) __real__ZN4absl7debian3##symbol
#define FIGFLOW_WRAP(symbol) __wrap__ZN4absl7debian3##symbol

extern "C" {

void AnnotateIgnoreReadsBegin(const char* file, int line);
void AnnotateIgnoreReadsEnd(const char* file, int line);

}  // extern "C"

namespace {

// Abseil evaluates the conditions of waiting threads under its lock, but inside
// calls that release it, so ThreadSanitizer would take these reads for races.
class IgnoreConditionReads {
 public:
  IgnoreConditionReads() { AnnotateIgnoreReadsBegin(__FILE__, __LINE__); }
  ~IgnoreConditionReads() { AnnotateIgnoreReadsEnd(__FILE__, __LINE__); }
  IgnoreConditionReads(const IgnoreConditionReads&) = delete;
  IgnoreConditionReads& operator=(const IgnoreConditionReads&) = delete;
};

// Releases `mutex` for the time of a wait.
template <typename Wait>
auto WaitReleased(void* mutex, Wait wait) {
  struct Held {
    explicit Held(void* mutex) : mutex(mutex) { __tsan_release(mutex); }
    ~Held() { __tsan_acquire(mutex); }
    Held(const Held&) = delete;
    Held& operator=(const Held&) = delete;
    void* mutex;
  };
  const Held held(mutex);
  const IgnoreConditionReads ignore;
  return wait();
}

}  // namespace

#define FIGFLOW_ACQUIRES(symbol)           \
  void FIGFLOW_REAL(symbol)(void* mutex);  \
  void FIGFLOW_WRAP(symbol)(void* mutex) { \
    FIGFLOW_REAL(symbol)(mutex);           \
    __tsan_acquire(mutex);                 \
  }

#define FIGFLOW_TRIES(symbol)                      \
  bool FIGFLOW_REAL(symbol)(void* mutex);          \
  bool FIGFLOW_WRAP(symbol)(void* mutex) {         \
    const bool held = FIGFLOW_REAL(symbol)(mutex); \
    if (held) {                                    \
      __tsan_acquire(mutex);                       \
    }                                              \
    return held;                                   \
  }

#define FIGFLOW_RELEASES(symbol)           \
  void FIGFLOW_REAL(symbol)(void* mutex);  \
  void FIGFLOW_WRAP(symbol)(void* mutex) { \
    __tsan_release(mutex);                 \
    const IgnoreConditionReads ignore;     \
    FIGFLOW_REAL(symbol)(mutex);           \
  }

#define FIGFLOW_AWAITS(symbol, result, limit)                                  \
  result FIGFLOW_REAL(symbol)(void* mutex, const void* condition, limit);      \
  result FIGFLOW_WRAP(symbol)(void* mutex, const void* condition,              \
                              limit bound) {                                   \
    return WaitReleased(                                                       \
        mutex, [=] { return FIGFLOW_REAL(symbol)(mutex, condition, bound); }); \
  }

#define FIGFLOW_WAITS(symbol, limit)                                          \
  bool FIGFLOW_REAL(symbol)(void* variable, void* mutex, limit);              \
  bool FIGFLOW_WRAP(symbol)(void* variable, void* mutex, limit bound) {       \
    return WaitReleased(                                                      \
        mutex, [=] { return FIGFLOW_REAL(symbol)(variable, mutex, bound); }); \
  }

extern "C" {

FIGFLOW_ACQUIRES(5Mutex4LockEv)
FIGFLOW_ACQUIRES(5Mutex10ReaderLockEv)
FIGFLOW_TRIES(5Mutex7TryLockEv)
FIGFLOW_TRIES(5Mutex13ReaderTryLockEv)
FIGFLOW_RELEASES(5Mutex6UnlockEv)
FIGFLOW_RELEASES(5Mutex12ReaderUnlockEv)
FIGFLOW_AWAITS(5Mutex16AwaitWithTimeoutERKNS0_9ConditionENS0_8DurationE,
               bool,
               absl::Duration)
FIGFLOW_AWAITS(5Mutex17AwaitWithDeadlineERKNS0_9ConditionENS0_4TimeE,
               bool,
               absl::Time)
FIGFLOW_WAITS(7CondVar15WaitWithTimeoutEPNS0_5MutexENS0_8DurationE,
              absl::Duration)
FIGFLOW_WAITS(7CondVar16WaitWithDeadlineEPNS0_5MutexENS0_4TimeE, absl::Time)

void FIGFLOW_REAL(5Mutex5AwaitERKNS0_9ConditionE)(void*, const void*);
void FIGFLOW_WRAP(5Mutex5AwaitERKNS0_9ConditionE)(void* mutex,
                                                  const void* condition) {
  WaitReleased(mutex, [=] {
    FIGFLOW_REAL(5Mutex5AwaitERKNS0_9ConditionE)(mutex, condition);
  });
}

void FIGFLOW_REAL(7CondVar4WaitEPNS0_5MutexE)(void*, void*);
void FIGFLOW_WRAP(7CondVar4WaitEPNS0_5MutexE)(void* variable, void* mutex) {
  WaitReleased(mutex, [=] {
    FIGFLOW_REAL(7CondVar4WaitEPNS0_5MutexE)(variable, mutex);
  });
}

}  // extern "C"
// NOLINTEND(bugprone-macro-parentheses)
// NOLINTEND(bugprone-reserved-identifier,readability-identifier-naming)
