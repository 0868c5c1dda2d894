#include "runtime/fleet/rollout_codec.h"

#include <algorithm>
#include <span>
#include <utility>

#include "runtime/fleet/packed_message.h"
#include "runtime/fleet/rollout.capnp.h"

namespace ebonykeel {
namespace {

// Greater ages are sent as this one: orders last minutes.
constexpr Duration kMaxAge = Seconds(86400);
// A message fits into a datagram.
constexpr uint64_t kMaxMessageWords = 4096;
// A greater number of answers is not believed.
constexpr uint64_t kMaxCount = uint64_t{ 1 } << 48U;

uint32_t
EncodeAge(Duration aAge)
{
  return static_cast<uint32_t>(
    ToMilliseconds(std::clamp(aAge, Duration{}, kMaxAge)));
}

Duration
DecodeAge(uint32_t aAgeMs)
{
  return std::min(Duration(Milliseconds(aAgeMs)), kMaxAge);
}

void
WriteCounts(const AnswerCounts& aCounts, wire::AnswerCounts::Builder aBuilder)
{
  aBuilder.setAnswers(aCounts.m_answers);
  aBuilder.setFailures(aCounts.m_failures);
  aBuilder.setSlow(aCounts.m_slow);
}

std::string
EncodeReport(const RolloutReport& aReport, std::span<const RouteCounts> aRoutes)
{
  capnp::MallocMessageBuilder builder;
  auto report = builder.initRoot<wire::RolloutMessage>().initReport();
  report.setService(aReport.m_service);
  report.setTarget(aReport.m_targetVersion);
  report.setEra(aReport.m_position.m_era);
  report.setRevision(aReport.m_position.m_revision);
  report.setProcessStart(aReport.m_processStart);
  report.setSequence(aReport.m_sequence);
  report.setAppliedProcess(aReport.m_appliedProcess);
  report.setAppliedSequence(aReport.m_appliedSequence);
  report.setAppliedStage(static_cast<uint8_t>(aReport.m_appliedStage));
  report.setAgeMs(EncodeAge(aReport.m_age));
  report.setStopped(aReport.m_stopped);
  report.setInFlightCurrent(aReport.m_inFlightCurrent);
  report.setGrant(aReport.m_grant);
  report.setRequests(aReport.m_requests);
  report.setTargetRequests(aReport.m_targetRequests);
  auto routes = report.initRoutes(static_cast<unsigned>(aRoutes.size()));
  for (unsigned i = 0; i < aRoutes.size(); ++i) {
    routes[i].setRoute(aRoutes[i].m_route);
    WriteCounts(aRoutes[i].m_current, routes[i].initCurrent());
    WriteCounts(aRoutes[i].m_target, routes[i].initTarget());
  }
  return PackMessage(builder);
}

// Appends the messages that hold `aRoutes`.
void
AppendReports(const RolloutReport& aReport,
              std::span<const RouteCounts> aRoutes,
              std::vector<std::string>& aMessages)
{
  std::string message = EncodeReport(aReport, aRoutes);
  if (message.size() <= kMaxRolloutMessage) {
    aMessages.push_back(std::move(message));
  } else if (aRoutes.size() > 1) {
    size_t half = aRoutes.size() / 2;
    AppendReports(aReport, aRoutes.first(half), aMessages);
    AppendReports(aReport, aRoutes.subspan(half), aMessages);
  }
}

std::optional<RolloutStage>
ReadStage(uint8_t aStage)
{
  if (aStage > static_cast<uint8_t>(RolloutStage::kRolledBack)) {
    return std::nullopt;
  }
  return static_cast<RolloutStage>(aStage);
}

// Returns whether the counts are possible.
bool
ReadCounts(wire::AnswerCounts::Reader aReader, AnswerCounts& aCounts)
{
  aCounts = { .m_answers = aReader.getAnswers(),
              .m_failures = aReader.getFailures(),
              .m_slow = aReader.getSlow() };
  return aCounts.m_answers <= kMaxCount &&
         aCounts.m_failures <= aCounts.m_answers &&
         aCounts.m_slow <= aCounts.m_answers - aCounts.m_failures;
}

std::optional<RolloutMessage>
ReadReport(wire::RolloutReport::Reader aReader)
{
  std::optional<RolloutStage> stage = ReadStage(aReader.getAppliedStage());
  if (!stage || aReader.getRequests() > kMaxCount ||
      aReader.getTargetRequests() > kMaxCount) {
    return std::nullopt;
  }
  RolloutReport report{ .m_service = aReader.getService(),
                        .m_targetVersion = aReader.getTarget(),
                        .m_position = { aReader.getEra(),
                                        aReader.getRevision() },
                        .m_processStart = aReader.getProcessStart(),
                        .m_sequence = aReader.getSequence(),
                        .m_appliedProcess = aReader.getAppliedProcess(),
                        .m_appliedSequence = aReader.getAppliedSequence(),
                        .m_appliedStage = *stage,
                        .m_age = DecodeAge(aReader.getAgeMs()),
                        .m_stopped = aReader.getStopped(),
                        .m_inFlightCurrent = aReader.getInFlightCurrent(),
                        .m_grant = aReader.getGrant(),
                        .m_requests = aReader.getRequests(),
                        .m_targetRequests = aReader.getTargetRequests() };
  for (wire::RouteCounts::Reader route : aReader.getRoutes()) {
    RouteCounts counts{ .m_route = route.getRoute() };
    if (!ReadCounts(route.getCurrent(), counts.m_current) ||
        !ReadCounts(route.getTarget(), counts.m_target)) {
      return std::nullopt;
    }
    report.m_routes.push_back(std::move(counts));
  }
  return report;
}

std::optional<RolloutMessage>
ReadAnnouncement(wire::RolloutAnnouncement::Reader aReader)
{
  std::optional<RolloutStage> stage = ReadStage(aReader.getStage());
  double share = aReader.getShare();
  // False for a share that is not a number, too.
  bool isShare = share >= 0 && share <= 1;
  if (!stage || !isShare) {
    return std::nullopt;
  }
  return RolloutAnnouncement{
    .m_service = aReader.getService(),
    .m_targetVersion = aReader.getTarget(),
    .m_position = { aReader.getEra(), aReader.getRevision() },
    .m_controllerProcess = aReader.getControllerProcess(),
    .m_sequence = aReader.getSequence(),
    .m_stage = *stage,
    .m_share = share,
    .m_age = DecodeAge(aReader.getAgeMs()),
    .m_grant = aReader.getGrant(),
    .m_grantProcess = aReader.getGrantProcess()
  };
}

} // namespace

std::vector<std::string>
EncodeRolloutReport(const RolloutReport& aReport)
{
  std::vector<std::string> messages;
  AppendReports(aReport, aReport.m_routes, messages);
  return messages;
}

std::string
EncodeRolloutAnnouncement(const RolloutAnnouncement& aAnnouncement)
{
  capnp::MallocMessageBuilder builder;
  auto announcement =
    builder.initRoot<wire::RolloutMessage>().initAnnouncement();
  announcement.setService(aAnnouncement.m_service);
  announcement.setTarget(aAnnouncement.m_targetVersion);
  announcement.setEra(aAnnouncement.m_position.m_era);
  announcement.setRevision(aAnnouncement.m_position.m_revision);
  announcement.setControllerProcess(aAnnouncement.m_controllerProcess);
  announcement.setSequence(aAnnouncement.m_sequence);
  announcement.setStage(static_cast<uint8_t>(aAnnouncement.m_stage));
  announcement.setShare(aAnnouncement.m_share);
  announcement.setAgeMs(EncodeAge(aAnnouncement.m_age));
  announcement.setGrant(aAnnouncement.m_grant);
  announcement.setGrantProcess(aAnnouncement.m_grantProcess);
  return PackMessage(builder);
}

std::optional<RolloutMessage>
DecodeRolloutMessage(std::string_view aBytes)
{
  std::optional<RolloutMessage> result;
  bool decoded =
    UnpackMessage(aBytes, kMaxMessageWords, [&](capnp::MessageReader& aReader) {
      auto message = aReader.getRoot<wire::RolloutMessage>();
      switch (message.which()) {
        case wire::RolloutMessage::REPORT:
          result = ReadReport(message.getReport());
          break;
        case wire::RolloutMessage::ANNOUNCEMENT:
          result = ReadAnnouncement(message.getAnnouncement());
          break;
      }
    });
  return decoded ? result : std::nullopt;
}

} // namespace ebonykeel
