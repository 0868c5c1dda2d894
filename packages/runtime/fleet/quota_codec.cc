#include "runtime/fleet/quota_codec.h"

#include <algorithm>
#include <chrono>

#include "runtime/fleet/packed_message.h"
#include "runtime/fleet/quota.capnp.h"

namespace ebonykeel {
namespace {

// More than the entries of the longest message take.
constexpr uint64_t kMaxMessageWords = 4096;
constexpr Duration kMaxAvailableIn = Seconds(3600);

// Rounded up, so that the tokens are there at the stated time.
uint32_t
EncodeTime(Duration aTime)
{
  Duration time = std::clamp(aTime, Duration{}, kMaxAvailableIn);
  return static_cast<uint32_t>(
    std::chrono::ceil<std::chrono::microseconds>(time).count());
}

void
Write(const QuotaRequest& aRequest, wire::QuotaRequest::Builder aBuilder)
{
  aBuilder.setGroup(static_cast<uint8_t>(aRequest.m_group));
  aBuilder.setProcessStart(aRequest.m_processStart);
  aBuilder.setSequence(aRequest.m_sequence);
  auto entries = aBuilder.initEntries(aRequest.m_entries.size());
  for (size_t i = 0; i < aRequest.m_entries.size(); ++i) {
    entries[i].setWorkspace(aRequest.m_entries[i].m_workspace);
    entries[i].setWanted(aRequest.m_entries[i].m_wanted);
    entries[i].setReturned(aRequest.m_entries[i].m_returned);
  }
}

void
Write(const QuotaGrant& aGrant, wire::QuotaGrant::Builder aBuilder)
{
  aBuilder.setProcessStart(aGrant.m_processStart);
  aBuilder.setSequence(aGrant.m_sequence);
  aBuilder.setIsGranter(aGrant.m_isGranter);
  auto entries = aBuilder.initEntries(aGrant.m_entries.size());
  for (size_t i = 0; i < aGrant.m_entries.size(); ++i) {
    entries[i].setWorkspace(aGrant.m_entries[i].m_workspace);
    entries[i].setGranted(aGrant.m_entries[i].m_granted);
    entries[i].setAvailableInUs(EncodeTime(aGrant.m_entries[i].m_availableIn));
  }
}

void
Write(const QuotaVoteRequest& aRequest,
      wire::QuotaVoteRequest::Builder aBuilder)
{
  aBuilder.setProcessStart(aRequest.m_processStart);
  aBuilder.setSequence(aRequest.m_sequence);
  aBuilder.setGroups(aRequest.m_groups);
}

void
Write(const QuotaVote& aVote, wire::QuotaVote::Builder aBuilder)
{
  aBuilder.setProcessStart(aVote.m_processStart);
  aBuilder.setSequence(aVote.m_sequence);
  aBuilder.setGroups(aVote.m_groups);
  aBuilder.setKnownInstances(aVote.m_knownInstances);
}

std::optional<QuotaMessage>
Read(wire::QuotaRequest::Reader aReader)
{
  if (aReader.getGroup() >= kQuotaGroups ||
      aReader.getEntries().size() > kMaxQuotaEntries) {
    return std::nullopt;
  }
  QuotaRequest request{ .m_group = aReader.getGroup(),
                        .m_processStart = aReader.getProcessStart(),
                        .m_sequence = aReader.getSequence() };
  for (wire::QuotaRequestEntry::Reader entry : aReader.getEntries()) {
    request.m_entries.push_back(
      { entry.getWorkspace(), entry.getWanted(), entry.getReturned() });
  }
  return request;
}

std::optional<QuotaMessage>
Read(wire::QuotaGrant::Reader aReader)
{
  if (aReader.getEntries().size() > kMaxQuotaEntries) {
    return std::nullopt;
  }
  QuotaGrant grant{ .m_processStart = aReader.getProcessStart(),
                    .m_sequence = aReader.getSequence(),
                    .m_isGranter = aReader.getIsGranter() };
  for (wire::QuotaGrantEntry::Reader entry : aReader.getEntries()) {
    grant.m_entries.push_back(
      { entry.getWorkspace(),
        entry.getGranted(),
        std::chrono::microseconds(entry.getAvailableInUs()) });
  }
  return grant;
}

std::optional<QuotaMessage>
Read(wire::QuotaMessage::Reader aReader)
{
  switch (aReader.which()) {
    case wire::QuotaMessage::REQUEST:
      return Read(aReader.getRequest());
    case wire::QuotaMessage::GRANT:
      return Read(aReader.getGrant());
    case wire::QuotaMessage::VOTE_REQUEST: {
      auto request = aReader.getVoteRequest();
      return QuotaVoteRequest{ .m_processStart = request.getProcessStart(),
                               .m_sequence = request.getSequence(),
                               .m_groups = request.getGroups() };
    }
    case wire::QuotaMessage::VOTE: {
      auto vote = aReader.getVote();
      return QuotaVote{ .m_processStart = vote.getProcessStart(),
                        .m_sequence = vote.getSequence(),
                        .m_groups = vote.getGroups(),
                        .m_knownInstances = vote.getKnownInstances() };
    }
  }
  // A kind of a later release.
  return std::nullopt;
}

} // namespace

std::string
EncodeQuotaMessage(const QuotaMessage& aMessage)
{
  capnp::MallocMessageBuilder builder;
  auto message = builder.initRoot<wire::QuotaMessage>();
  if (const auto* request = std::get_if<QuotaRequest>(&aMessage)) {
    Write(*request, message.initRequest());
  } else if (const auto* grant = std::get_if<QuotaGrant>(&aMessage)) {
    Write(*grant, message.initGrant());
  } else if (const auto* vote = std::get_if<QuotaVote>(&aMessage)) {
    Write(*vote, message.initVote());
  } else {
    Write(std::get<QuotaVoteRequest>(aMessage), message.initVoteRequest());
  }
  return PackMessage(builder);
}

std::optional<QuotaMessage>
DecodeQuotaMessage(std::string_view aBytes)
{
  std::optional<QuotaMessage> message;
  bool decoded =
    UnpackMessage(aBytes, kMaxMessageWords, [&](capnp::MessageReader& aReader) {
      message = Read(aReader.getRoot<wire::QuotaMessage>());
    });
  return decoded ? message : std::nullopt;
}

} // namespace ebonykeel
