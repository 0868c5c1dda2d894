// Chooses the addresses that a caller may use for a service.
//
//   RoutingAnswer answer = ChooseAddresses(
//     { .m_target = "valuation-desk", .m_callerDataCentre = oviedo },
//     configuration, candidates, bitGen);
//   if (answer.m_status != RoutingStatus::kFound) { ... }
//
// An answer contains only active, unsuspected instances in data centres that
// are not withdrawn. An instance in the caller's data centre comes first, and
// the answer is spread over data centres, so that a caller can tolerate the
// loss of one. Within a data centre, two instances are drawn at random and the
// less loaded one is taken (power of two choices).
//
// Bound for withdrawal. A caller uses an address for at most `m_lifetime` after
// it received the answer. So after the change of an instance or a data centre
// is accepted, new work stops within:
//
//     propagation of the change to instances  1.5 s (several heartbeats; a
//                                             configuration change is pushed)
//   + lifetime of the last old answer         2.0 s (kAnswerLifetime)
//   + delivery of the answer to the caller    0.1 s
//   = 3.6 s, less than the 4 s allowed.
//
// An instance that is leaving or withdrawn also refuses new work as not-run and
// returns the addresses of other instances, so that a caller with an old
// address changes earlier.
#pragma once

#include <span>
#include <string>
#include <vector>

#include "absl/random/bit_gen_ref.h"

#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/config/configuration.h"
#include "core/membership/records.h"

namespace ebonykeel {

// How long a caller may use an answer.
inline constexpr Duration kAnswerLifetime = Seconds(2);
// The number of addresses in an answer if the request does not set one.
inline constexpr size_t kDefaultAddressCount = 3;
inline constexpr size_t kMaxAddressCount = 16;

struct RoutingRequest
{
  // The name of a service or of a group.
  std::string m_target;
  // Empty if the caller does not state it.
  DataCentre m_callerDataCentre;
  // The number of addresses requested, 1 to `kMaxAddressCount`.
  size_t m_count = kDefaultAddressCount;
};

// An instance that may be chosen. Points into the membership view.
struct RoutingCandidate
{
  const InstanceRecord* m_record = nullptr;
  // Whether a monitor suspects the instance.
  bool m_suspected = false;
};

enum class RoutingStatus
{
  kFound,
  // No service or group of that name is in this instance's configuration.
  kUnknownTarget,
  // This instance has no configuration yet.
  kNoConfiguration,
  // All active, unsuspected instances are in withdrawn data centres.
  kAllWithdrawn,
  // There is no active, unsuspected instance.
  kNoInstances,
};

// Returns the stable name of `aStatus`, such as "all-withdrawn".
[[nodiscard]] std::string_view
RoutingStatusName(RoutingStatus aStatus);

struct RoutedAddress
{
  InstanceId m_instance;
  std::string m_publicAddress;
  DataCentre m_dataCentre;
};

struct RoutingAnswer
{
  RoutingStatus m_status = RoutingStatus::kNoInstances;
  // In the order in which the caller should try them; empty unless `kFound`.
  std::vector<RoutedAddress> m_addresses;
  // How long the answer may be used; zero unless `kFound`.
  Duration m_lifetime{};
  // The configuration generation on which the answer is based.
  Generation m_generation = 0;
};

// Chooses addresses for `aRequest`. The candidates may be in any order.
[[nodiscard]] RoutingAnswer
ChooseAddresses(const RoutingRequest& aRequest,
                const Configuration& aConfiguration,
                std::span<const RoutingCandidate> aCandidates,
                absl::BitGenRef aBitGen);

} // namespace ebonykeel
