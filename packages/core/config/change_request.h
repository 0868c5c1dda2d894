// A change that an operator asked this instance for, and what became of it.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "core/base/finding.h"
#include "core/config/configuration.h"
#include "core/config/configuration_change.h"

namespace ebonykeel {

// What to do when another change got in between.
enum class OnConflict
{
  // Tell the operator.
  kReport,
  // Make the change anew from the configuration that won. For changes that say
  // the same whatever else was changed, such as taking a data centre out.
  kReapply,
};

// One change to be made. `m_apply` is called with the newest configuration,
// maybe more than once, and must use `m_changeId` for the note.
struct ChangeRequest
{
  // Chosen by whoever asks; comes back in `ChangeReply`.
  uint64_t m_request = 0;
  // The same for every attempt to make one change, on any instance.
  std::string m_changeId;
  std::function<ChangeResult(const Configuration&)> m_apply;
  // When set, only this generation may be the one that is changed.
  std::optional<Generation> m_baseGeneration;
  OnConflict m_onConflict = OnConflict::kReport;
};

enum class ChangeOutcome
{
  // The store took the change; `m_generation` is its generation.
  kAccepted,
  // `m_apply` refused; see the findings. Nothing was written.
  kRefused,
  // Another change was accepted first; `m_generation` is the current one.
  // Nothing of this change was written.
  kConflict,
  // The store could not be used in time. Nothing was written.
  kStoreUnreachable,
  // The store's object is not a configuration that this version can read.
  // Nothing was written.
  kStoreUnreadable,
  // The store answers an older configuration than the one in force. Nothing
  // was written.
  kStoreBehind,
  // Too many changes wait on this instance. Nothing was written.
  kBusy,
  // The change may have been written or may yet be.
  kUnknown,
};

// What became of the change `m_request`.
struct ChangeReply
{
  uint64_t m_request = 0;
  ChangeOutcome m_outcome = ChangeOutcome::kUnknown;
  Generation m_generation = 0;
  ChangeRefusal m_refusal = ChangeRefusal::kNone;
  Findings m_findings;
};

// Returns the stable name of `aOutcome`, such as "accepted".
[[nodiscard]] std::string_view
ChangeOutcomeName(ChangeOutcome aOutcome);

} // namespace ebonykeel
