#include "core/fleet/fleet_view.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "absl/random/distributions.h"

namespace ebonykeel {
namespace {

// How many times a record is sent, for each doubling of the fleet's size.
constexpr size_t kTransmissionsPerDoubling = 3;

// Returns whether `aNew` overrides `aOld`.
bool
Overrides(const FleetRecord& aNew, const FleetRecord& aOld)
{
  if (aNew.m_incarnation != aOld.m_incarnation) {
    return aNew.m_incarnation > aOld.m_incarnation;
  }
  return aNew.m_state > aOld.m_state;
}

} // namespace

std::string_view
FleetStateName(FleetState aState)
{
  switch (aState) {
    case FleetState::kAlive:
      return "alive";
    case FleetState::kSuspect:
      return "suspect";
    case FleetState::kLeaving:
      return "leaving";
    case FleetState::kDead:
      return "dead";
  }
  return "dead";
}

FleetView::FleetView(FleetOptions aOptions,
                     FleetRecord aSelf,
                     std::vector<std::string> aSeeds,
                     absl::BitGenRef aBitGen,
                     FleetPort& aPort)
  : m_options(aOptions)
  , m_self(std::move(aSelf))
  , m_bitGen(aBitGen)
  , m_port(&aPort)
{
  AddSeeds(aSeeds);
}

void
FleetView::Start(TimePoint aNow)
{
  m_nextPing = aNow + m_options.m_pingInterval;
  m_nextRejoin = aNow + m_options.m_isolatedRejoinInterval;
  for (const std::string& seed : m_seeds) {
    Ping(seed, aNow);
  }
}

void
FleetView::OnMessage(const FleetMessage& aMessage, TimePoint aNow)
{
  const std::string& sender = aMessage.m_sender.m_host;
  if (sender == m_self.m_host) {
    return;
  }
  if (!InContact(aNow)) {
    ForgetFailures();
  }
  m_lastContact = aNow;
  m_isolated = false;
  std::erase_if(m_probes,
                [&](const Probe& aProbe) { return aProbe.m_host == sender; });
  bool changed = ApplyRecord(aMessage.m_sender, true, aNow);
  for (const FleetRecord& record : aMessage.m_updates) {
    changed = ApplyRecord(record, false, aNow) || changed;
  }
  switch (aMessage.m_kind) {
    case FleetMessageKind::kPing:
      Send(sender, FleetMessageKind::kAck, aMessage.m_sequence);
      if (aMessage.m_knownInstances < m_members.size() / 2) {
        SendIntroduction(sender);
      }
      break;
    case FleetMessageKind::kAck: {
      auto indirectPing = m_indirectPings.extract(aMessage.m_sequence);
      if (!indirectPing.empty()) {
        // To the requester, this notice proves that the subject is alive.
        FleetMessage notice = NewMessage(FleetMessageKind::kNotice);
        notice.m_sequence = indirectPing.mapped().m_requesterSequence;
        notice.m_subject = sender;
        notice.m_updates = { aMessage.m_sender };
        m_port->SendTo(indirectPing.mapped().m_requester, notice);
      }
      break;
    }
    case FleetMessageKind::kPingRequest:
      m_indirectPings[m_sequence + 1] = { sender,
                                          aMessage.m_sequence,
                                          aNow + m_options.m_ackTimeout * 4 };
      Send(aMessage.m_subject, FleetMessageKind::kPing, ++m_sequence);
      break;
    case FleetMessageKind::kNotice:
      std::erase_if(m_probes, [&](const Probe& aProbe) {
        return aProbe.m_host == aMessage.m_subject;
      });
      break;
    case FleetMessageKind::kPayload:
      m_port->OnPayload(
        aMessage.m_sender, aMessage.m_topic, aMessage.m_payload);
      return;
  }
  m_port->OnFeedWatermarks(aMessage.m_sender, aMessage.m_feedWatermarks);
  if (changed && aMessage.m_kind == FleetMessageKind::kNotice) {
    Disseminate(false);
  }
}

void
FleetView::OnTimer(TimePoint aNow)
{
  m_isolated = !InContact(aNow);
  CheckProbes(aNow);
  CheckSuspects(aNow);
  if (aNow >= m_nextPing) {
    PingNext(aNow);
    m_nextPing = aNow + m_options.m_pingInterval;
  }
  if (aNow >= m_nextRejoin) {
    Rejoin(aNow);
    m_nextRejoin =
      aNow + (InContact(aNow) ? m_options.m_rejoinInterval
                              : m_options.m_isolatedRejoinInterval);
  }
  std::erase_if(m_indirectPings, [&](const auto& aEntry) {
    return aEntry.second.m_expiresAt <= aNow;
  });
}

TimePoint
FleetView::NextTimer() const
{
  TimePoint next = std::min(m_nextPing, m_nextRejoin);
  for (const Probe& probe : m_probes) {
    next = std::min(next, probe.m_dueAt);
  }
  for (const auto& [host, member] : m_members) {
    if (member.m_record.m_state == FleetState::kSuspect) {
      next = std::min(next, member.m_since + m_options.m_suspicionTimeout);
    }
  }
  return next;
}

void
FleetView::AddSeeds(std::span<const std::string> aHosts)
{
  for (const std::string& host : aHosts) {
    bool known = std::ranges::find(m_seeds, host) != m_seeds.end();
    if (host != m_self.m_host && !known) {
      m_seeds.push_back(host);
    }
  }
}

void
FleetView::SetSelf(FleetState aState, bool aReady, bool aStoreReachable)
{
  FleetRecord changed = m_self;
  changed.m_state = aState;
  changed.m_ready = aReady;
  changed.m_storeReachable = aStoreReachable;
  if (changed == m_self) {
    return;
  }
  changed.m_incarnation = m_self.m_incarnation + 1;
  m_self = changed;
  AnnounceSelf();
}

void
FleetView::SetCapacity(uint32_t aCapacity)
{
  if (m_self.m_capacity == aCapacity) {
    return;
  }
  m_self.m_capacity = aCapacity;
  ++m_self.m_incarnation;
  AnnounceSelf();
}

void
FleetView::AnnounceSelf()
{
  m_selfTransmissionsLeft = TransmissionsPerUpdate();
  Disseminate(true);
}

void
FleetView::SendPayload(const std::string& aHost,
                       PeerTopic aTopic,
                       std::string aPayload)
{
  // Without updates and watermarks: these have their own datagrams.
  m_port->SendTo(aHost,
                 { .m_kind = FleetMessageKind::kPayload,
                   .m_sender = m_self,
                   .m_knownInstances = static_cast<uint32_t>(m_members.size()),
                   .m_topic = aTopic,
                   .m_payload = std::move(aPayload) });
}

std::vector<FleetRecord>
FleetView::LiveMembers() const
{
  std::vector<FleetRecord> living;
  bool selfAdded = false;
  for (const auto& [host, member] : m_members) {
    if (!selfAdded && m_self.m_host < host) {
      living.push_back(m_self);
      selfAdded = true;
    }
    if (member.m_record.m_state != FleetState::kDead) {
      living.push_back(member.m_record);
    }
  }
  if (!selfAdded) {
    living.push_back(m_self);
  }
  return living;
}

std::vector<std::string>
FleetView::DeadFor(Duration aFor, TimePoint aNow) const
{
  std::vector<std::string> dead;
  for (const auto& [host, member] : m_members) {
    if (member.m_record.m_state == FleetState::kDead &&
        aNow - member.m_since >= aFor) {
      dead.push_back(host);
    }
  }
  return dead;
}

std::vector<FleetRecord>
FleetView::RecentlyLostRemote(Duration aFor, TimePoint aNow) const
{
  std::vector<FleetRecord> lost;
  for (const auto& [host, member] : m_members) {
    FleetState state = member.m_record.m_state;
    bool recent = aNow - member.m_since < aFor;
    if (!IsLocal(host) && recent &&
        (state == FleetState::kSuspect || state == FleetState::kDead)) {
      lost.push_back(member.m_record);
    }
  }
  return lost;
}

bool
FleetView::HasLiveRemoteInstance() const
{
  bool known = false;
  for (const auto& [host, member] : m_members) {
    if (!IsLocal(host)) {
      known = true;
      if (member.m_record.m_state == FleetState::kAlive) {
        return true;
      }
    }
  }
  return !known;
}

bool
FleetView::InContact(TimePoint aNow) const
{
  return m_lastContact && aNow - *m_lastContact <= m_options.m_isolationTimeout;
}

void
FleetView::Ping(const std::string& aHost, TimePoint aNow)
{
  ++m_sequence;
  m_probes.push_back({ .m_host = aHost,
                       .m_sequence = m_sequence,
                       .m_dueAt = aNow + m_options.m_ackTimeout });
  Send(aHost, FleetMessageKind::kPing, m_sequence);
}

void
FleetView::PingNext(TimePoint aNow)
{
  bool remote = ++m_pings % m_options.m_pingsPerRemotePing == 0;
  std::vector<std::string>& wanted = remote ? m_remoteRound : m_localRound;
  std::vector<std::string>& other = remote ? m_localRound : m_remoteRound;
  if (!PingFrom(wanted, !remote, aNow)) {
    (void)PingFrom(other, remote, aNow);
  }
}

bool
FleetView::PingFrom(std::vector<std::string>& aRound,
                    bool aLocal,
                    TimePoint aNow)
{
  if (aRound.empty()) {
    aRound = Hosts(FleetState::kLeaving);
    std::erase_if(aRound, [&](const std::string& aHost) {
      return IsLocal(aHost) != aLocal;
    });
    size_t count = aRound.size();
    aRound = PickRandom(std::move(aRound), count);
  }
  while (!aRound.empty()) {
    std::string host = std::move(aRound.back());
    aRound.pop_back();
    auto member = m_members.find(host);
    if (member != m_members.end() &&
        member->second.m_record.m_state != FleetState::kDead) {
      Ping(host, aNow);
      return true;
    }
  }
  return false;
}

void
FleetView::Rejoin(TimePoint aNow)
{
  std::erase_if(m_members, [&](const auto& aEntry) {
    return aEntry.second.m_record.m_state == FleetState::kDead &&
           aNow - aEntry.second.m_since > m_options.m_deadRetention;
  });
  std::vector<std::string> absent;
  for (const auto& [host, member] : m_members) {
    if (member.m_record.m_state == FleetState::kDead) {
      absent.push_back(host);
    }
  }
  std::ranges::copy_if(
    m_seeds, std::back_inserter(absent), [&](const std::string& aHost) {
      return !m_members.contains(aHost);
    });
  size_t count = InContact(aNow) ? 1 : 3;
  for (const std::string& host : PickRandom(std::move(absent), count)) {
    Send(host, FleetMessageKind::kPing, ++m_sequence);
  }
}

void
FleetView::CheckProbes(TimePoint aNow)
{
  std::vector<Probe> due;
  std::erase_if(m_probes, [&](const Probe& aProbe) {
    if (aProbe.m_dueAt > aNow) {
      return false;
    }
    due.push_back(aProbe);
    return true;
  });
  for (Probe& probe : due) {
    auto member = m_members.find(probe.m_host);
    if (member == m_members.end()) {
      continue;
    }
    if (probe.m_indirect) {
      SetState(member->second, FleetState::kSuspect, aNow);
      // This ping carries the suspicion, so that the instance can refute it at
      // once.
      Send(probe.m_host, FleetMessageKind::kPing, ++m_sequence);
      continue;
    }
    std::vector<std::string> intermediaries = Hosts(FleetState::kAlive);
    std::erase(intermediaries, probe.m_host);
    for (const std::string& intermediary :
         PickRandom(std::move(intermediaries), m_options.m_intermediaries)) {
      Send(intermediary,
           FleetMessageKind::kPingRequest,
           probe.m_sequence,
           probe.m_host);
    }
    // The instance is also pinged directly again, since a datagram may have
    // been lost.
    Send(probe.m_host, FleetMessageKind::kPing, ++m_sequence);
    probe.m_indirect = true;
    probe.m_dueAt = aNow + m_options.m_ackTimeout;
    m_probes.push_back(probe);
  }
}

void
FleetView::CheckSuspects(TimePoint aNow)
{
  for (auto& [host, member] : m_members) {
    if (member.m_record.m_state == FleetState::kSuspect &&
        aNow - member.m_since >= m_options.m_suspicionTimeout) {
      SetState(member, FleetState::kDead, aNow);
    }
  }
}

void
FleetView::Send(const std::string& aHost,
                FleetMessageKind aKind,
                uint64_t aSequence,
                const std::string& aSubject)
{
  FleetMessage message = NewMessage(aKind);
  message.m_sequence = aSequence;
  message.m_subject = aSubject;
  if (m_selfTransmissionsLeft > 0) {
    --m_selfTransmissionsLeft;
  }
  if (m_isolated) {
    m_port->SendTo(aHost, message);
    return;
  }
  // The record of the receiver goes first, so that it can refute a suspicion.
  auto receiver = m_members.find(aHost);
  if (receiver != m_members.end() &&
      receiver->second.m_record.m_state != FleetState::kAlive) {
    message.m_updates.push_back(receiver->second.m_record);
  }
  std::vector<Member*> pendingUpdates;
  for (auto& [host, member] : m_members) {
    if (member.m_transmissionsLeft > 0 && host != aHost) {
      pendingUpdates.push_back(&member);
    }
  }
  std::ranges::sort(
    pendingUpdates, std::greater{}, &Member::m_transmissionsLeft);
  for (Member* member : pendingUpdates) {
    if (message.m_updates.size() >= m_options.m_maxUpdatesPerMessage) {
      break;
    }
    --member->m_transmissionsLeft;
    message.m_updates.push_back(member->m_record);
  }
  m_port->SendTo(aHost, message);
}

void
FleetView::SendIntroduction(const std::string& aHost)
{
  FleetMessage message = NewMessage(FleetMessageKind::kNotice);
  std::vector<std::string> hosts = Hosts(FleetState::kLeaving);
  std::erase(hosts, aHost);
  for (const std::string& host :
       PickRandom(std::move(hosts), m_options.m_maxIntroductionRecords)) {
    message.m_updates.push_back(m_members.at(host).m_record);
  }
  m_port->SendTo(aHost, message);
}

FleetMessage
FleetView::NewMessage(FleetMessageKind aKind)
{
  return { .m_kind = aKind,
           .m_sender = m_self,
           .m_knownInstances = static_cast<uint32_t>(m_members.size()),
           .m_feedWatermarks = m_port->FeedWatermarks() };
}

void
FleetView::Disseminate(bool aOwnUpdate)
{
  std::vector<std::string> local;
  std::map<DataCentre, std::vector<std::string>> remote;
  for (const std::string& host : Hosts(FleetState::kSuspect)) {
    if (IsLocal(host)) {
      local.push_back(host);
    } else {
      remote[m_members.at(host).m_record.m_dataCentre].push_back(host);
    }
  }
  std::vector<std::string> receivers =
    PickRandom(std::move(local), m_options.m_noticeFanout);
  if (aOwnUpdate) {
    for (auto& [dataCentre, hosts] : remote) {
      std::ranges::move(PickRandom(std::move(hosts), 1),
                        std::back_inserter(receivers));
    }
  }
  for (const std::string& host : receivers) {
    Send(host, FleetMessageKind::kNotice, 0);
  }
}

bool
FleetView::ApplyRecord(const FleetRecord& aRecord, bool aDirect, TimePoint aNow)
{
  if (aRecord.m_host == m_self.m_host) {
    Refute(aRecord);
    return false;
  }
  auto found = m_members.find(aRecord.m_host);
  if (found == m_members.end()) {
    if (aRecord.m_state == FleetState::kDead) {
      return false;
    }
    m_members[aRecord.m_host] = { aRecord, aNow, TransmissionsPerUpdate() };
    m_port->OnMemberChanged(aRecord);
    return true;
  }
  Member& member = found->second;
  bool sameIncarnation = aRecord.m_incarnation == member.m_record.m_incarnation;
  // A datagram from the instance itself proves that it is alive, unless it is a
  // delayed one of an earlier incarnation.
  bool proof = aDirect && sameIncarnation &&
               member.m_record.m_state == FleetState::kSuspect &&
               aRecord.m_state == FleetState::kAlive;
  if (!proof && !Overrides(aRecord, member.m_record)) {
    return false;
  }
  member = { aRecord, aNow, TransmissionsPerUpdate() };
  m_port->OnMemberChanged(aRecord);
  return true;
}

void
FleetView::Refute(const FleetRecord& aRecord)
{
  bool wrong = aRecord.m_incarnation > m_self.m_incarnation ||
               (aRecord.m_incarnation == m_self.m_incarnation &&
                aRecord.m_state > m_self.m_state);
  if (wrong) {
    m_self.m_incarnation = aRecord.m_incarnation + 1;
    m_selfTransmissionsLeft = TransmissionsPerUpdate();
  }
}

void
FleetView::ForgetFailures()
{
  m_probes.clear();
  std::erase_if(m_members, [](const auto& aEntry) {
    return aEntry.second.m_record.m_state == FleetState::kSuspect ||
           aEntry.second.m_record.m_state == FleetState::kDead;
  });
}

void
FleetView::SetState(Member& aMember, FleetState aState, TimePoint aNow)
{
  if (aMember.m_record.m_state >= aState) {
    return;
  }
  aMember.m_record.m_state = aState;
  aMember.m_since = aNow;
  aMember.m_transmissionsLeft = TransmissionsPerUpdate();
  m_port->OnMemberChanged(aMember.m_record);
}

size_t
FleetView::TransmissionsPerUpdate() const
{
  return kTransmissionsPerDoubling * (1 + std::bit_width(m_members.size()));
}

std::vector<std::string>
FleetView::Hosts(FleetState aMaxState) const
{
  std::vector<std::string> hosts;
  for (const auto& [host, member] : m_members) {
    if (member.m_record.m_state <= aMaxState) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

bool
FleetView::IsLocal(const std::string& aHost) const
{
  return m_members.at(aHost).m_record.m_dataCentre == m_self.m_dataCentre;
}

std::vector<std::string>
FleetView::PickRandom(std::vector<std::string> aHosts, size_t aCount)
{
  size_t count = std::min(aCount, aHosts.size());
  for (size_t i = 0; i < count; ++i) {
    size_t other = absl::Uniform<size_t>(m_bitGen, i, aHosts.size());
    std::swap(aHosts[i], aHosts[other]);
  }
  aHosts.resize(count);
  return aHosts;
}

} // namespace ebonykeel
