#include "cli/runner.h"

#include <deque>
#include <map>
#include <random>
#include <vector>

#include <doctest/doctest.h>

namespace ebonykeel::cli {
namespace {

using Json = nlohmann::json;

constexpr char kService[] = R"(name = "desk"
index_version = 1
[[shard]]
name = "s0"
replicas = [ { id = "a", address = "10.0.0.1:1", data_centre = "oviedo" } ]
)";

class FakeFiles final : public FileReader
{
public:
  [[nodiscard]] std::optional<std::string> Read(
    const std::string& aPath) const override
  {
    auto found = m_files.find(aPath);
    return found == m_files.end() ? std::nullopt : std::optional(found->second);
  }
  [[nodiscard]] std::optional<std::vector<std::string>> ListToml(
    const std::string& aFolder) const override
  {
    std::vector<std::string> paths;
    for (const auto& [path, text] : m_files) {
      if (path.starts_with(aFolder + "/")) {
        paths.push_back(path);
      }
    }
    return paths;
  }

  std::map<std::string, std::string> m_files;
};

// Returns the queued results in order, and the last one repeatedly.
class FakeClient final : public InstanceClient
{
public:
  CallResult Call(const Endpoint& /*aInstance*/,
                  const HttpRequest& aRequest,
                  Duration /*aTimeout*/) override
  {
    m_requests.push_back(aRequest);
    CallResult result = m_results.front();
    if (m_results.size() > 1) {
      m_results.pop_front();
    }
    return result;
  }
  void Pause(Duration aSpan) override { m_now += aSpan; }
  TimePoint Now() override { return m_now; }

  void Answer(int aStatus, const Json& aBody)
  {
    CallResult result{ .m_status = CallStatus::kAnswered };
    result.m_response.m_status = aStatus;
    result.m_response.m_body = aBody.dump();
    m_results.push_back(result);
  }

  std::vector<HttpRequest> m_requests;
  std::deque<CallResult> m_results;
  TimePoint m_now{};
};

class FakeConsole final : public Console
{
public:
  void Print(std::string_view aText) override { m_out += aText; }
  void PrintError(std::string_view aText) override { m_error += aText; }
  [[nodiscard]] bool IsTerminal() const override { return m_terminal; }

  std::string m_out;
  std::string m_error;
  bool m_terminal = false;
};

struct Fixture
{
  ExitCode Run(const std::vector<std::string>& aArguments)
  {
    CommandLineResult parsed = ParseCommandLine(aArguments);
    DOCTEST_REQUIRE_MESSAGE(parsed.m_line.has_value(), parsed.m_text);
    return Runner(m_client, m_files, m_console, m_random)
      .Run(*parsed.m_line, 1'700'000'000'000);
  }

  Json Body(size_t aIndex = 0)
  {
    return Json::parse(m_client.m_requests.at(aIndex).m_body);
  }

