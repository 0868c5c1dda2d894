// An upstream as described by its registration.
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

// One process run of an upstream. Immutable once built.
struct Replica
{
  // Sent with every request, so that a different upstream at the same address
  // can detect that the request is not meant for it.
  std::string m_id;
  // The Unix time of its start in milliseconds; distinguishes process runs with
  // the same ID.
  uint64_t m_startUnixMs = 0;
  std::string m_service;
  Address m_address;
  DataCentre m_dataCentre;
  // The version of its software.
  std::string m_version;
  // The number of requests that it processes concurrently; >= 1.
  uint32_t m_slots = 1;
  ReplicaState m_state = ReplicaState::kReady;
  // How long its cold start lasts, counted from the change of its registration.
  Duration m_coldStartDuration{};

  friend bool operator==(const Replica&, const Replica&) = default;
};

using ReplicaPtr = std::shared_ptr<const Replica>;

} // namespace ebonykeel
