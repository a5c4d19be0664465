// Tells ThreadSanitizer about absl::Mutex. Debian's Abseil is built without
// the sanitizer, so that it reports a race for all data that a mutex guards.
// Linked into ThreadSanitizer builds only, with --wrap for each function here.

#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"

namespace figflow {
namespace {

constexpr unsigned kWriteLock = 0;
// Flags of <sanitizer/tsan_interface.h>.
constexpr unsigned kReadLock = 1U << 3;
constexpr unsigned kTryLock = 1U << 4;
constexpr unsigned kTryLockFailed = 1U << 5;

constexpr absl::Duration kPollInterval = absl::Milliseconds(1);

}  // namespace

// Names with a meaning for the sanitizer and the linker are given as labels,
// because they are reserved identifiers.
extern "C" {

void TsanPreLock(void* mutex, unsigned flags) __asm__("__tsan_mutex_pre_lock");
void TsanPostLock(void* mutex,
                  unsigned flags,
                  int recursion) __asm__("__tsan_mutex_post_lock");
int TsanPreUnlock(void* mutex,
                  unsigned flags) __asm__("__tsan_mutex_pre_unlock");
void TsanPostUnlock(void* mutex,
                    unsigned flags) __asm__("__tsan_mutex_post_unlock");

void RealLock(absl::Mutex* mutex) __asm__(
    "__real__ZN4absl7debian35Mutex4LockEv");
void RealUnlock(absl::Mutex* mutex) __asm__(
    "__real__ZN4absl7debian35Mutex6UnlockEv");
bool RealTryLock(absl::Mutex* mutex) __asm__(
    "__real__ZN4absl7debian35Mutex7TryLockEv");
void RealReaderLock(absl::Mutex* mutex) __asm__(
    "__real__ZN4absl7debian35Mutex10ReaderLockEv");
void RealReaderUnlock(absl::Mutex* mutex) __asm__(
    "__real__ZN4absl7debian35Mutex12ReaderUnlockEv");
void RealWait(absl::CondVar* condition, absl::Mutex* mutex) __asm__(
    "__real__ZN4absl7debian37CondVar4WaitEPNS0_5MutexE");
bool RealWaitWithTimeout(absl::CondVar* condition, absl::Mutex* mutex, absl::Duration timeout) __asm__(
    "__real__ZN4absl7debian37CondVar15WaitWithTimeoutEPNS0_5MutexE"
    "NS0_8DurationE");
bool RealWaitWithDeadline(absl::CondVar* condition, absl::Mutex* mutex, absl::Time deadline) __asm__(
    "__real__ZN4absl7debian37CondVar16WaitWithDeadlineEPNS0_5MutexE"
    "NS0_4TimeE");

void WrapLock(absl::Mutex* mutex) __asm__(
    "__wrap__ZN4absl7debian35Mutex4LockEv");
void WrapUnlock(absl::Mutex* mutex) __asm__(
    "__wrap__ZN4absl7debian35Mutex6UnlockEv");
bool WrapTryLock(absl::Mutex* mutex) __asm__(
    "__wrap__ZN4absl7debian35Mutex7TryLockEv");
void WrapReaderLock(absl::Mutex* mutex) __asm__(
    "__wrap__ZN4absl7debian35Mutex10ReaderLockEv");
void WrapReaderUnlock(absl::Mutex* mutex) __asm__(
    "__wrap__ZN4absl7debian35Mutex12ReaderUnlockEv");
void WrapWait(absl::CondVar* condition, absl::Mutex* mutex) __asm__(
    "__wrap__ZN4absl7debian37CondVar4WaitEPNS0_5MutexE");
bool WrapWaitWithTimeout(absl::CondVar* condition, absl::Mutex* mutex, absl::Duration timeout) __asm__(
    "__wrap__ZN4absl7debian37CondVar15WaitWithTimeoutEPNS0_5MutexE"
    "NS0_8DurationE");
bool WrapWaitWithDeadline(absl::CondVar* condition, absl::Mutex* mutex, absl::Time deadline) __asm__(
    "__wrap__ZN4absl7debian37CondVar16WaitWithDeadlineEPNS0_5MutexE"
    "NS0_4TimeE");
void WrapAwait(absl::Mutex* mutex, const absl::Condition& condition) __asm__(
    "__wrap__ZN4absl7debian35Mutex5AwaitERKNS0_9ConditionE");
bool WrapAwaitWithTimeout(absl::Mutex* mutex, const absl::Condition& condition, absl::Duration timeout) __asm__(
    "__wrap__ZN4absl7debian35Mutex16AwaitWithTimeoutERKNS0_9ConditionE"
    "NS0_8DurationE");
bool WrapAwaitWithDeadline(absl::Mutex* mutex, const absl::Condition& condition, absl::Time deadline) __asm__(
    "__wrap__ZN4absl7debian35Mutex17AwaitWithDeadlineERKNS0_9ConditionE"
    "NS0_4TimeE");

void WrapLock(absl::Mutex* mutex) {
  TsanPreLock(mutex, kWriteLock);
  RealLock(mutex);
  TsanPostLock(mutex, kWriteLock, 0);
}

void WrapUnlock(absl::Mutex* mutex) {
  TsanPreUnlock(mutex, kWriteLock);
  RealUnlock(mutex);
  TsanPostUnlock(mutex, kWriteLock);
}

bool WrapTryLock(absl::Mutex* mutex) {
  TsanPreLock(mutex, kTryLock);
  const bool locked = RealTryLock(mutex);
  TsanPostLock(mutex, locked ? kTryLock : kTryLock | kTryLockFailed, 0);
  return locked;
}

void WrapReaderLock(absl::Mutex* mutex) {
  TsanPreLock(mutex, kReadLock);
  RealReaderLock(mutex);
  TsanPostLock(mutex, kReadLock, 0);
}

void WrapReaderUnlock(absl::Mutex* mutex) {
  TsanPreUnlock(mutex, kReadLock);
  RealReaderUnlock(mutex);
  TsanPostUnlock(mutex, kReadLock);
}

void WrapWait(absl::CondVar* condition, absl::Mutex* mutex) {
  TsanPreUnlock(mutex, kWriteLock);
  RealWait(condition, mutex);
  TsanPostLock(mutex, kWriteLock, 0);
}

bool WrapWaitWithTimeout(absl::CondVar* condition,
                         absl::Mutex* mutex,
                         absl::Duration timeout) {
  TsanPreUnlock(mutex, kWriteLock);
  const bool timed_out = RealWaitWithTimeout(condition, mutex, timeout);
  TsanPostLock(mutex, kWriteLock, 0);
  return timed_out;
}

bool WrapWaitWithDeadline(absl::CondVar* condition,
                          absl::Mutex* mutex,
                          absl::Time deadline) {
  TsanPreUnlock(mutex, kWriteLock);
  const bool timed_out = RealWaitWithDeadline(condition, mutex, deadline);
  TsanPostLock(mutex, kWriteLock, 0);
  return timed_out;
}

// Abseil evaluates conditions in the thread that unlocks, where they cannot be
// annotated. These poll instead.
bool WrapAwaitWithDeadline(absl::Mutex* mutex,
                           const absl::Condition& condition,
                           absl::Time deadline) {
  while (!condition.Eval()) {
    if (absl::Now() >= deadline) {
      return false;
    }
    WrapUnlock(mutex);
    absl::SleepFor(kPollInterval);
    WrapLock(mutex);
  }
  return true;
}

bool WrapAwaitWithTimeout(absl::Mutex* mutex,
                          const absl::Condition& condition,
                          absl::Duration timeout) {
  return WrapAwaitWithDeadline(mutex, condition, absl::Now() + timeout);
}

void WrapAwait(absl::Mutex* mutex, const absl::Condition& condition) {
  WrapAwaitWithDeadline(mutex, condition, absl::InfiniteFuture());
}

}  // extern "C"

}  // namespace figflow
