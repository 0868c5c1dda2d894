#include "testing/process.h"

#include <fcntl.h>
#include <spawn.h>
#include <stdlib.h> // NOLINT(modernize-deprecated-headers): mkdtemp
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <filesystem>

#include "absl/strings/str_cat.h"

namespace ebonykeel {
namespace {

constexpr mode_t kLogMode = 0600;

// The spawn attributes and file actions of one process start.
class SpawnSetup
{
public:
  explicit SpawnSetup(const std::string& aLog)
  {
    posix_spawnattr_init(&m_attributes);
    posix_spawn_file_actions_init(&m_actions);
    ResetSignals();
    posix_spawn_file_actions_addopen(
      &m_actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&m_actions,
                                     STDOUT_FILENO,
                                     aLog.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND,
                                     kLogMode);
    posix_spawn_file_actions_adddup2(&m_actions, STDOUT_FILENO, STDERR_FILENO);
  }

  ~SpawnSetup()
  {
    posix_spawn_file_actions_destroy(&m_actions);
    posix_spawnattr_destroy(&m_attributes);
  }

  SpawnSetup(const SpawnSetup&) = delete;
  SpawnSetup& operator=(const SpawnSetup&) = delete;

  [[nodiscard]] const posix_spawnattr_t* Attributes() const
  {
    return &m_attributes;
  }
  [[nodiscard]] const posix_spawn_file_actions_t* Actions() const
  {
    return &m_actions;
  }

private:
  // The test's event loop blocks signals that the child must receive.
  void ResetSignals()
  {
    sigset_t none;
    sigemptyset(&none);
    sigset_t all;
    sigfillset(&all);
    posix_spawnattr_setsigmask(&m_attributes, &none);
    posix_spawnattr_setsigdefault(&m_attributes, &all);
    posix_spawnattr_setflags(&m_attributes,
                             POSIX_SPAWN_SETSIGMASK | POSIX_SPAWN_SETSIGDEF);
  }

  posix_spawnattr_t m_attributes{};
  posix_spawn_file_actions_t m_actions{};
};

ProcessEnd
ToProcessEnd(int aStatus)
{
  if (WIFEXITED(aStatus)) {
    return { .m_exitCode = WEXITSTATUS(aStatus) };
  }
  return { .m_signal = WTERMSIG(aStatus) };
}

} // namespace

TemporaryFolder::TemporaryFolder()
  : m_path(
      (std::filesystem::temp_directory_path() / "ebonykeel-XXXXXX").string())
{
  if (mkdtemp(m_path.data()) == nullptr) {
    std::perror("mkdtemp");
    std::abort();
  }
}

TemporaryFolder::~TemporaryFolder()
{
  if (std::getenv("EBONYKEEL_KEEP_LOGS") != nullptr) {
    std::printf("logs are kept in %s\n", m_path.c_str());
    return;
  }
  std::error_code ignored;
  std::filesystem::remove_all(m_path, ignored);
}

std::string
TemporaryFolder::Path(const std::string& aName) const
{
  return absl::StrCat(m_path, "/", aName);
}

absl::StatusOr<std::unique_ptr<Process>>
Process::Start(const ProcessOptions& aOptions)
{
  std::vector<std::string> texts{ aOptions.m_program };
  texts.insert(
    texts.end(), aOptions.m_arguments.begin(), aOptions.m_arguments.end());
  std::vector<char*> arguments;
  arguments.reserve(texts.size() + 1);
  for (std::string& text : texts) {
    arguments.push_back(text.data());
  }
  arguments.push_back(nullptr);
  SpawnSetup setup(aOptions.m_log);
  pid_t pid = 0;
  int error = posix_spawn(&pid,
                          aOptions.m_program.c_str(),
                          setup.Actions(),
                          setup.Attributes(),
                          arguments.data(),
                          environ);
  if (error != 0) {
    return absl::UnavailableError(
      absl::StrCat(aOptions.m_program, ": error ", error));
  }
  return std::unique_ptr<Process>(new Process(pid));
}

Process::Process(pid_t aPid)
  : m_pid(aPid)
{
}

Process::~Process()
{
  if (End()) {
    return;
  }
  kill(m_pid, SIGKILL);
  waitpid(m_pid, nullptr, 0);
}

void
Process::Signal(int aSignal)
{
  if (!End()) {
    kill(m_pid, aSignal);
  }
}

std::optional<ProcessEnd>
Process::End()
{
  int status = 0;
  if (!m_end && waitpid(m_pid, &status, WNOHANG) == m_pid) {
    m_end = ToProcessEnd(status);
  }
  return m_end;
}

} // namespace ebonykeel
