// Answers callers that ask which addresses they may use for a service.
//
//   RoutingAnswer answer = ChooseAddresses(
//     { .m_target = "valuation-desk", .m_callerDataCentre = oviedo },
//     configuration, candidates, bitGen);
//   if (answer.m_status != RoutingStatus::kFound) { ... }
//
// Only active, unsuspected instances in data centres that are not taken out are
// named. Those in the caller's data centre come first; the answer spreads over
// data centres, so that a caller survives the loss of one. Within a data centre
// the less loaded of two drawn at random is taken, again and again.
//
// Bound for withdrawal. A caller uses an address at most `m_lifetime` after it
// got the answer. So new work ends, counted from an instance's or the data
// centre's change being accepted:
//
//     spread of the change among instances    1.5 s (some heartbeats; a change
//                                             of configuration is pushed)
//   + lifetime of the last old answer         2.0 s (kAnswerLifetime)
//   + the answer's way to the caller          0.1 s
//   = 3.6 s, under the 4 s allowed.
//
// An instance that knows itself to be leaving or withdrawn also refuses new
// work as not-run and names others, so a caller with an old address is told
// sooner.
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

// How long a caller may keep an answer.
inline constexpr Duration kAnswerLifetime = Seconds(2);
// Addresses in an answer that asks for no number of its own.
inline constexpr size_t kDefaultAddressCount = 3;
inline constexpr size_t kMaxAddressCount = 16;

struct RoutingRequest
{
  // The name of a service or of a group.
  std::string m_target;
  // Empty when the caller does not say.
  DataCentre m_callerDataCentre;
  // How many addresses are wanted, 1 to `kMaxAddressCount`.
  size_t m_count = kDefaultAddressCount;
};

// An instance as routing sees it. Points into the view.
struct RoutingCandidate
{
  const InstanceRecord* m_record = nullptr;
  // Some monitor hears nothing from it.
  bool m_suspected = false;
};

enum class RoutingStatus
{
  kFound,
  // No service or group has that name in the configuration in force here.
  kUnknownTarget,
  // No configuration is in force here yet.
  kNoConfiguration,
  // Instances exist, but all are in data centres that are taken out.
  kAllWithdrawn,
  // No active instance is known.
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
  // How long the answer may be kept; zero unless `kFound`.
  Duration m_lifetime{};
  // The generation on which the answer rests.
  Generation m_generation = 0;
};

// Chooses addresses. The candidates may come in any order.
[[nodiscard]] RoutingAnswer
ChooseAddresses(const RoutingRequest& aRequest,
                const Configuration& aConfiguration,
                std::span<const RoutingCandidate> aCandidates,
                absl::BitGenRef aBitGen);

} // namespace ebonykeel
