// Which instances read the store for the others.
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/time.h"
#include "core/fleet/fleet_message.h"

namespace ebonykeel {

// Instances that read at the same time: one may be cut off, frozen or turned
// away while its successor has not noticed yet.
inline constexpr size_t kReaderCount = 2;

// Returns the hosts that read the store, as every instance works out for
// itself: the first ones by host among those that live and reach the store, in
// different data centres where there are. When nobody reaches the store, the
// first ones keep trying.
[[nodiscard]] std::vector<std::string>
ChooseReaders(std::span<const FleetRecord> aLiveInstances,
              size_t aCount = kReaderCount);

// Returns whether an instance that started `aAge` ago may read the store. It
// first gives others the time to answer: one that is in contact can fetch what
// they have. One that hears nobody reads by itself, soon, since after a loss of
// power all are in that state; hosts wait for different times, so that the
// first of them serves the others. At the whole system's first start no caller
// waits yet, and fewer of them read.
[[nodiscard]] bool
MayStartReading(Duration aAge,
                bool aInContact,
                std::string_view aHost,
                bool aFirstStart);

// Returns whether the instance fetches copies of the store's objects from other
// data centres; the others fetch them within their own. `aSelf` is one of
// `aLiveInstances`.
[[nodiscard]] bool
FetchesFromRemoteDataCentres(std::span<const FleetRecord> aLiveInstances,
                             const FleetRecord& aSelf);

} // namespace ebonykeel
