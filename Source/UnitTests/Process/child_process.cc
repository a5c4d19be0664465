#include "Process/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace figflow::test {
namespace {

constexpr std::chrono::milliseconds kWaitStep{10};
constexpr char kPeakField[] = "VmHWM:";

std::string ReadProcFile(pid_t pid, const char* name) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/" + name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

ChildProcess::ChildProcess(const std::string& program,
                           const std::vector<std::string>& arguments,
                           const std::string& log_path) {
  std::vector<char*> argv;
  argv.push_back(const_cast<char*>(program.c_str()));
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);

  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int status = posix_spawn(&pid_, program.c_str(), &actions, nullptr,
                                 argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (status != 0) {
    throw std::runtime_error("cannot start " + program);
  }
}

ChildProcess::~ChildProcess() {
  Kill();
}

void ChildProcess::Signal(int signal_number) const {
  if (!reaped_) {
    kill(pid_, signal_number);
  }
}

void ChildProcess::Kill() {
  if (reaped_) {
    return;
  }
  kill(pid_, SIGKILL);
  Wait(std::chrono::seconds(10));
}

int ChildProcess::Wait(std::chrono::milliseconds timeout) {
  for (std::chrono::milliseconds waited{0}; Running() && waited <= timeout;
       waited += kWaitStep) {
    std::this_thread::sleep_for(kWaitStep);
  }
  return exit_code_;
}

bool ChildProcess::Running() {
  int status = 0;
  if (!reaped_ && waitpid(pid_, &status, WNOHANG) == pid_) {
    reaped_ = true;
    exit_code_ =
        WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  }
  return !reaped_;
}

std::chrono::milliseconds ChildProcess::CpuTime() const {
  // Fields 14 and 15 of stat are user and system time; field 2 may hold blanks
  // and ends with the last ')'.
  const std::string stat = ReadProcFile(pid_, "stat");
  std::istringstream fields(stat.substr(stat.rfind(')') + 1));
  std::string skipped;
  for (int i = 3; i < 14; ++i) {
    fields >> skipped;
  }
  int64_t user = 0;
  int64_t system = 0;
  fields >> user >> system;
  return std::chrono::milliseconds((user + system) * 1000 /
                                   sysconf(_SC_CLK_TCK));
}

size_t ChildProcess::ResidentBytes() const {
  std::istringstream fields(ReadProcFile(pid_, "statm"));
  size_t total = 0;
  size_t resident = 0;
  fields >> total >> resident;
  return resident * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

size_t ChildProcess::PeakResidentBytes() const {
  std::istringstream lines(ReadProcFile(pid_, "status"));
  std::string line;
  while (std::getline(lines, line)) {
    if (line.rfind(kPeakField, 0) == 0) {
      return std::stoul(line.substr(sizeof(kPeakField) - 1)) * 1024;
    }
  }
  return 0;
}

size_t ChildProcess::OpenDescriptors() const {
  const std::filesystem::directory_iterator descriptors(
      "/proc/" + std::to_string(pid_) + "/fd");
  return static_cast<size_t>(
      std::distance(begin(descriptors), end(descriptors)));
}

}  // namespace figflow::test
