#include "runtime/fleet/fleet_codec.h"

#include <algorithm>

#include "runtime/fleet/fleet.capnp.h"
#include "runtime/fleet/packed_message.h"

namespace ebonykeel {
namespace {

// Greater ages are sent as this one: a feed of that age is of no use. So are
// greater remaining times: holds last seconds.
constexpr Duration kMaxAge = Seconds(3600);
constexpr uint64_t kMaxMessageWords = uint64_t{ 8 } << 20;

uint32_t
EncodeAge(Duration aAge)
{
  Duration age = std::clamp(aAge, Duration{}, kMaxAge);
  return static_cast<uint32_t>(ToMilliseconds(age));
}

void
WriteRecord(const FleetRecord& aRecord, wire::FleetRecord::Builder aBuilder)
{
  aBuilder.setHost(aRecord.m_host);
  aBuilder.setIncarnation(aRecord.m_incarnation);
  aBuilder.setState(static_cast<uint8_t>(aRecord.m_state));
  aBuilder.setDataCentre(aRecord.m_dataCentre.Text());
  aBuilder.setReady(aRecord.m_ready);
  aBuilder.setStoreReachable(aRecord.m_storeReachable);
  aBuilder.setCapacity(aRecord.m_capacity);
}

FleetRecord
ReadRecord(wire::FleetRecord::Reader aReader)
{
  uint8_t state =
    std::min(aReader.getState(), static_cast<uint8_t>(FleetState::kDead));
  return { .m_host = aReader.getHost(),
           .m_incarnation = aReader.getIncarnation(),
           .m_state = static_cast<FleetState>(state),
           .m_dataCentre = DataCentre(aReader.getDataCentre().cStr()),
           .m_ready = aReader.getReady(),
           .m_storeReachable = aReader.getStoreReachable(),
           .m_capacity = aReader.getCapacity() };
}

FleetMessage
ReadMessage(wire::FleetDatagram::Reader aReader)
{
  uint8_t kind = std::min(aReader.getKind(),
                          static_cast<uint8_t>(FleetMessageKind::kPayload));
  FleetMessage message{ .m_kind = static_cast<FleetMessageKind>(kind),
                        .m_sequence = aReader.getSequence(),
                        .m_subject = aReader.getSubject(),
                        .m_sender = ReadRecord(aReader.getSender()),
                        .m_knownInstances = aReader.getKnown() };
  if (aReader.getTopic() <= static_cast<uint8_t>(PeerTopic::kRollout)) {
    message.m_topic = static_cast<PeerTopic>(aReader.getTopic());
  }
  auto payload = aReader.getPayload();
  message.m_payload = { reinterpret_cast<const char*>(payload.begin()),
                        payload.size() };
  for (wire::FleetRecord::Reader record : aReader.getNews()) {
    message.m_updates.push_back(ReadRecord(record));
  }
  for (wire::FeedMark::Reader mark : aReader.getMarks()) {
    message.m_feedWatermarks.push_back(
      { { mark.getEra(), mark.getContent() }, Milliseconds(mark.getAgeMs()) });
  }
  return message;
}

FeedObject
ReadObject(wire::FeedObject::Reader aReader)
{
  auto payload = aReader.getPayload();
  return { .m_name = aReader.getName(),
           .m_position = { aReader.getEra(), aReader.getRevision() },
           .m_deleted = aReader.getDeleted(),
           .m_payload = { reinterpret_cast<const char*>(payload.begin()),
                          payload.size() },
           .m_order = { aReader.getOrderStart(), aReader.getOrderSequence() } };
}

void
WriteObject(const FeedObject& aObject, wire::FeedObject::Builder aBuilder)
{
  aBuilder.setName(aObject.m_name);
  aBuilder.setEra(aObject.m_position.m_era);
  aBuilder.setRevision(aObject.m_position.m_revision);
  aBuilder.setDeleted(aObject.m_deleted);
  aBuilder.setPayload(
    kj::arrayPtr(reinterpret_cast<const kj::byte*>(aObject.m_payload.data()),
                 aObject.m_payload.size()));
  aBuilder.setOrderStart(aObject.m_order.m_start);
  aBuilder.setOrderSequence(aObject.m_order.m_sequence);
}

RetainedObject
ReadRetained(wire::RetainedObject::Reader aReader)
{
  RetainedObject retained{
    .m_object = ReadObject(aReader.getObject()),
    .m_against = { aReader.getAgainstEra(), aReader.getAgainstRevision() },
  };
  if (aReader.getHasLimit()) {
    retained.m_remaining = Milliseconds(aReader.getRemainingMs());
  }
  return retained;
}

void
WriteRetained(const RetainedObject& aRetained,
              wire::RetainedObject::Builder aBuilder)
{
  WriteObject(aRetained.m_object, aBuilder.initObject());
  aBuilder.setAgainstEra(aRetained.m_against.m_era);
  aBuilder.setAgainstRevision(aRetained.m_against.m_revision);
  aBuilder.setHasLimit(aRetained.m_remaining.has_value());
  aBuilder.setRemainingMs(
    EncodeAge(aRetained.m_remaining.value_or(Duration{})));
}

FeedDelta
ReadDelta(wire::FeedDelta::Reader aReader)
{
  FeedDelta delta{ .m_isSnapshot = aReader.getWhole(),
                   .m_completeTo = { aReader.getCompleteToEra(),
                                     aReader.getCompleteTo() },
                   .m_age = Milliseconds(aReader.getAgeMs()),
                   .m_eraAge = Milliseconds(aReader.getEraAgeMs()) };
  for (wire::FeedObject::Reader object : aReader.getObjects()) {
    delta.m_objects.push_back(ReadObject(object));
  }
  for (wire::RetainedObject::Reader retained : aReader.getRetained()) {
    delta.m_retained.push_back(ReadRetained(retained));
  }
  return delta;
}

void
WriteDelta(const FeedDelta& aDelta, wire::FeedDelta::Builder aBuilder)
{
  aBuilder.setWhole(aDelta.m_isSnapshot);
  aBuilder.setCompleteToEra(aDelta.m_completeTo.m_era);
  aBuilder.setCompleteTo(aDelta.m_completeTo.m_revision);
  aBuilder.setAgeMs(EncodeAge(aDelta.m_age));
  aBuilder.setEraAgeMs(EncodeAge(aDelta.m_eraAge));
  auto objects = aBuilder.initObjects(aDelta.m_objects.size());
  for (size_t i = 0; i < aDelta.m_objects.size(); ++i) {
    WriteObject(aDelta.m_objects[i], objects[i]);
  }
  auto retained = aBuilder.initRetained(aDelta.m_retained.size());
  for (size_t i = 0; i < aDelta.m_retained.size(); ++i) {
    WriteRetained(aDelta.m_retained[i], retained[i]);
  }
}

} // namespace

std::string
EncodeFleetMessage(const FleetMessage& aMessage)
{
  capnp::MallocMessageBuilder builder;
  auto datagram = builder.initRoot<wire::FleetDatagram>();
  datagram.setKind(static_cast<uint8_t>(aMessage.m_kind));
  datagram.setSequence(aMessage.m_sequence);
  datagram.setSubject(aMessage.m_subject);
  WriteRecord(aMessage.m_sender, datagram.initSender());
  datagram.setKnown(aMessage.m_knownInstances);
  auto news = datagram.initNews(aMessage.m_updates.size());
  for (size_t i = 0; i < aMessage.m_updates.size(); ++i) {
    WriteRecord(aMessage.m_updates[i], news[i]);
  }
  auto marks = datagram.initMarks(aMessage.m_feedWatermarks.size());
  for (size_t i = 0; i < aMessage.m_feedWatermarks.size(); ++i) {
    const FeedWatermark& watermark = aMessage.m_feedWatermarks[i];
    marks[i].setEra(watermark.m_content.m_era);
    marks[i].setContent(watermark.m_content.m_revision);
    marks[i].setAgeMs(EncodeAge(watermark.m_age));
  }
  if (aMessage.m_kind == FleetMessageKind::kPayload) {
    datagram.setTopic(static_cast<uint8_t>(aMessage.m_topic));
    datagram.setPayload(
      kj::arrayPtr(reinterpret_cast<const kj::byte*>(aMessage.m_payload.data()),
                   aMessage.m_payload.size()));
  }
  return PackMessage(builder);
}

std::optional<FleetMessage>
DecodeFleetMessage(std::string_view aBytes)
{
  FleetMessage message;
  bool decoded =
    UnpackMessage(aBytes, kMaxMessageWords, [&](capnp::MessageReader& aReader) {
      message = ReadMessage(aReader.getRoot<wire::FleetDatagram>());
    });
  if (!decoded) {
    return std::nullopt;
  }
  return message;
}

std::string
EncodeDeltas(std::span<const FeedDelta> aDeltas)
{
  capnp::MallocMessageBuilder builder;
  auto answer = builder.initRoot<wire::FeedAnswer>();
  auto deltas = answer.initDeltas(aDeltas.size());
  for (size_t i = 0; i < aDeltas.size(); ++i) {
    WriteDelta(aDeltas[i], deltas[i]);
  }
  return PackMessage(builder);
}

std::optional<std::vector<FeedDelta>>
DecodeDeltas(std::string_view aBytes)
{
  std::vector<FeedDelta> result;
  bool decoded =
    UnpackMessage(aBytes, kMaxMessageWords, [&](capnp::MessageReader& aReader) {
      for (auto delta : aReader.getRoot<wire::FeedAnswer>().getDeltas()) {
        result.push_back(ReadDelta(delta));
      }
    });
  if (!decoded) {
    return std::nullopt;
  }
  return result;
}

} // namespace ebonykeel
