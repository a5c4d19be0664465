#ifndef PROCESS_CHILD_PROCESS_H_
#define PROCESS_CHILD_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <string>
#include <vector>

namespace figflow::test {

// A program started by a test, killed and reaped when the test ends. Its
// output goes to `log_path`.
class ChildProcess {
 public:
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments,
               const std::string& log_path);
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  ~ChildProcess();

  void Signal(int signal_number) const;
  // SIGKILL and wait.
  void Kill();
  // Waits for the end; returns the exit code, 128 + signal, or -1 when it still
  // runs after `timeout`.
  int Wait(std::chrono::milliseconds timeout);
  // Reaps the process if it has ended. Does not wait.
  bool Running();
  // CPU time used so far, user and system.
  std::chrono::milliseconds CpuTime() const;
  // Resident memory in bytes.
  size_t ResidentBytes() const;
  // Most resident memory that the process has had, in bytes.
  size_t PeakResidentBytes() const;
  size_t OpenDescriptors() const;
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
  bool reaped_ = false;
  int exit_code_ = -1;
};

}  // namespace figflow::test

#endif  // PROCESS_CHILD_PROCESS_H_
