// Carries one change through the store: reads the current configuration, keeps
// it in the history, writes the next one under the condition that the current
// one still stands, and finds out what became of a write whose reply was lost.
//
// A write is repeated only with the same body and condition, so that it takes
// effect at most once however often it is sent.
#pragma once

#include <string>

#include "core/config/change_request.h"
#include "core/config/configuration.h"
#include "core/config/store_call.h"

namespace ebonykeel::internal {

// What a read of the current configuration gave.
struct CurrentRead
{
  enum class Status
  {
    kFound,
    kAbsent,
    kUnreadable,
    kFailed,
  };
  Status m_status = Status::kFailed;
  // Not null when found.
  ConfigurationPtr m_configuration;
  StoreVersion m_version = 0;
};

// What the attempt wants next.
enum class CommitStep
{
  // Make the call that `NextCall` returns.
  kCall,
  // Make it after a pause.
  kCallLater,
  // `Reply` holds the outcome.
  kDone,
};

// One call to the store, without its token.
struct CommitCall
{
  bool m_write = false;
  std::string m_key;
  std::string m_body;
  StoreVersion m_ifVersion = 0;
};

class ChangeCommit
{
public:
  explicit ChangeCommit(ChangeRequest aRequest);

  // Returns the call that the attempt waits for.
  [[nodiscard]] CommitCall NextCall() const;

  // Must be told when that call is made, before its reply or `GiveUp`.
  void OnCallStarted();

  // Takes the reply to a read. `aInForce` is the generation in force here.
  [[nodiscard]] CommitStep OnRead(const CurrentRead& aRead,
                                  Generation aInForce);
  // Takes the reply to a write.
  [[nodiscard]] CommitStep OnWrite(StoreStatus aStatus);

  // Ends the attempt at its deadline.
  void GiveUp();

  // Returns the outcome once done.
  [[nodiscard]] const ChangeReply& Reply() const { return m_reply; }
  // Returns the configuration that was accepted through this attempt's own
  // write, or null.
  [[nodiscard]] const ConfigurationPtr& Accepted() const { return m_accepted; }

private:
  enum class Phase
  {
    kReadingBase,
    kWritingHistory,
    kWriting,
    kConfirming,
  };

  CommitStep ApplyChange(const CurrentRead& aRead);
  CommitStep OnConfirmationRead(const CurrentRead& aRead);
  CommitStep OnConfirmationFound(const CurrentRead& aRead);
  CommitStep Finish(ChangeOutcome aOutcome, Generation aGeneration);
  CommitStep OnHistoryWritten(StoreStatus aStatus);
  CommitStep OnConfigurationWritten(StoreStatus aStatus);

  ChangeRequest m_request;
  Phase m_phase = Phase::kReadingBase;
  // Says why the change was not made, should the deadline pass.
  ChangeOutcome m_timeoutOutcome = ChangeOutcome::kStoreUnreachable;
  // A write of `m_next` is out, without a reply yet.
  bool m_writeInFlight = false;
  // A write of `m_next` was sent whose effect is not known.
  bool m_writeMayTakeEffect = false;
  ConfigurationPtr m_base;
  StoreVersion m_baseVersion = 0;
  ConfigurationPtr m_next;
  ConfigurationPtr m_accepted;
  ChangeReply m_reply;
};

} // namespace ebonykeel::internal
