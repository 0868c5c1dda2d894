// Selects the instances that read the store for the others.
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/time.h"
#include "core/fleet/fleet_message.h"

namespace ebonykeel {

// The number of instances that read at the same time: one may be partitioned,
// suspended or rejected by the store before its successor notices.
inline constexpr size_t kReaderCount = 2;

// Returns the hosts that read the store. Every instance computes them for
// itself: the first ones by host among those that are alive and reach the
// store, in different data centres where possible. If no instance reaches the
// store, the first ones keep trying.
[[nodiscard]] std::vector<std::string>
ChooseReaders(std::span<const FleetRecord> aLiveInstances,
              size_t aCount = kReaderCount);

// Returns whether an instance that started `aAge` ago may read the store. It
// first waits for the answers of others: an instance in contact can fetch their
// feeds. An instance without contact reads on its own after a short delay,
// since after a power loss all instances are in that state; the delay differs
// by host, so that the first readers serve the others. At the first start of
// the whole system no caller is waiting yet, and fewer of them read early.
[[nodiscard]] bool
MayStartReading(Duration aAge,
                bool aInContact,
                std::string_view aHost,
                bool aFirstStart);

// Returns whether the instance fetches feeds from remote data centres; the
// others fetch them within their own data centre. `aSelf` is one of
// `aLiveInstances`.
[[nodiscard]] bool
FetchesFromRemoteDataCentres(std::span<const FleetRecord> aLiveInstances,
                             const FleetRecord& aSelf);

} // namespace ebonykeel
