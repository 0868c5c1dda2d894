// A configuration change that an operator requested from this instance, and its
// outcome.
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

// What to do if another change was accepted first.
enum class OnConflict
{
  // Report the conflict to the operator.
  kReport,
  // Apply the change to the configuration that was accepted. For changes whose
  // meaning does not depend on other changes, such as withdrawing a data
  // centre.
  kReapply,
};

// One requested change. `m_apply` is called with the newest configuration,
// possibly more than once, and must put `m_changeId` into the metadata.
struct ChangeRequest
{
  // Chosen by the requester; returned in `ChangeReply`.
  uint64_t m_request = 0;
  // The same each time that one change is requested, on any instance.
  std::string m_changeId;
  std::function<ChangeResult(const Configuration&)> m_apply;
  // If set, the change is made only if this is the current generation.
  std::optional<Generation> m_baseGeneration;
  OnConflict m_onConflict = OnConflict::kReport;
};

enum class ChangeOutcome
{
  // The store accepted the change; `m_generation` is its generation.
  kAccepted,
  // `m_apply` refused the change; see the findings. Nothing was written.
  kRefused,
  // Another change was accepted first; `m_generation` is the current one.
  // Nothing of this change was written.
  kConflict,
  // The store could not be read or written in time. Nothing was written.
  kStoreUnreachable,
  // This version of the program cannot decode the configuration in the store.
  // Nothing was written.
  kStoreUnreadable,
  // The store returned an older configuration than the one in force. Nothing
  // was written.
  kStoreBehind,
  // Too many changes are waiting on this instance, or this change waited too
  // long for earlier ones. Nothing was written.
  kBusy,
  // The change may have been written or may still be written.
  kUnknown,
};

// The outcome of the change `m_request`.
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
