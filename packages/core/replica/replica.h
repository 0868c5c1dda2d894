// A searcher as its registration describes it.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/config/address.h"

namespace ebonykeel {

enum class ReplicaState
{
  kReady,
  kDraining,
};

// One life of a searcher. Immutable once built.
struct Replica
{
  // Named in every request, so that another searcher at the same address can
  // tell that it is not meant.
  std::string m_id;
  // The Unix time of its start in milliseconds; tells lives of one id apart.
  uint64_t m_startUnixMs = 0;
  std::string m_service;
  Address m_address;
  DataCentre m_dataCentre;
  // Requests that it processes at once; >= 1.
  uint32_t m_slots = 1;
  ReplicaState m_state = ReplicaState::kReady;
  // How long it stayed in cold start, counted from its registration's change.
  Duration m_coldStartDuration{};

  friend bool operator==(const Replica&, const Replica&) = default;
};

using ReplicaPtr = std::shared_ptr<const Replica>;

} // namespace ebonykeel
