#include "Settings/settings_file.h"

#include <sys/stat.h>

#include <utility>

namespace figflow {

SettingsFileWatch::SettingsFileWatch(std::string path)
    : path_(std::move(path)), last_(Read()) {}

bool SettingsFileWatch::Changed() {
  const Identity now = Read();
  if (now == last_ || now == Identity()) {
    return false;
  }
  last_ = now;
  return true;
}

SettingsFileWatch::Identity SettingsFileWatch::Read() const {
  struct stat info = {};
  if (stat(path_.c_str(), &info) != 0) {
    return {};
  }
  return {info.st_dev, info.st_ino, info.st_size, info.st_mtim.tv_sec,
          info.st_mtim.tv_nsec};
}

}  // namespace figflow
