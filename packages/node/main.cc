// The program `ebonykeeld`, which runs one instance.
#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>

#include <docopt/docopt.h>
#include <kj/async-unix.h>

#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "core/config/forward_settings.h"
#include "core/config/instance_settings.h"
#include "node/entry/forward_main.h"
#include "node/instance.h"
#include "platform/store_protocol.h"
#include "platform/traffic_protocol.h"
#include "runtime/file/ready_file.h"
#include "runtime/log/events.h"
#include "runtime/loop/loop.h"

namespace {

using namespace ebonykeel; // NOLINT(google-build-using-namespace)

constexpr char kUsage[] =
  R"(ebonykeeld: one instance of a query tier over many shards.

Usage:
  ebonykeeld --settings=FILE [--check]
  ebonykeeld --events
  ebonykeeld --help
  ebonykeeld --version

Options:
  --settings=FILE  The TOML file with this instance's settings.
  --check          Check the settings and stop.
  --events         Print the catalogue of log events and stop.
  --help           Print this text.
  --version        Print the version.

Exit codes:
  0  stopped gracefully, or the settings are valid
  1  the settings have findings, or an address could not be bound
  2  wrong usage
)";

constexpr char kVersion[] = "ebonykeeld 0.1.0";

constexpr int kExitOk = 0;
constexpr int kExitRefused = 1;

std::optional<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  return std::string{ std::istreambuf_iterator<char>(file), {} };
}

// Returns the settings, or prints the findings and returns nothing if the
// settings are invalid.
std::optional<InstanceSettings>
LoadSettings(const std::string& aPath)
{
  std::optional<std::string> text = ReadFile(aPath);
  if (!text) {
    std::cerr << aPath << ": cannot be read\n";
    return std::nullopt;
  }
  InstanceSettingsResult result = ParseInstanceSettings(*text, aPath);
  if (!result.m_settings) {
    std::cerr << FormatFindings(result.m_findings);
  }
  return result.m_settings;
}

// Returns the first line of the token file, empty if no file is set, or nothing
// if the file cannot be read.
std::optional<std::string>
LoadToken(const std::string& aPath)
{
  if (aPath.empty()) {
    return "";
  }
  std::optional<std::string> text = ReadFile(aPath);
  if (!text) {
    return std::nullopt;
  }
  std::string token = text->substr(0, text->find('\n'));
  return std::string(absl::StripSuffix(token, "\r"));
}

int
Run(InstanceSettings aSettings)
{
  std::optional<std::string> token = LoadToken(aSettings.m_adminTokenFile);
  if (!token || (token->empty() && !aSettings.m_adminTokenFile.empty())) {
    LogEvent(Event::kSettingsRefused,
             { { "file", aSettings.m_adminTokenFile },
               { "findings", "the file is unreadable or has no token" } });
    return kExitRefused;
  }
  kj::UnixEventPort::captureSignal(SIGTERM);
  kj::UnixEventPort::captureSignal(SIGINT);
  Loop loop;
  std::string readyFile = aSettings.m_readyFile;
  Instance instance(loop, std::move(aSettings), *token);
  absl::Status status = instance.Start();
  if (!status.ok()) {
    LogEvent(
      Event::kListenFailed,
      { { "address", "" }, { "reason", std::string(status.message()) } });
    return kExitRefused;
  }
  const BoundPorts& ports = instance.Ports();
  if (!readyFile.empty()) {
    WriteReadyFile(readyFile,
                   absl::StrCat("{\"public\":",
                                ports.m_public,
                                ",\"admin\":",
                                ports.m_admin,
                                ",\"peer\":",
                                ports.m_peer,
                                "}\n"));
  }
  loop.OnSignal(SIGTERM)
    .exclusiveJoin(loop.OnSignal(SIGINT))
    .then([&instance]() { return instance.Stop(); })
    .wait(loop.WaitScope());
  return kExitOk;
}

// Runs the forward mode, in which the instance forwards requests on the
// platform.
int
RunForwardMode(const std::string& aPath, bool aCheckOnly)
{
  std::optional<std::string> text = ReadFile(aPath);
  ForwardSettingsResult result = ParseForwardSettings(text.value_or(""), aPath);
  if (!result.m_settings) {
    std::cerr << FormatFindings(result.m_findings);
    return kExitRefused;
  }
  if (aCheckOnly) {
    std::cout << "settings are valid\n";
    return kExitOk;
  }
  auto traffic = platform::MakeTrafficProtocol();
  auto store =
    platform::MakeStoreProtocol(FormatAddress(result.m_settings->m_store));
  return RunForwardInstance(
    *std::move(result.m_settings), aPath, *traffic, *store);
}

bool
IsForwardModeFile(const std::string& aPath)
{
  std::optional<std::string> text = ReadFile(aPath);
  return text && IsForwardMode(*text);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  auto arguments = docopt::docopt(
    kUsage, { aArguments + 1, aArguments + aCount }, true, kVersion);
  if (arguments["--events"].asBool()) {
    std::cout << RenderEventCatalogue();
    return kExitOk;
  }
  std::string path = arguments["--settings"].asString();
  if (IsForwardModeFile(path)) {
    std::_Exit(RunForwardMode(path, arguments["--check"].asBool()));
  }
  std::optional<InstanceSettings> settings =
    LoadSettings(arguments["--settings"].asString());
  if (!settings) {
    return kExitRefused;
  }
  if (arguments["--check"].asBool()) {
    std::cout << "settings are valid\n";
    return kExitOk;
  }
  InitializeLogging({ .m_program = "ebonykeeld",
                      .m_folder = settings->m_log.m_folder,
                      .m_minLevel = settings->m_log.m_minLevel,
                      .m_verbosity = settings->m_log.m_verbosity });
  int code = Run(*std::move(settings));
  // h2o's and kj's loops hold callbacks into each other, so the process exits
  // without destroying them.
  std::_Exit(code);
}
