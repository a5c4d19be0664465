// Debian's Abseil is built without ThreadSanitizer, which therefore sees no
// order between critical sections of absl::Mutex and reports every one as a
// race. In that build the linker redirects the calls of Mutex (--wrap, see the
// top CMakeLists.txt) to the functions below, which announce the order. Other
// builds leave this file empty.
#if defined(__SANITIZE_THREAD__)

#include <sanitizer/tsan_interface.h>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

// NOLINTBEGIN: the names are given by the linker and by the sanitizer.
extern "C" {

void AnnotateIgnoreReadsBegin(const char* file, int line);
void AnnotateIgnoreReadsEnd(const char* file, int line);

// Abseil evaluates the conditions of waiting threads in the thread that
// unlocks, while it holds the mutex. These reads come after the announced
// release and must not be reported.
#define FIGFLOW_QUIETLY(call)                   \
  AnnotateIgnoreReadsBegin(__FILE__, __LINE__); \
  call;                                         \
  AnnotateIgnoreReadsEnd(__FILE__, __LINE__)

#define FIGFLOW_WRAP_LOCK(symbol)            \
  void __real_##symbol(absl::Mutex* mutex);  \
  void __wrap_##symbol(absl::Mutex* mutex) { \
    __real_##symbol(mutex);                  \
    __tsan_acquire(mutex);                   \
  }

#define FIGFLOW_WRAP_UNLOCK(symbol)          \
  void __real_##symbol(absl::Mutex* mutex);  \
  void __wrap_##symbol(absl::Mutex* mutex) { \
    __tsan_release(mutex);                   \
    FIGFLOW_QUIETLY(__real_##symbol(mutex)); \
  }

FIGFLOW_WRAP_LOCK(_ZN4absl7debian35Mutex4LockEv)
FIGFLOW_WRAP_LOCK(_ZN4absl7debian35Mutex10ReaderLockEv)
FIGFLOW_WRAP_UNLOCK(_ZN4absl7debian35Mutex6UnlockEv)
FIGFLOW_WRAP_UNLOCK(_ZN4absl7debian35Mutex12ReaderUnlockEv)

void __real__ZN4absl7debian35Mutex5AwaitERKNS0_9ConditionE(
    absl::Mutex* mutex,
    const absl::Condition& condition);
void __wrap__ZN4absl7debian35Mutex5AwaitERKNS0_9ConditionE(
    absl::Mutex* mutex,
    const absl::Condition& condition) {
  __tsan_release(mutex);
  FIGFLOW_QUIETLY(
      __real__ZN4absl7debian35Mutex5AwaitERKNS0_9ConditionE(mutex, condition));
  __tsan_acquire(mutex);
}

bool __real__ZN4absl7debian35Mutex16AwaitWithTimeoutERKNS0_9ConditionENS0_8DurationE(
    absl::Mutex* mutex,
    const absl::Condition& condition,
    absl::Duration timeout);
bool __wrap__ZN4absl7debian35Mutex16AwaitWithTimeoutERKNS0_9ConditionENS0_8DurationE(
    absl::Mutex* mutex,
    const absl::Condition& condition,
    absl::Duration timeout) {
  bool met = false;
  __tsan_release(mutex);
  FIGFLOW_QUIETLY(
      met =
          __real__ZN4absl7debian35Mutex16AwaitWithTimeoutERKNS0_9ConditionENS0_8DurationE(
              mutex, condition, timeout));
  __tsan_acquire(mutex);
  return met;
}

void __real__ZN4absl7debian37CondVar4WaitEPNS0_5MutexE(absl::CondVar* variable,
                                                       absl::Mutex* mutex);
void __wrap__ZN4absl7debian37CondVar4WaitEPNS0_5MutexE(absl::CondVar* variable,
                                                       absl::Mutex* mutex) {
  __tsan_release(mutex);
  FIGFLOW_QUIETLY(
      __real__ZN4absl7debian37CondVar4WaitEPNS0_5MutexE(variable, mutex));
  __tsan_acquire(mutex);
}

bool __real__ZN4absl7debian37CondVar15WaitWithTimeoutEPNS0_5MutexENS0_8DurationE(
    absl::CondVar* variable,
    absl::Mutex* mutex,
    absl::Duration timeout);
bool __wrap__ZN4absl7debian37CondVar15WaitWithTimeoutEPNS0_5MutexENS0_8DurationE(
    absl::CondVar* variable,
    absl::Mutex* mutex,
    absl::Duration timeout) {
  bool timed_out = false;
  __tsan_release(mutex);
  FIGFLOW_QUIETLY(
      timed_out =
          __real__ZN4absl7debian37CondVar15WaitWithTimeoutEPNS0_5MutexENS0_8DurationE(
              variable, mutex, timeout));
  __tsan_acquire(mutex);
  return timed_out;
}

}  // extern "C"
// NOLINTEND

#endif  // defined(__SANITIZE_THREAD__)
