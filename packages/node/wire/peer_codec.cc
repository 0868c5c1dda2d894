#include "node/wire/peer_codec.h"

#include <algorithm>
#include <limits>

namespace ebonykeel {
namespace {

void
WriteRef(const InstanceRef& aRef, wire::InstanceRef::Builder aBuilder)
{
  aBuilder.setId(ToText(aRef.m_id.Text()));
  aBuilder.setIncarnation(aRef.m_incarnation);
}

InstanceRef
ReadRef(wire::InstanceRef::Reader aReader)
{
  return { InstanceId(ToView(aReader.getId())), aReader.getIncarnation() };
}

template<typename Refs>
std::vector<InstanceRef>
ReadRefs(const Refs& aReader)
{
  std::vector<InstanceRef> refs;
  refs.reserve(aReader.size());
  for (wire::InstanceRef::Reader ref : aReader) {
    refs.push_back(ReadRef(ref));
  }
  return refs;
}

InstanceState
ReadState(uint8_t aNumber)
{
  return aNumber <= static_cast<uint8_t>(InstanceState::kDead)
           ? static_cast<InstanceState>(aNumber)
           : InstanceState::kJoining;
}

void
WriteRecord(const InstanceRecord& aRecord,
            wire::InstanceRecord::Builder aBuilder)
{
  aBuilder.setId(ToText(aRecord.m_id.Text()));
  aBuilder.setIncarnation(aRecord.m_incarnation);
  aBuilder.setPublicAddress(ToText(aRecord.m_publicAddress));
  aBuilder.setAdminAddress(ToText(aRecord.m_adminAddress));
  aBuilder.setPeerAddress(ToText(aRecord.m_peerAddress));
  aBuilder.setDataCentre(ToText(aRecord.m_dataCentre.Text()));
  aBuilder.setRegion(ToText(aRecord.m_region.Text()));
  aBuilder.setState(static_cast<uint8_t>(aRecord.m_state));
  aBuilder.setSequence(aRecord.m_sequence);
  aBuilder.setMonitorEpoch(aRecord.m_monitorEpoch);
  aBuilder.setChangingMonitors(aRecord.m_changingMonitors);
  auto monitors = aBuilder.initMonitors(aRecord.m_monitors.size());
  for (size_t i = 0; i < aRecord.m_monitors.size(); ++i) {
    WriteRef(aRecord.m_monitors[i], monitors[i]);
  }
  auto previous =
    aBuilder.initPreviousMonitors(aRecord.m_previousMonitors.size());
  for (size_t i = 0; i < aRecord.m_previousMonitors.size(); ++i) {
    WriteRef(aRecord.m_previousMonitors[i], previous[i]);
  }
  aBuilder.setStatusSequence(aRecord.m_statusSequence);
  aBuilder.setGeneration(aRecord.m_generation);
  aBuilder.setLoad(aRecord.m_load);
}

InstanceRecord
ReadRecord(wire::InstanceRecord::Reader aReader)
{
  InstanceRecord record;
  record.m_id = InstanceId(ToView(aReader.getId()));
  record.m_incarnation = aReader.getIncarnation();
  record.m_publicAddress = ToView(aReader.getPublicAddress());
  record.m_adminAddress = ToView(aReader.getAdminAddress());
  record.m_peerAddress = ToView(aReader.getPeerAddress());
  record.m_dataCentre = DataCentre(ToView(aReader.getDataCentre()));
  record.m_region = Region(ToView(aReader.getRegion()));
  record.m_state = ReadState(aReader.getState());
  record.m_sequence = aReader.getSequence();
  record.m_monitorEpoch = aReader.getMonitorEpoch();
  record.m_changingMonitors = aReader.getChangingMonitors();
  record.m_monitors = ReadRefs(aReader.getMonitors());
  record.m_previousMonitors = ReadRefs(aReader.getPreviousMonitors());
  record.m_statusSequence = aReader.getStatusSequence();
  record.m_generation = aReader.getGeneration();
  record.m_load = aReader.getLoad();
  return record;
}

void
WriteSuspicion(const Suspicion& aSuspicion, wire::Suspicion::Builder aBuilder)
{
  WriteRef(aSuspicion.m_monitor, aBuilder.initMonitor());
  WriteRef(aSuspicion.m_target, aBuilder.initTarget());
  aBuilder.setFromEpoch(aSuspicion.m_fromEpoch);
  aBuilder.setToEpoch(aSuspicion.m_toEpoch);
}

void
WriteStatus(const StatusUpdate& aStatus, wire::StatusUpdate::Builder aBuilder)
{
  WriteRef(aStatus.m_instance, aBuilder.initInstance());
  aBuilder.setStatusSequence(aStatus.m_statusSequence);
  aBuilder.setGeneration(aStatus.m_generation);
  aBuilder.setLoad(aStatus.m_load);
}

void
WriteAcquireResponseItem(const AcquireResponseItem& aItem,
                         wire::AcquireReply::Item::Builder aBuilder)
{
  aBuilder.setUpstream(ToText(aItem.m_upstream.Text()));
  aBuilder.setAttempt(aItem.m_attempt);
  aBuilder.setOutcome(static_cast<uint8_t>(aItem.m_outcome));
  aBuilder.setEpoch(aItem.m_epoch);
  aBuilder.setInFlight(aItem.m_inFlight);
  aBuilder.setRemaining(ToMicroseconds(aItem.m_remaining));
  aBuilder.setBootId(aItem.m_coldStartState.m_bootId);
  aBuilder.setLimit(aItem.m_coldStartState.m_limit);
  aBuilder.setExpectedLatency(
    ToMicroseconds(aItem.m_coldStartState.m_expectedLatency));
  auto others = aBuilder.initOthers(aItem.m_otherRequesters.size());
  for (size_t i = 0; i < aItem.m_otherRequesters.size(); ++i) {
    const OtherRequester& other = aItem.m_otherRequesters[i];
    WriteRef(other.m_instance, others[i].initInstance());
    others[i].setPeerAddress(ToText(other.m_peerAddress));
    others[i].setAge(ToMicroseconds(other.m_age));
  }
}

AcquireResponseItem
ReadAcquireResponseItem(wire::AcquireReply::Item::Reader aReader)
{
  AcquireResponseItem item;
  item.m_upstream = UpstreamId(ToView(aReader.getUpstream()));
  item.m_attempt = aReader.getAttempt();
  bool known =
    aReader.getOutcome() <= static_cast<uint8_t>(AcquireOutcome::kRefused);
  item.m_outcome = known ? static_cast<AcquireOutcome>(aReader.getOutcome())
                         : AcquireOutcome::kRefused;
  item.m_epoch = aReader.getEpoch();
  item.m_inFlight = aReader.getInFlight();
  item.m_remaining = FromMicroseconds(aReader.getRemaining());
  item.m_coldStartState = { .m_bootId = aReader.getBootId(),
                            .m_limit = aReader.getLimit(),
                            .m_expectedLatency =
                              FromMicroseconds(aReader.getExpectedLatency()) };
  for (wire::AcquireReply::OtherAsker::Reader other : aReader.getOthers()) {
    item.m_otherRequesters.push_back(
      { ReadRef(other.getInstance()),
        std::string(ToView(other.getPeerAddress())),
        FromMicroseconds(other.getAge()) });
  }
  return item;
}

} // namespace

capnp::Text::Reader
ToText(const std::string& aText)
{
  return { aText.c_str(), aText.size() };
}

uint64_t
ToMicroseconds(Duration aDuration)
{
  auto count =
    std::chrono::duration_cast<std::chrono::microseconds>(aDuration).count();
  return count > 0 ? static_cast<uint64_t>(count) : 0;
}

Duration
FromMicroseconds(uint64_t aCount)
{
  constexpr uint64_t kMaxMicroseconds =
    static_cast<uint64_t>(std::numeric_limits<int64_t>::max()) / 1000;
  return std::chrono::microseconds(std::min(aCount, kMaxMicroseconds));
}

void
WriteGossip(const Gossip& aGossip, wire::Gossip::Builder aBuilder)
{
  WriteRef(aGossip.m_sender, aBuilder.initSender());
  aBuilder.setSenderSequence(aGossip.m_senderSequence);
  aBuilder.setSenderState(static_cast<uint8_t>(aGossip.m_senderState));
  aBuilder.setStatusSequence(aGossip.m_statusSequence);
  aBuilder.setGeneration(aGossip.m_generation);
  aBuilder.setLoad(aGossip.m_load);
  aBuilder.setDigest(aGossip.m_digest);
  auto parts = aBuilder.initPartDigests(aGossip.m_partDigests.size());
  for (size_t i = 0; i < aGossip.m_partDigests.size(); ++i) {
    parts.set(i, aGossip.m_partDigests[i]);
  }
  auto records = aBuilder.initRecords(aGossip.m_records.size());
  for (size_t i = 0; i < aGossip.m_records.size(); ++i) {
    WriteRecord(aGossip.m_records[i], records[i]);
  }
  auto suspicions = aBuilder.initSuspicions(aGossip.m_suspicions.size());
  for (size_t i = 0; i < aGossip.m_suspicions.size(); ++i) {
    WriteSuspicion(aGossip.m_suspicions[i], suspicions[i]);
  }
  auto statuses = aBuilder.initStatuses(aGossip.m_statuses.size());
  for (size_t i = 0; i < aGossip.m_statuses.size(); ++i) {
    WriteStatus(aGossip.m_statuses[i], statuses[i]);
  }
  aBuilder.setAckedIncarnation(aGossip.m_ackedIncarnation);
  aBuilder.setKnownSequence(aGossip.m_knownSequence);
  aBuilder.setKnownEpoch(aGossip.m_knownEpoch);
  aBuilder.setSuspectedEpoch(aGossip.m_suspectedEpoch);
}

Gossip
ReadGossip(wire::Gossip::Reader aReader)
{
  Gossip gossip;
  gossip.m_sender = ReadRef(aReader.getSender());
  gossip.m_senderSequence = aReader.getSenderSequence();
  gossip.m_senderState = ReadState(aReader.getSenderState());
  gossip.m_statusSequence = aReader.getStatusSequence();
  gossip.m_generation = aReader.getGeneration();
  gossip.m_load = aReader.getLoad();
  gossip.m_digest = aReader.getDigest();
  for (uint64_t part : aReader.getPartDigests()) {
    gossip.m_partDigests.push_back(part);
  }
  for (wire::InstanceRecord::Reader record : aReader.getRecords()) {
    gossip.m_records.push_back(ReadRecord(record));
  }
  for (wire::Suspicion::Reader suspicion : aReader.getSuspicions()) {
    gossip.m_suspicions.push_back({ ReadRef(suspicion.getMonitor()),
                                    ReadRef(suspicion.getTarget()),
                                    suspicion.getFromEpoch(),
                                    suspicion.getToEpoch() });
  }
  for (wire::StatusUpdate::Reader status : aReader.getStatuses()) {
    gossip.m_statuses.push_back({ ReadRef(status.getInstance()),
                                  status.getStatusSequence(),
                                  status.getGeneration(),
                                  status.getLoad() });
  }
  gossip.m_ackedIncarnation = aReader.getAckedIncarnation();
  gossip.m_knownSequence = aReader.getKnownSequence();
  gossip.m_knownEpoch = aReader.getKnownEpoch();
  gossip.m_suspectedEpoch = aReader.getSuspectedEpoch();
  return gossip;
}

void
WriteAcquireRequest(const AcquireRequest& aRequest,
                    wire::AcquireRequest::Builder aBuilder)
{
  WriteRef(aRequest.m_requester, aBuilder.initRequester());
  aBuilder.setRequesterPeerAddress(ToText(aRequest.m_requesterPeerAddress));
  aBuilder.setViewVersion(aRequest.m_viewVersion);
  aBuilder.setGeneration(aRequest.m_generation);
  auto items = aBuilder.initItems(aRequest.m_items.size());
  for (size_t i = 0; i < aRequest.m_items.size(); ++i) {
    const AcquireRequestItem& item = aRequest.m_items[i];
    items[i].setUpstream(ToText(item.m_upstream.Text()));
    items[i].setAttempt(item.m_attempt);
    items[i].setEpoch(item.m_epoch);
    items[i].setHeldEpoch(item.m_heldEpoch);
  }
}

AcquireRequest
ReadAcquireRequest(wire::AcquireRequest::Reader aReader)
{
  AcquireRequest request;
  request.m_requester = ReadRef(aReader.getRequester());
  request.m_requesterPeerAddress = ToView(aReader.getRequesterPeerAddress());
  request.m_viewVersion = aReader.getViewVersion();
  request.m_generation = aReader.getGeneration();
  for (wire::AcquireRequest::Item::Reader item : aReader.getItems()) {
    request.m_items.push_back({ UpstreamId(ToView(item.getUpstream())),
                                item.getAttempt(),
                                item.getEpoch(),
                                item.getHeldEpoch() });
  }
  return request;
}

void
WriteAcquireResponse(const AcquireResponse& aResponse,
                     wire::AcquireReply::Builder aBuilder)
{
  WriteRef(aResponse.m_responder, aBuilder.initResponder());
  aBuilder.setRequesterIncarnation(aResponse.m_requesterIncarnation);
  aBuilder.setViewVersion(aResponse.m_viewVersion);
  auto items = aBuilder.initItems(aResponse.m_items.size());
  for (size_t i = 0; i < aResponse.m_items.size(); ++i) {
    WriteAcquireResponseItem(aResponse.m_items[i], items[i]);
  }
}

AcquireResponse
ReadAcquireResponse(wire::AcquireReply::Reader aReader)
{
  AcquireResponse response;
  response.m_responder = ReadRef(aReader.getResponder());
  response.m_requesterIncarnation = aReader.getRequesterIncarnation();
  response.m_viewVersion = aReader.getViewVersion();
  for (wire::AcquireReply::Item::Reader item : aReader.getItems()) {
    response.m_items.push_back(ReadAcquireResponseItem(item));
  }
  return response;
}

void
WriteHandOverNotice(const HandOverNotice& aNotice,
                    wire::HandOverNotice::Builder aBuilder)
{
  WriteRef(aNotice.m_sender, aBuilder.initSender());
  aBuilder.setSenderPeerAddress(ToText(aNotice.m_senderPeerAddress));
  auto upstreams = aBuilder.initUpstreams(aNotice.m_upstreams.size());
  for (size_t i = 0; i < aNotice.m_upstreams.size(); ++i) {
    upstreams.set(i, ToText(aNotice.m_upstreams[i].Text()));
  }
}

HandOverNotice
ReadHandOverNotice(wire::HandOverNotice::Reader aReader)
{
  HandOverNotice notice;
  notice.m_sender = ReadRef(aReader.getSender());
  notice.m_senderPeerAddress = ToView(aReader.getSenderPeerAddress());
  for (capnp::Text::Reader upstream : aReader.getUpstreams()) {
    notice.m_upstreams.emplace_back(ToView(upstream));
  }
  return notice;
}

void
WriteSubAnswer(const SubAnswer& aAnswer, wire::SubAnswer::Builder aBuilder)
{
  aBuilder.setId(ToText(aAnswer.m_id));
  aBuilder.setUpstream(ToText(aAnswer.m_upstream.Text()));
  aBuilder.setShard(ToText(aAnswer.m_shard.Text()));
  aBuilder.setIndexVersion(aAnswer.m_indexVersion);
  aBuilder.setReason(static_cast<uint8_t>(aAnswer.m_reason));
  aBuilder.setWhole(aAnswer.m_whole);
  aBuilder.setCold(aAnswer.m_cold);
  auto versions = aBuilder.initHeldVersions(aAnswer.m_heldVersions.size());
  for (size_t i = 0; i < aAnswer.m_heldVersions.size(); ++i) {
    versions.set(i, aAnswer.m_heldVersions[i]);
  }
  auto hits = aBuilder.initHits(aAnswer.m_hits.size());
  for (size_t i = 0; i < aAnswer.m_hits.size(); ++i) {
    hits[i].setDocument(ToText(aAnswer.m_hits[i].m_document));
    hits[i].setScore(aAnswer.m_hits[i].m_score);
    hits[i].setText(ToText(aAnswer.m_hits[i].m_text));
  }
}

SubAnswer
ReadSubAnswer(wire::SubAnswer::Reader aReader)
{
  SubAnswer answer;
  answer.m_id = ToView(aReader.getId());
  answer.m_upstream = UpstreamId(ToView(aReader.getUpstream()));
  answer.m_shard = ShardName(ToView(aReader.getShard()));
  answer.m_indexVersion = aReader.getIndexVersion();
  answer.m_reason = ReadMissingReason(aReader.getReason());
  answer.m_whole = aReader.getWhole();
  answer.m_cold = aReader.getCold();
  for (uint64_t version : aReader.getHeldVersions()) {
    answer.m_heldVersions.push_back(version);
  }
  answer.m_hits.reserve(aReader.getHits().size());
  for (wire::Hit::Reader hit : aReader.getHits()) {
    answer.m_hits.push_back({ std::string(ToView(hit.getDocument())),
                              hit.getScore(),
                              std::string(ToView(hit.getText())) });
  }
  return answer;
}

MissingReason
ReadMissingReason(uint8_t aNumber)
{
  return aNumber <= static_cast<uint8_t>(MissingReason::kNoOwner)
           ? static_cast<MissingReason>(aNumber)
           : MissingReason::kBadAnswer;
}

Outcome
ReadOutcome(uint8_t aNumber)
{
  return aNumber <= static_cast<uint8_t>(Outcome::kUnknown)
           ? static_cast<Outcome>(aNumber)
           : Outcome::kUnknown;
}

} // namespace ebonykeel
