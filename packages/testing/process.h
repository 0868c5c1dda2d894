// Runs programs under test as child processes.
//
//   TemporaryFolder folder;
//   auto process = Process::Start({ .m_program = "/bin/x", .m_log = log });
//   process->Signal(SIGTERM);
//   std::optional<ProcessEnd> end = process->End();
#pragma once

#include <sys/types.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"

namespace ebonykeel {

// A new folder that is removed with its contents on destruction. If the
// environment variable EBONYKEEL_KEEP_LOGS is set, the folder is kept and its
// path printed.
class TemporaryFolder
{
public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  // Returns the path of the file `aName` in the folder.
  [[nodiscard]] std::string Path(const std::string& aName) const;

private:
  std::string m_path;
};

struct ProcessOptions
{
  std::string m_program;
  std::vector<std::string> m_arguments;
  // The file that standard output and standard error are appended to.
  std::string m_log;
};

// How a process ended: its exit code, or the signal that killed it.
struct ProcessEnd
{
  std::optional<int> m_exitCode;
  int m_signal = 0;
};

// One child process. It is killed and reaped on destruction.
class Process
{
public:
  // Returns Unavailable if the program cannot be started.
  [[nodiscard]] static absl::StatusOr<std::unique_ptr<Process>> Start(
    const ProcessOptions& aOptions);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Sends `aSignal`, unless the process has ended.
  void Signal(int aSignal);

  // Returns how the process ended, or nullopt while it runs.
  [[nodiscard]] std::optional<ProcessEnd> End();

private:
  explicit Process(pid_t aPid);

  pid_t m_pid;
  std::optional<ProcessEnd> m_end;
};

} // namespace ebonykeel
