#ifndef SETTINGS_SETTINGS_FILE_H_
#define SETTINGS_SETTINGS_FILE_H_

#include <sys/types.h>

#include <string>
#include <tuple>

namespace figflow {

// Notices that a settings file was written or replaced. The platform does so
// without a signal at times, and file notifications are not available there.
class SettingsFileWatch {
 public:
  explicit SettingsFileWatch(std::string path);

  // Whether the file has changed since the last call or the construction. A
  // file that is missing for a moment has not changed.
  bool Changed();

 private:
  // Device, inode, size, and time of the last change in seconds and
  // nanoseconds.
  using Identity = std::tuple<dev_t, ino_t, off_t, time_t, long>;
  Identity Read() const;

  const std::string path_;
  Identity last_;
};

}  // namespace figflow

#endif  // SETTINGS_SETTINGS_FILE_H_