  FakeClient m_client;
  FakeFiles m_files;
  FakeConsole m_console;
  std::mt19937_64 m_random{ 3 };
};

Json
InForce(int aOn, int aOf, const Json& aMissing = Json::array())
{
  return { { "on", aOn }, { "of", aOf }, { "missing", aMissing } };
}

DOCTEST_TEST_CASE(
  "check reports errors within files and conflicts between files")
{
  Fixture fixture;
  fixture.m_files.m_files = { { "a.toml", kService },
                              { "b.toml", "name = \"b\"\nslots = 0" } };
  DOCTEST_CHECK(fixture.Run({ "check", "a.toml" }) == ExitCode::kOk);
  DOCTEST_CHECK(fixture.m_console.m_out == "1 files: ok\n");
  DOCTEST_CHECK(fixture.Run({ "check", "a.toml", "b.toml", "none.toml" }) ==
                ExitCode::kRefused);
  DOCTEST_CHECK(fixture.m_console.m_error ==
                "b.toml:1:1: index_version: is missing\n"
                "b.toml:1:1: shard: is missing\n"
                "b.toml:2:9: slots: is 0 (allowed: 1 to 1024)\n"
                "none.toml: cannot be read\n"
                "4 findings\n");
  fixture.m_files.m_files["c.toml"] = kService;
  fixture.m_console.m_out.clear();
  DOCTEST_CHECK(fixture.Run({ "check", "a.toml", "c.toml", "--output=json" }) ==
                ExitCode::kRefused);
  Json shown = Json::parse(fixture.m_console.m_out);
  DOCTEST_CHECK(shown["ok"] == false);
  DOCTEST_CHECK(shown["findings"][0]["file"] == "c.toml");
  DOCTEST_CHECK(fixture.m_client.m_requests.empty());
}

DOCTEST_TEST_CASE("publish sends nothing if a file has findings")
{
  Fixture fixture;
  fixture.m_files.m_files = { { "f/a.toml", kService }, { "f/b.toml", "x" } };
  DOCTEST_CHECK(fixture.Run({ "publish", "f" }) == ExitCode::kRefused);
  DOCTEST_CHECK(fixture.Run({ "publish", "empty" }) == ExitCode::kUsage);
  DOCTEST_CHECK(fixture.m_client.m_requests.empty());
}

DOCTEST_TEST_CASE("publish waits until the change is in force everywhere")
{
  Fixture fixture;
  fixture.m_console.m_terminal = true;
  fixture.m_files.m_files = { { "f/a.toml", kService }, { "t", "secret\n" } };
  fixture.m_client.Answer(200,
                          { { "accepted", true },
                            { "generation", 4 },
                            { "in_force", InForce(1, 2, { "n2" }) } });
  // A status of an older generation does not end the wait.
  fixture.m_client.Answer(
    200, { { "generation", 3 }, { "in_force", InForce(2, 2) } });
  fixture.m_client.Answer(
    200, { { "generation", 4 }, { "in_force", InForce(2, 2) } });
  DOCTEST_CHECK(fixture.Run({ "publish",
                              "f",
                              "--token-file=t",
                              "--author=maite",
                              "--change-id=c9",
                              "--base=3" }) == ExitCode::kOk);
  DOCTEST_CHECK(fixture.m_console.m_out ==
                "accepted: generation 4\nin force on 2 of 2\n");
  DOCTEST_CHECK(fixture.m_console.m_error.find("missing: n2") !=
                std::string::npos);
  const HttpRequest& sent = fixture.m_client.m_requests.at(0);
  DOCTEST_CHECK(sent.m_method == "PUT");
  DOCTEST_CHECK(sent.m_path == "/v1/admin/services");
  DOCTEST_CHECK(FindHeader(sent.m_headers, "authorization") == "Bearer secret");
  Json body = fixture.Body();
  DOCTEST_CHECK(body["services"][0]["file"] == "f/a.toml");
  DOCTEST_CHECK(body["services"][0]["text"] == kService);
  DOCTEST_CHECK(body["change_id"] == "c9");
  DOCTEST_CHECK(body["base_generation"] == 3);
  DOCTEST_CHECK(fixture.m_client.m_requests.size() == 3);
}

DOCTEST_TEST_CASE(
  "an accepted change that is not in force everywhere has its own exit code")
{
  Fixture fixture;
  fixture.m_client.Answer(
    200, { { "generation", 4 }, { "in_force", InForce(1, 2, { "n2" }) } });
  DOCTEST_CHECK(fixture.Run({ "data-centre", "out", "oviedo", "--wait=1" }) ==
                ExitCode::kNotInForce);
  DOCTEST_CHECK(fixture.m_console.m_out ==
                "accepted: generation 4\nin force on 1 of 2, missing: n2\n");
  DOCTEST_CHECK(fixture.m_client.m_now == TimePoint{} + Seconds(1));
  DOCTEST_CHECK(fixture.m_client.m_requests.at(0).m_path ==
                "/v1/admin/data-centres/oviedo/out");
  DOCTEST_CHECK(fixture.Run({ "upstream", "drain", "u/1", "--wait=0" }) ==
                ExitCode::kOk);
  DOCTEST_CHECK(fixture.m_client.m_requests.back().m_path ==
                "/v1/admin/upstreams/u%2F1/drain");
}

DOCTEST_TEST_CASE("exit codes distinguish refused, unreachable and unknown")
{
  Json conflict{ { "code", "conflict" },
                 { "message", "another change was accepted first" },
                 { "outcome", "not-run" } };
  Json unknown{ { "code", "unknown" }, { "outcome", "unknown" } };
  auto exitOf = [](const CallResult& aResult, const std::string& aCommand) {
    Fixture fixture;
    fixture.m_client.m_results.push_back(aResult);
    return fixture.Run({ aCommand, "3" });
  };
  auto answered = [](int aStatus, const std::string& aBody) {
    CallResult result{ .m_status = CallStatus::kAnswered };
    result.m_response.m_status = aStatus;
    result.m_response.m_body = aBody;
    return result;
  };
  CallResult noAnswer{ .m_status = CallStatus::kNoAnswer };
  CallResult notSent{ .m_status = CallStatus::kNotSent };
  using enum ExitCode;
  DOCTEST_CHECK(exitOf(answered(409, conflict.dump()), "rollback") == kRefused);
  DOCTEST_CHECK(exitOf(answered(504, unknown.dump()), "rollback") == kUnknown);
  DOCTEST_CHECK(exitOf(answered(502, "<html>"), "rollback") == kUnknown);
  DOCTEST_CHECK(exitOf(answered(200, "[1]"), "rollback") == kUnknown);
  DOCTEST_CHECK(exitOf(noAnswer, "rollback") == kUnknown);
  DOCTEST_CHECK(exitOf(notSent, "rollback") == kUnreachable);
  DOCTEST_CHECK(exitOf(noAnswer, "where") == kUnreachable);
  DOCTEST_CHECK(exitOf(answered(502, "<html>"), "where") == kRefused);
}

DOCTEST_TEST_CASE(
  "findings of the instance are shown with their position and allowed values")
{
  Fixture fixture;
  Json findings = Json::array();
  findings.push_back({ { "file", "f/a.toml" },
                       { "line", 3 },
                       { "column", 9 },
                       { "key", "slots" },
                       { "problem", "is 0" },
                       { "allowed", "1 to 1024" } });
  findings.push_back({ { "key", "upstream" }, { "problem", "no \"x\"" } });
  fixture.m_client.Answer(400,
                          { { "code", "invalid" },
                            { "message", "both" },
                            { "outcome", "not-run" },
                            { "findings", findings } });
  DOCTEST_CHECK(fixture.Run({ "upstream", "drain", "x" }) ==
                ExitCode::kRefused);
  DOCTEST_CHECK(fixture.m_console.m_error ==
                "f/a.toml:3:9: slots: is 0 (allowed: 1 to 1024)\n"
                "upstream: no \"x\"\n"
                "error: invalid (outcome: not-run)\n");
}

DOCTEST_TEST_CASE("without an answer the tool prints the id to use for a retry")
{
  Fixture fixture;
  fixture.m_client.m_results.push_back(
    { .m_status = CallStatus::kNoAnswer, .m_problem = "timeout" });
  DOCTEST_CHECK(fixture.Run({ "file", "office", "file", "--key=k" }) ==
                ExitCode::kUnknown);
  std::string id = fixture.Body()["request_id"];
  DOCTEST_CHECK(id.size() == 32);
  DOCTEST_CHECK(fixture.m_console.m_error.find("--request-id=" + id) !=
                std::string::npos);
  DOCTEST_CHECK(fixture.Body()["issued_at_ms"] == 1'700'000'000'000);
}

DOCTEST_TEST_CASE(
  "a query answer shows index versions, coverage and missing shards")
{
  Fixture fixture;
  fixture.m_client.Answer(
    200, Json::parse(R"({"request_id":"r1","whole":false,"outcome":"ran",
      "services":[{"service":"desk","index_version":7,
        "coverage":{"shards":2,"answered":1,
          "missing":[{"shard":"s1","reason":"deadline","partial":false}]},
        "hits":[{"document":"d1","score":0.5,"text":"knots"}]}]})"));
  DOCTEST_CHECK(fixture.Run({ "query", "wool", "--service=desk" }) ==
                ExitCode::kOk);
  DOCTEST_CHECK(fixture.m_console.m_out ==
                "desk: index version 7, 1 of 2 shards, missing s1 (deadline)\n"
                "  0.5        d1  knots\n"
                "partial, request r1\n");
  DOCTEST_CHECK(fixture.Body()["services"] == Json{ "desk" });
  DOCTEST_CHECK(!fixture.Body().contains("deadline_ms"));
}

DOCTEST_TEST_CASE("answers of an unexpected form do not fail the command")
{
  const std::vector<std::vector<std::string>> commands{
    { "history" },         { "status" },
    { "where", "desk" },   { "query", "x", "--group=g" },
    { "file", "s", "op" }, { "report" },
  };
  const std::vector<Json> answers{
    Json::object(),
    { { "services", 3 }, { "addresses", { 1, "x" } }, { "history", "no" } },
    { { "members", { nullptr } }, { "in_force", { 1 } } },
  };
  for (const std::vector<std::string>& command : commands) {
    for (const Json& answer : answers) {
      Fixture fixture;
      fixture.m_client.Answer(200, answer);
      DOCTEST_CHECK(fixture.Run(command) == ExitCode::kOk);
    }
  }
}

DOCTEST_TEST_CASE("an invalid command line is rejected with all its errors")
{
  CommandLineResult result = ParseCommandLine(
    { "status", "--admin=localhost:1", "--output=xml", "--wait=-1" });
  DOCTEST_CHECK(!result.m_line);
  DOCTEST_CHECK(result.m_exit == ExitCode::kUsage);
  DOCTEST_CHECK(result.m_text.find("--output: is \"xml\"") !=
                std::string::npos);
  DOCTEST_CHECK(result.m_text.find("--wait: is \"-1\"") != std::string::npos);
  DOCTEST_CHECK(ParseCommandLine({ "bogus" }).m_exit == ExitCode::kUsage);
  DOCTEST_CHECK(ParseCommandLine({ "--help" }).m_exit == ExitCode::kOk);
  DOCTEST_CHECK(ParseCommandLine({ "--version" }).m_text ==
                "ebonykeel 0.1.0\n");
}

} // namespace
} // namespace ebonykeel::cli
